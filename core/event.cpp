#include "core/event.h"

#include <algorithm>

namespace jacinthshift {

const std::vector<EventInfo> &eventCatalogue()
{
    static const std::vector<EventInfo> catalogue = {
            {Event::NodeStarted, "NodeStarted", EventLevel::Info, false},
            {Event::NodeStopping, "NodeStopping", EventLevel::Info, false},
            {Event::NodeStopped, "NodeStopped", EventLevel::Info, false},
            {Event::NodeServing, "NodeServing", EventLevel::Info, false},
            {Event::NodeNotServing, "NodeNotServing", EventLevel::Warning, false},
            {Event::SettingsRefused, "SettingsRefused", EventLevel::Error, false},
            {Event::SettingsReloaded, "SettingsReloaded", EventLevel::Info, false},
            {Event::LoopDelayed, "LoopDelayed", EventLevel::Warning, true},
            {Event::ShutdownWaiting, "ShutdownWaiting", EventLevel::Info, false},
            {Event::ConfigInstalled, "ConfigInstalled", EventLevel::Info, false},
            {Event::RecordRejected, "RecordRejected", EventLevel::Warning, false},
            {Event::RecordMalformed, "RecordMalformed", EventLevel::Error, true},
            {Event::SnapshotInstalled, "SnapshotInstalled", EventLevel::Info, false},
            {Event::SnapshotRefused, "SnapshotRefused", EventLevel::Warning, true},
            {Event::LogReadFailed, "LogReadFailed", EventLevel::Warning, true},
            {Event::LogWentBack, "LogWentBack", EventLevel::Warning, false},
            {Event::LogRetentionPassed, "LogRetentionPassed", EventLevel::Warning, false},
            {Event::SnapshotWritten, "SnapshotWritten", EventLevel::Info, false},
            {Event::UpstreamChosen, "UpstreamChosen", EventLevel::Debug, false},
            {Event::FloorLearnt, "FloorLearnt", EventLevel::Info, false},
            {Event::AppendFailed, "AppendFailed", EventLevel::Warning, false},
            {Event::LogLost, "LogLost", EventLevel::Warning, false},
            {Event::LogRegained, "LogRegained", EventLevel::Info, false},
            {Event::OperatorRecordIgnored, "OperatorRecordIgnored", EventLevel::Warning, true},
            {Event::TrafficConfigInForce, "TrafficConfigInForce", EventLevel::Info, false},
            {Event::LogRestored, "LogRestored", EventLevel::Warning, false},
            {Event::KeysUnverified, "KeysUnverified", EventLevel::Warning, false},
            {Event::KeysVerified, "KeysVerified", EventLevel::Info, false},
            {Event::UsageDutyTaken, "UsageDutyTaken", EventLevel::Info, false},
            {Event::UsageDutyLost, "UsageDutyLost", EventLevel::Warning, false},
            {Event::UsageSealed, "UsageSealed", EventLevel::Info, false},
            {Event::UsageReported, "UsageReported", EventLevel::Info, false},
            {Event::UsageIncomplete, "UsageIncomplete", EventLevel::Warning, false},
            {Event::UsageDropped, "UsageDropped", EventLevel::Warning, false},
            {Event::ReleaseStarted, "ReleaseStarted", EventLevel::Info, false},
            {Event::ReleaseStepProposed, "ReleaseStepProposed", EventLevel::Info, false},
            {Event::ReleaseAdvanced, "ReleaseAdvanced", EventLevel::Info, false},
            {Event::ReleaseCompleted, "ReleaseCompleted", EventLevel::Info, false},
            {Event::ReleaseWithdrawn, "ReleaseWithdrawn", EventLevel::Warning, false},
            {Event::BrakeApplied, "BrakeApplied", EventLevel::Warning, false},
            {Event::DomainTakenOut, "DomainTakenOut", EventLevel::Info, false},
            {Event::DomainBroughtBack, "DomainBroughtBack", EventLevel::Info, false},
            {Event::RolloutOrdered, "RolloutOrdered", EventLevel::Info, false},
            {Event::RolloutAdvanced, "RolloutAdvanced", EventLevel::Info, false},
            {Event::RolloutCompleted, "RolloutCompleted", EventLevel::Info, false},
            {Event::RolloutRolledBack, "RolloutRolledBack", EventLevel::Warning, false},
            {Event::RolloutRegisterFailed, "RolloutRegisterFailed", EventLevel::Warning, true},
            {Event::MemberChanged, "MemberChanged", EventLevel::Info, false},
            {Event::PeerSuspected, "PeerSuspected", EventLevel::Warning, false},
            {Event::LinkOpened, "LinkOpened", EventLevel::Debug, false},
            {Event::LinkClosed, "LinkClosed", EventLevel::Debug, false},
            {Event::LinkSilent, "LinkSilent", EventLevel::Warning, true},
            {Event::FrameRefused, "FrameRefused", EventLevel::Error, true},
            {Event::PeerSilent, "PeerSilent", EventLevel::Warning, true},
            {Event::BackendAnnounced, "BackendAnnounced", EventLevel::Info, false},
            {Event::BackendRefused, "BackendRefused", EventLevel::Warning, false},
            {Event::BackendLeaving, "BackendLeaving", EventLevel::Info, false},
            {Event::BackendLost, "BackendLost", EventLevel::Warning, false},
            {Event::HeartbeatIgnored, "HeartbeatIgnored", EventLevel::Warning, true},
            {Event::LeftBackendReported, "LeftBackendReported", EventLevel::Warning, true},
            {Event::BackendTurnedCold, "BackendTurnedCold", EventLevel::Info, false},
            {Event::BackendConnectionLost, "BackendConnectionLost", EventLevel::Info, true},
            {Event::DepartureRecorded, "DepartureRecorded", EventLevel::Info, false},
            {Event::DepartureNotRecorded, "DepartureNotRecorded", EventLevel::Warning, true},
            {Event::RateLimitNamed, "RateLimitNamed", EventLevel::Warning, false},
            {Event::RateLimitEnded, "RateLimitEnded", EventLevel::Info, false},
            {Event::RateLimitMalformed, "RateLimitMalformed", EventLevel::Warning, true},
            {Event::RouteChosen, "RouteChosen", EventLevel::Info, false},
            {Event::RouteRefused, "RouteRefused", EventLevel::Warning, true},
            {Event::RequestRetried, "RequestRetried", EventLevel::Info, true},
            {Event::RequestAnswered, "RequestAnswered", EventLevel::Debug, false},
            {Event::RequestRefused, "RequestRefused", EventLevel::Warning, false},
            {Event::OwnerChosen, "OwnerChosen", EventLevel::Info, true},
            {Event::RequestServed, "RequestServed", EventLevel::Info, true},
            {Event::RequestFailed, "RequestFailed", EventLevel::Warning, true},
            {Event::CallerGone, "CallerGone", EventLevel::Info, true},
            {Event::LimitChanged, "LimitChanged", EventLevel::Debug, true},
            {Event::AdmissionRefused, "AdmissionRefused", EventLevel::Warning, true},
            {Event::LateAnswerDropped, "LateAnswerDropped", EventLevel::Warning, true},
            {Event::CallOrphaned, "CallOrphaned", EventLevel::Warning, true},
            {Event::CrashSuspected, "CrashSuspected", EventLevel::Warning, false},
            {Event::PoisonRefused, "PoisonRefused", EventLevel::Warning, false},
            {Event::HolderEvicted, "HolderEvicted", EventLevel::Warning, true},
    };
    return catalogue;
}

const EventInfo &eventInfo(Event event)
{
    const std::vector<EventInfo> &catalogue = eventCatalogue();
    const auto found = std::lower_bound(
            catalogue.begin(), catalogue.end(), event,
            [](const EventInfo &info, Event wanted) { return info.event < wanted; });
    return *found;
}

std::string_view levelName(EventLevel level)
{
    switch (level) {
    case EventLevel::Debug:
        return "debug";
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "error";
}

} // namespace jacinthshift
