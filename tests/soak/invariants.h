#ifndef TESTS_SOAK_INVARIANTS_H
#define TESTS_SOAK_INVARIANTS_H

#include <string>
#include <vector>

#include "tests/soak/observation_log.h"

namespace jacinthshift {

/** Limits that the users set for their deployments, and tolerances of the checks. */
struct InvariantBounds
{
    /** Time limits apply only if the nodes concerned were undisturbed for this long before. */
    std::chrono::milliseconds settleTime{3'000};
    /** From the acknowledgement of a drain to the last request at the backend server. */
    std::chrono::milliseconds drainLimit{2'000};
    /** From taking a failure domain out to the last request there. */
    std::chrono::milliseconds evacuationLimit{5'000};
    /** From the acknowledgement of a configuration until all nodes have to apply it. */
    std::chrono::milliseconds configApplyLimit{2'000};
    /** A route may be missing this long after its node served one of an equal or newer version. */
    std::chrono::milliseconds rollbackSlack{250};
    /** A request that did not run may be cut off by a stop within this time of being sent. */
    std::chrono::milliseconds earlyLossLimit{200};
    /** From SIGTERM to the last request that a node passes on, with a turn of a busy loop. */
    std::chrono::milliseconds lastRequestLimit{3'400};
    /** A backend server's success this long before the deadline has to reach its caller. */
    std::chrono::milliseconds resultTime{300};
    /** A deadline passed to a backend server may be this much later than the caller's. */
    std::chrono::milliseconds deadlineSlack{500};
    /** From the cancellation by the caller to the end of the run. */
    std::chrono::milliseconds cancelSlack{500};
    std::chrono::milliseconds retryWindow{10'000};
    double retryRatio = 0.2;     ///< Retries per request in a retry window.
    std::size_t retrySlack = 60; ///< Retries in a window beyond the ratio.
    double coldPerSecond = 20.0; ///< Configured request rate of a cold backend server.
    double coldFactor = 1.5;     ///< Allowed multiple of that rate.
    std::size_t coldSlack = 5;   ///< Requests per second beyond that.
};

/**
 * Checks an observation log against the invariants, the guarantees given to users (see README.md).
 * Returns one line, "INVARIANT: DETAIL", for each violation.
 */
std::vector<std::string> violatedInvariants(const ObservationLog &observations,
                                            const InvariantBounds &bounds);

} // namespace jacinthshift

#endif // TESTS_SOAK_INVARIANTS_H
