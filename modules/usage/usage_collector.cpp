#include "modules/usage/usage_collector.h"

#include "modules/usage/usage_counter.h"

namespace jacinthshift {

void UsageCollector::add(const std::string &node, const UsageCountsMessage &message)
{
    ProcessCounts &known = m_windows[message.window][{node, message.incarnation}];
    if (message.sequence > known.sequence)
        known = ProcessCounts{.sequence = message.sequence, .counts = message.counts};
    while (m_windows.size() > UsageCounter::MaxWindows)
        m_windows.erase(m_windows.begin());
}

UsageSumMessage UsageCollector::sum(std::uint64_t window) const
{
    UsageSumMessage result{.window = window};
    const auto found = m_windows.find(window);
    if (found == m_windows.end())
        return result;
    result.processes = static_cast<std::uint32_t>(found->second.size());
    for (const auto &[process, known] : found->second) {
        for (const auto &[workspace, runs] : known.counts)
            result.counts[workspace] += runs;
    }
    return result;
}

} // namespace jacinthshift
