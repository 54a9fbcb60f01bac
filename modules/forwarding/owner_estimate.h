#ifndef MODULES_FORWARDING_OWNER_ESTIMATE_H
#define MODULES_FORWARDING_OWNER_ESTIMATE_H

#include <chrono>
#include <cstdint>

#include "modules/fleet/messages.h"

namespace jacinthshift {

/** The figures of an owner that a sender knows. */
struct OwnerFigures
{
    const BackendStatus &backend;
    std::chrono::milliseconds age{0}; ///< Since the status was reported.
    std::uint32_t outstanding = 0;    ///< The sender's own calls that are not answered yet.
    double routeFactor = 1.0;         ///< The route's time as a multiple of its service's mean.
};

/** How long a request is expected to take at an owner, in milliseconds. */
struct OwnerEstimate
{
    double run = 0.0;         ///< On the backend server, at its speed and pace.
    double wait = 0.0;        ///< Before that, for a slot.
    double freeSlots = 0.0;   ///< Slots that are not in use.
    double utilisation = 0.0; ///< Open requests per slot.
    /** How much of the load is still as it was reported, from 1 for a new status down to 0. */
    double freshness = 1.0;
};

/** Returns whether an owner has reported what its backend server's runs cost. */
inline bool hasCosts(const BackendStatus &backend)
{
    return backend.normalRunTime.count() > 0;
}

/** Estimates from the costs that an owner has reported; see hasCosts(). */
OwnerEstimate estimateOwner(const OwnerFigures &figures);

} // namespace jacinthshift

#endif // MODULES_FORWARDING_OWNER_ESTIMATE_H
