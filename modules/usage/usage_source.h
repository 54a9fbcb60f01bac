#ifndef MODULES_USAGE_USAGE_SOURCE_H
#define MODULES_USAGE_USAGE_SOURCE_H

#include <cstdint>
#include <functional>

#include "modules/usage/usage_report.h"

namespace jacinthshift {

/** Gathers the counts of the mesh for the holder and announces what it has sealed. */
class UsageSource
{
public:
    virtual ~UsageSource() = default;

    /** Gathers the counts of all failure domains; the callback runs once. */
    virtual void collect(std::uint64_t window, std::function<void(UsageCounts)> callback) = 0;
    /** Tells the other nodes that may become holder. */
    virtual void announce(const UsageReport &report) = 0;
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_SOURCE_H
