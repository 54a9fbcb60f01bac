#include "modules/release/release_policy.h"

#include <algorithm>

#include "core/text.h"

namespace jacinthshift {

namespace {

// The stages are scheduled within this percentage of the time limit, so that the last step takes
// effect before the deadline.
constexpr std::int64_t ScheduledTimePercent = 90;
// A candidate that refuses a larger percentage of its requests lacks capacity for a larger share.
constexpr std::int64_t MaxRefusedPercent = 20;

/** Returns the minimum duration of the current stage: less than planned if the release is late. */
std::int64_t bakeMilliseconds(const Release &release)
{
    const ReleaseStage &stage = release.plan.stages[release.stage];
    const std::int64_t deadline = release.startedAt + release.plan.finishWithin.count();
    const std::int64_t remaining = deadline - release.stageStartedAt;
    const std::int64_t stagesLeft =
            static_cast<std::int64_t>(release.plan.stages.size() - release.stage);
    const std::int64_t available =
            std::max<std::int64_t>(0, remaining * ScheduledTimePercent / 100 / stagesLeft);
    return std::min(stage.bakeTime.count(), available);
}

/** Returns when the current stage may end even with too few requests, in Unix milliseconds. */
std::int64_t scheduledStageEnd(const Release &release)
{
    const std::int64_t stageCount = static_cast<std::int64_t>(release.plan.stages.size());
    const std::int64_t scheduledDuration =
            release.plan.finishWithin.count() * ScheduledTimePercent / 100;
    return release.startedAt + scheduledDuration * (release.stage + 1) / stageCount;
}

ReleaseDecision withdraw(std::string reason)
{
    return ReleaseDecision{.action = ReleaseAction::Withdraw, .reason = std::move(reason)};
}

ReleaseDecision nextStep(const Release &release, std::string reason)
{
    const bool lastStage = release.stage + 1 >= release.plan.stages.size();
    return ReleaseDecision{.action = lastStage ? ReleaseAction::Finish : ReleaseAction::Advance,
                           .reason = std::move(reason)};
}

ReleaseDecision decideOpen(const Release &release, const StageEvidence &evidence, std::int64_t now)
{
    const ReleaseStage &stage = release.plan.stages[release.stage];
    const bool enoughSamples = evidence.samples >= stage.minSamples;
    const std::uint64_t offered = evidence.samples + evidence.refused;
    const bool overloaded = offered > 0 && evidence.refused * 100 > offered * MaxRefusedPercent;
    const std::int64_t deadline = release.startedAt + release.plan.finishWithin.count();
    if (now >= deadline) {
        if (overloaded)
            return withdraw(joinText("at its deadline the candidate still refused ",
                                     evidence.refused, " of ", offered, " requests"));
        if (enoughSamples || release.plan.thinEvidence == ThinEvidence::Finish)
            return ReleaseDecision{.action = ReleaseAction::Finish,
                                   .reason = enoughSamples
                                                     ? "the deadline has passed without a fault"
                                                     : "the deadline has passed with few requests "
                                                       "and no fault"};
        return withdraw(joinText("the deadline has passed with only ", evidence.samples,
                                 " requests as evidence"));
    }
    if (now < release.stageStartedAt + bakeMilliseconds(release) || overloaded)
        return {};
    if (enoughSamples)
        return nextStep(release, joinText(evidence.samples, " requests without a fault"));
    const bool mayAdvanceOnThinEvidence = release.plan.thinEvidence == ThinEvidence::Finish;
    if (mayAdvanceOnThinEvidence && now >= scheduledStageEnd(release))
        return nextStep(release, joinText("the stage's scheduled time has ended with ",
                                          evidence.samples, " requests and no fault"));
    return {};
}

} // namespace

ReleaseDecision ReleasePolicy::decide(const Release &release, const StageEvidence &evidence,
                                      std::int64_t nowMilliseconds)
{
    if (release.status == ReleaseStatus::Open) {
        if (!evidence.fault.empty())
            return withdraw(evidence.fault);
        return decideOpen(release, evidence, nowMilliseconds);
    }
    if (release.status == ReleaseStatus::Finished) {
        if (!evidence.fault.empty())
            return withdraw(joinText("after it had finished: ", evidence.fault));
        if (nowMilliseconds >= release.endedAt + release.plan.watchPeriod.count())
            return ReleaseDecision{.action = ReleaseAction::Close,
                                   .reason = "the watch period has ended without a fault"};
    }
    return {};
}

} // namespace jacinthshift
