#ifndef MODULES_USAGE_USAGE_REPORT_H
#define MODULES_USAGE_USAGE_REPORT_H

#include <chrono>
#include <cstdint>
#include <string>

#include "modules/fleet/messages.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** The node that reports usage. */
struct UsageHolder
{
    std::string node;
    std::uint64_t token = 0; ///< Fencing token; rises with each holder.

    bool operator==(const UsageHolder &) const = default;
};

/** Returns the number of runs of all workspaces. */
inline std::uint64_t totalRuns(const UsageCounts &counts)
{
    std::uint64_t total = 0;
    for (const auto &[workspace, runs] : counts)
        total += runs;
    return total;
}

/** Returns the number of the window that contains a time: windows are counted from 1970 on. */
inline std::uint64_t windowAt(WallTime time, std::chrono::milliseconds length)
{
    const auto sinceEpoch =
            std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch());
    return static_cast<std::uint64_t>(sinceEpoch / length);
}

inline WallTime windowEnd(std::uint64_t window, std::chrono::milliseconds length)
{
    return WallTime(length * static_cast<std::int64_t>(window + 1));
}

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_REPORT_H
