#ifndef MODULES_USAGE_USAGE_COLLECTOR_H
#define MODULES_USAGE_USAGE_COLLECTOR_H

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "modules/usage/usage_report.h"

namespace jacinthshift {

/**
 * Holds the newest counts of the processes of a failure domain. They outlast the processes, so that
 * a node that ends takes along only what it has not sent yet.
 */
class UsageCollector
{
    struct ProcessCounts
    {
        std::uint64_t sequence = 0;
        UsageCounts counts;
    };
    using Process = std::pair<std::string, std::uint64_t>; ///< Node and incarnation.

    std::map<std::uint64_t, std::map<Process, ProcessCounts>> m_windows;

public:
    void add(const std::string &node, const UsageCountsMessage &message);
    /** Returns the counts of all processes together. */
    UsageSumMessage sum(std::uint64_t window) const;
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_COLLECTOR_H
