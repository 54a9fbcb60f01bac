#include "modules/owner/remaining_work.h"

namespace jacinthshift {

void RemainingWork::add(std::uint64_t id, const WorkEstimate &estimate)
{
    m_entries[id] = Entry{.estimate = estimate};
}

void RemainingWork::start(std::uint64_t id, SteadyTime now)
{
    const auto found = m_entries.find(id);
    if (found != m_entries.end())
        found->second.startedAt = now;
}

double RemainingWork::total(SteadyTime now, double pace) const
{
    double work = 0.0;
    for (const auto &[id, entry] : m_entries) {
        const bool waits = entry.startedAt == SteadyTime();
        const double elapsed =
                std::chrono::duration<double, std::milli>(now - entry.startedAt).count();
        work += waits ? entry.estimate.mean
                      : CostModel::expectedRest(entry.estimate, elapsed / pace);
    }
    return work * pace;
}

} // namespace jacinthshift
