#ifndef MODULES_FORWARDING_OWNER_SELECTOR_H
#define MODULES_FORWARDING_OWNER_SELECTOR_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/fleet/messages.h"
#include "modules/forwarding/owner_estimate.h"

namespace jacinthshift {

/** Weights of the cost function by which owners are compared. */
struct OwnerSelectorOptions
{
    /**
     * Cost added to an owner in another failure domain, as a fraction of the target latency.
     * Traffic between failure domains is expensive, and an owner in the own domain suffices if it
     * answers in time: its cost is multiplied by the same fraction.
     */
    double otherDomainPenalty = 0.75;
    /**
     * An owner in the own failure domain is fast enough if it is expected to answer within this
     * fraction of the target latency.
     */
    double fastEnoughFraction = 0.8;
    /** Cost of a failed request, as a multiple of the target latency. */
    double failureCost = 2.0;
    /** Utilisation above which a backend server is expected to become slower. */
    double slowdownUtilisation = 0.6;
    double fullLoadPenalty = 0.3; ///< Added at full utilisation, as a fraction of service time.
    /** Maximum random increase of the expected time, as a fraction. It spreads equal owners. */
    double noise = 0.05;
    /**
     * Probability of choosing a cold backend server, times the number of candidates. Several
     * senders share a cold backend server, and each may use only a part of the load that it can
     * sustain.
     */
    double coldChoiceWeight = 0.5;
    /**
     * Number of owners that are compared, chosen at random, of the own failure domain and of the
     * others each. If many senders compared all, they would send to the same owner until its next
     * status tells them that it is full.
     */
    std::size_t sampleSize = 4;
    /**
     * Highest fraction of requests that a failure domain above slowdownUtilisation sends to less
     * utilised ones although its own owners are still fast enough. Half of the difference evens
     * out two domains; more would make the load swing between them.
     */
    double maxLentFraction = 0.5;
};

/** An owner that is eligible for a request. */
struct OwnerCandidate
{
    std::string node;
    bool sameDomain = false;
    BackendStatus backend;
    std::uint32_t outstanding = 0; ///< This node's calls that the owner has not answered yet.
    std::chrono::milliseconds statusAge{0}; ///< Since the owner reported its status.
};

/** Properties of the request that affect the choice. */
struct SelectionContext
{
    std::chrono::milliseconds targetTimeLeft{0}; ///< Time left of the target latency.
    double routeFactor = 1.0;   ///< The route's service time as a multiple of its service's mean.
    bool largeResponse = false; ///< The response has to wait for other large ones on the link.
};

/**
 * Chooses the owner with the lowest cost: expected response time plus penalties.
 *
 * Where the owners have reported what runs cost, all that are fast enough for the caller share the
 * requests in proportion to their free capacity, so that many senders with equally old figures do
 * not send to the same one.
 */
class OwnerSelector
{
    /** An owner that has reported costs, and what a request there is expected to take. */
    struct Priced
    {
        std::size_t index = 0;
        OwnerEstimate estimate;
        double expected = 0.0; ///< Response time in milliseconds, with the price of failures.
        double weight = 0.0;   ///< Relative part of the requests.
    };
    /** Owners of the own failure domain, or those of the others. */
    struct PricedGroup
    {
        std::vector<Priced> owners;
        double utilisation = 0.0; ///< Mean of the owners.
        double inTimeWeight = 0.0;
    };

    OwnerSelectorOptions m_options;
    Random m_random;

    /**
     * Returns the expected response time in milliseconds. The fallback, in milliseconds, is used
     * for an owner that has not reported its service time.
     */
    double expectedTime(const OwnerCandidate &candidate, double fallbackServiceTime,
                        const SelectionContext &context) const;
    /**
     * Returns the indices of the candidates to compare: the cold ones and a random sample of the
     * others.
     */
    std::vector<std::size_t> sample(const std::vector<OwnerCandidate> &candidates);
    /** Returns the cost of a candidate in milliseconds. */
    double cost(const OwnerCandidate &candidate, double fallbackServiceTime,
                const SelectionContext &context);
    PricedGroup priceGroup(const std::vector<OwnerCandidate> &candidates,
                           const std::vector<std::size_t> &sampled, bool sameDomain,
                           const SelectionContext &context) const;
    std::size_t drawByWeight(const PricedGroup &group);
    /** Chooses among warm owners that have all reported costs. */
    std::size_t chooseByCosts(const std::vector<OwnerCandidate> &candidates,
                              const std::vector<std::size_t> &sampled,
                              const SelectionContext &context);

public:
    OwnerSelector(const OwnerSelectorOptions &options, std::uint64_t randomSeed)
        : m_options(options), m_random(randomSeed)
    {
    }

    /** Returns the index of the best candidate, or nothing if there are no candidates. */
    std::optional<std::size_t> choose(const std::vector<OwnerCandidate> &candidates,
                                      const SelectionContext &context);
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_OWNER_SELECTOR_H
