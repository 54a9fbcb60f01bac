#ifndef MODULES_ROUTING_BALANCER_H
#define MODULES_ROUTING_BALANCER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/membership/member_record.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct BalancerOptions
{
    std::string domain;           ///< This node's failure domain, which is preferred.
    std::uint64_t randomSeed = 0; ///< Seed of the random choices.
    std::chrono::milliseconds avoidDuration{1'000}; ///< How long a failed owner is avoided.
};

/** Constraints on the choice of an owner for one attempt of a request. */
struct OwnerChoiceRequest
{
    std::string version; ///< Version of the service's software that the owner must run.
    std::vector<MemberRecord> instances;   ///< Members that run the service, in any state.
    std::set<std::string> triedNodes;      ///< Owners that were asked already.
    std::set<std::string> excludedDomains; ///< Failure domains that receive no new requests.
};

/** The result of a choice. */
struct OwnerChoice
{
    std::string node;   ///< Node of the chosen owner; empty if no owner is eligible.
    std::string reason; ///< Why it was chosen, as logged in RouteChosen.
};

/**
 * Load balancer that chooses the owner for a request.
 *
 * It picks the less loaded of two random owners in this node's failure domain. If that one is full,
 * it picks the least loaded owner of the domain, and if all owners of the domain are full, one of
 * another failure domain. Owners that are suspected or have just failed are chosen only if there
 * is no other.
 */
class Balancer
{
    struct OwnerLoad
    {
        std::uint32_t ownInFlight = 0;   ///< In-flight requests of this node.
        std::uint32_t limit = 0;         ///< Last reported concurrency limit; 0 if unknown.
        std::uint32_t otherInFlight = 0; ///< In-flight requests of other nodes, as last reported.
        SteadyTime reportedAt;
        SteadyTime avoidUntil;
    };

    BalancerOptions m_options;
    TimerService &m_timers;
    Random m_random;
    std::map<std::string, OwnerLoad> m_loads; ///< By node.

    /** Returns the in-flight requests of an owner as a fraction of its concurrency limit. */
    double relativeLoad(const MemberRecord &instance) const;
    const MemberRecord *pickLessLoadedOfTwo(const std::vector<const MemberRecord *> &candidates);

public:
    Balancer(const BalancerOptions &options, TimerService &timers);

    /** Chooses an owner. OwnerChoice::node is empty if no owner is eligible. */
    OwnerChoice choose(const OwnerChoiceRequest &request);

    /** Counts a request as in flight at an owner. */
    void requestSent(const std::string &node) { ++m_loads[node].ownInFlight; }
    /**
     * Counts a request as ended and stores the load that the owner reported with its answer. A
     * limit of 0 means that the owner reported no load.
     */
    void requestEnded(const std::string &node, std::uint32_t limit, std::uint32_t inFlight);
    /** Avoids an owner for a short time after it failed, refused or could not be reached. */
    void avoid(const std::string &node);
    /** Returns how many of this node's requests are in flight at an owner. */
    std::uint32_t inFlightTo(const std::string &node) const;
    /** Removes the recorded load of a node that is gone, unless requests are in flight there. */
    void removeNode(const std::string &node);
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_BALANCER_H
