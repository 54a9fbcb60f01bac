#ifndef MODULES_OWNER_REMAINING_WORK_H
#define MODULES_OWNER_REMAINING_WORK_H

#include <cstdint>
#include <unordered_map>

#include "modules/cost/cost_model.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** The work that an owner's running and waiting requests still have to do. */
class RemainingWork
{
    struct Entry
    {
        WorkEstimate estimate;
        SteadyTime startedAt; ///< Zero while the request waits.
    };

    std::unordered_map<std::uint64_t, Entry> m_entries;

public:
    /** Adds a request that waits. */
    void add(std::uint64_t id, const WorkEstimate &estimate);
    void start(std::uint64_t id, SteadyTime now);
    void remove(std::uint64_t id) { m_entries.erase(id); }
    /** Returns the sum in milliseconds while work takes `pace` times as long as normal. */
    double total(SteadyTime now, double pace) const;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_REMAINING_WORK_H
