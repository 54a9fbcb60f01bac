#include "modules/release/release_policy.h"

#include <algorithm>

#include "core/text.h"

namespace jacinthshift {

namespace {

// Stages end early enough that the last step is in force before the deadline.
constexpr std::int64_t ScheduledPercent = 90;
// A candidate that must turn away more than this cannot bear a larger share.
constexpr std::int64_t MaxRefusedPercent = 20;

/** Returns how long the present stage must last: less than planned if the release is late. */
std::int64_t bakeMilliseconds(const Release &release)
{
    const ReleaseStage &stage = release.plan.stages[release.stage];
    const std::int64_t deadline = release.startedAt + release.plan.finishWithin.count();
    const std::int64_t left = deadline - release.stageStartedAt;
    const std::int64_t stagesLeft =
            static_cast<std::int64_t>(release.plan.stages.size() - release.stage);
    const std::int64_t affordable =
            std::max<std::int64_t>(0, left * ScheduledPercent / 100 / stagesLeft);
    return std::min(stage.bakeTime.count(), affordable);
}

/** Returns when the present stage is over though few requests came. */
std::int64_t slotEnd(const Release &release)
{
    const std::int64_t stages = static_cast<std::int64_t>(release.plan.stages.size());
    const std::int64_t within = release.plan.finishWithin.count() * ScheduledPercent / 100;
    return release.startedAt + within * (release.stage + 1) / stages;
}

ReleaseDecision withdraw(std::string reason)
{
    return ReleaseDecision{.action = ReleaseAction::Withdraw, .reason = std::move(reason)};
}

ReleaseDecision nextStep(const Release &release, std::string reason)
{
    const bool last = release.stage + 1 >= release.plan.stages.size();
    return ReleaseDecision{.action = last ? ReleaseAction::Finish : ReleaseAction::Advance,
                           .reason = std::move(reason)};
}

ReleaseDecision decideOpen(const Release &release, const StageEvidence &evidence, std::int64_t now)
{
    const ReleaseStage &stage = release.plan.stages[release.stage];
    const bool enough = evidence.samples >= stage.minSamples;
    const std::uint64_t offered = evidence.samples + evidence.refused;
    const bool overloaded = offered > 0 && evidence.refused * 100 > offered * MaxRefusedPercent;
    const std::int64_t deadline = release.startedAt + release.plan.finishWithin.count();
    if (now >= deadline) {
        if (overloaded)
            return withdraw(joinText("at its deadline the candidate still refused ",
                                     evidence.refused, " of ", offered, " requests"));
        if (enough || release.plan.thinEvidence == ThinEvidence::Finish)
            return ReleaseDecision{.action = ReleaseAction::Finish,
                                   .reason = enough ? "the deadline has come without a fault"
                                                    : "the deadline has come with few requests "
                                                      "and no fault"};
        return withdraw(joinText("the deadline has come with only ", evidence.samples,
                                 " requests to judge by"));
    }
    if (now < release.stageStartedAt + bakeMilliseconds(release) || overloaded)
        return {};
    if (enough)
        return nextStep(release, joinText(evidence.samples, " requests without a fault"));
    const bool thinMayGoOn = release.plan.thinEvidence == ThinEvidence::Finish;
    if (thinMayGoOn && now >= slotEnd(release))
        return nextStep(release, joinText("the stage's time is over with ", evidence.samples,
                                          " requests and no fault"));
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
                                   .reason = "the watch is over without a fault"};
    }
    return {};
}

} // namespace jacinthshift
