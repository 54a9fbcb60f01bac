#ifndef MODULES_FORWARDING_ENTRY_ADMISSION_H
#define MODULES_FORWARDING_ENTRY_ADMISSION_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <vector>

#include "core/random.h"
#include "modules/forwarding/owner_selector.h"

namespace jacinthshift {

struct EntryAdmissionOptions
{
    /**
     * A request is refused if less than this fraction of a usual run fits into its time. Runs of a
     * route vary by a third and more, so the faster ones still end in time.
     */
    double minRunFraction = 0.8;
    /** Fraction of such requests that is sent nevertheless, so that wrong figures are corrected. */
    double probeFraction = 0.06;
    /** Bounds of the time until a refused caller may come back. */
    std::chrono::milliseconds minRetryAfter{40};
    std::chrono::milliseconds maxRetryAfter{1'000};
};

/** A request that its caller's node decides on. */
struct EntryRequest
{
    std::chrono::milliseconds timeLeft{0}; ///< Until the caller's deadline.
    double routeFactor = 1.0;
    bool overtakesOthers = false; ///< Its priority is the most urgent: it does not wait for others.
};

/**
 * Refuses requests at the caller's node that no owner can end in time.
 *
 * It judges only if all owners have reported costs and none of them is cold. Queues elsewhere then
 * hold no requests that would only be aborted at their deadline.
 */
class EntryAdmission
{
    EntryAdmissionOptions m_options;
    Random m_random;

public:
    EntryAdmission(const EntryAdmissionOptions &options, std::uint64_t randomSeed)
        : m_options(options), m_random(randomSeed)
    {
    }

    /**
     * Returns the time until room is expected if no owner can end the request in time, otherwise
     * nothing.
     */
    std::optional<std::chrono::milliseconds> refusal(const std::vector<OwnerCandidate> &candidates,
                                                     const EntryRequest &request);
    /**
     * Returns a random time around the one at which room is expected, so that refused callers do
     * not come back together. It is at most a third of the time that the caller has left, the most
     * that callers honour.
     */
    std::chrono::milliseconds retryAfter(std::chrono::milliseconds untilRoom,
                                         std::chrono::milliseconds timeLeft);
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_ENTRY_ADMISSION_H
