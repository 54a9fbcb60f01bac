#include "modules/usage/usage_counter.h"

namespace jacinthshift {

void UsageCounter::removeOld(std::uint64_t window)
{
    while (!m_windows.empty() && m_windows.begin()->first + MaxWindows <= window)
        m_windows.erase(m_windows.begin());
}

void UsageCounter::runStarted(const std::string &workspace, WallTime at)
{
    const std::uint64_t number = windowAt(at, m_windowLength);
    removeOld(number);
    Window &window = m_windows[number];
    ++window.counts[workspace];
    ++window.sequence;
}

void UsageCounter::runRejected(const std::string &workspace, WallTime startedAt)
{
    const auto window = m_windows.find(windowAt(startedAt, m_windowLength));
    if (window == m_windows.end())
        return;
    const auto count = window->second.counts.find(workspace);
    if (count == window->second.counts.end())
        return;
    ++window->second.sequence;
    if (--count->second == 0)
        window->second.counts.erase(count);
}

std::vector<UsageCountsMessage> UsageCounter::takeChanges()
{
    std::vector<UsageCountsMessage> changes;
    for (auto &[number, window] : m_windows) {
        if (window.takenSequence == window.sequence)
            continue;
        window.takenSequence = window.sequence;
        changes.push_back(UsageCountsMessage{
                .window = number, .sequence = window.sequence, .counts = window.counts});
    }
    return changes;
}

void UsageCounter::markAllChanged()
{
    for (auto &[number, window] : m_windows)
        window.takenSequence = 0;
}

} // namespace jacinthshift
