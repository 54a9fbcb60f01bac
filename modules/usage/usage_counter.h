#ifndef MODULES_USAGE_USAGE_COUNTER_H
#define MODULES_USAGE_USAGE_COUNTER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "modules/usage/usage_report.h"

namespace jacinthshift {

/** Counts the runs that this VM's backend server began, by window and workspace. */
class UsageCounter
{
    struct Window
    {
        UsageCounts counts;
        std::uint64_t sequence = 0; ///< Increases with each change.
        std::uint64_t takenSequence = 0;
    };

    std::chrono::milliseconds m_windowLength;
    std::map<std::uint64_t, Window> m_windows;

    void removeOld(std::uint64_t window);

public:
    /** Windows that are retained, the current one included. */
    static constexpr std::size_t MaxWindows = 5;

    explicit UsageCounter(std::chrono::milliseconds windowLength) : m_windowLength(windowLength) {}

    void runStarted(const std::string &workspace, WallTime at);
    /** Takes back a run that the backend server turned out to have rejected. */
    void runRejected(const std::string &workspace, WallTime startedAt);
    /** Returns the counts of each window that has changed since the last call. */
    std::vector<UsageCountsMessage> takeChanges();
    /** Makes the next takeChanges() return all windows. */
    void markAllChanged();
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_COUNTER_H
