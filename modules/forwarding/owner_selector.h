#ifndef MODULES_FORWARDING_OWNER_SELECTOR_H
#define MODULES_FORWARDING_OWNER_SELECTOR_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/fleet/messages.h"

namespace jacinthshift {

struct OwnerSelectorOptions
{
    /**
     * What an owner in another failure domain counts as slower, as a part of the target latency.
     * Bytes between failure domains are dear, and a near owner that still answers in time will do.
     */
    double otherDomainPart = 0.75;
    /** A near owner that is expected to answer within this part of the target latency will do. */
    double nearPart = 0.8;
    /** What a request that fails costs, as a multiple of the target latency. */
    double failureCost = 2.0;
    /** A backend server that is full to this part begins to count as slower. */
    double comfortableLoad = 0.6;
    double crowdedPenalty = 0.3; ///< Part of the service time added to one that is just full.
    double noise = 0.05;         ///< Part of the cost by which equal owners are told apart.
    /** Senders that share a cold backend server; each takes its part of what it bears. */
    double coldPreference = 0.5;
};

/** An owner that may take a request. */
struct OwnerCandidate
{
    std::string node;
    bool sameDomain = false;
    BackendStatus backend;
    std::uint32_t outstanding = 0; ///< This node's own calls that wait there.
};

/** What a choice depends on beside the candidates. */
struct SelectionContext
{
    std::chrono::milliseconds targetLeft{0};
    double routeFactor = 1.0; ///< The route's service time as a multiple of its service's mean.
};

/** Chooses where a request is expected to be answered first. */
class OwnerSelector
{
    OwnerSelectorOptions m_options;
    Random m_random;

    double expectedTime(const OwnerCandidate &candidate, double fallbackServiceTime,
                        double routeFactor) const;
    double cost(const OwnerCandidate &candidate, double fallbackServiceTime,
                const SelectionContext &context);

public:
    OwnerSelector(const OwnerSelectorOptions &options, std::uint64_t seed)
        : m_options(options), m_random(seed)
    {
    }

    /** Returns the position of the best candidate, or nothing if there is none. */
    std::optional<std::size_t> choose(const std::vector<OwnerCandidate> &candidates,
                                      const SelectionContext &context);
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_OWNER_SELECTOR_H
