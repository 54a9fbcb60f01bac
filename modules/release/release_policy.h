#ifndef MODULES_RELEASE_RELEASE_POLICY_H
#define MODULES_RELEASE_RELEASE_POLICY_H

#include <chrono>
#include <cstdint>
#include <string>

#include "modules/config/config_state.h"

namespace jacinthshift {

/** Evidence about a candidate in the current stage of its release. */
struct StageEvidence
{
    std::string fault;         ///< Empty when no fault was found.
    std::uint64_t samples = 0; ///< Requests to the candidate in this stage.
    std::uint64_t refused = 0; ///< Requests that it did not accept in this stage.
};

/** The kind of the next step of a release. */
enum class ReleaseAction { Wait, Advance, Finish, Close, Withdraw };

/** The next step of a release with its reason. */
struct ReleaseDecision
{
    ReleaseAction action = ReleaseAction::Wait;
    std::string reason;
};

/**
 * Decides the next step of a release. It is a pure function of the release, the evidence and the
 * wall clock, so nodes with the same evidence make the same decision.
 */
class ReleasePolicy
{
public:
    /** Returns the step that is due now; `nowMilliseconds` counts from the Unix epoch. */
    static ReleaseDecision decide(const Release &release, const StageEvidence &evidence,
                                  std::int64_t nowMilliseconds);
};

} // namespace jacinthshift

#endif // MODULES_RELEASE_RELEASE_POLICY_H
