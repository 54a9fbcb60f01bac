#ifndef CORE_EVENT_H
#define CORE_EVENT_H

#include <string_view>
#include <vector>

namespace jacinthshift {

/** The severity of an event, lowest first. */
enum class EventLevel { Debug, Info, Warning, Error };

/**
 * The events that the program logs, with their numbers. docs/EVENTS.md documents each event; a test
 * checks that both lists agree. A number is never reused for another event.
 */
enum class Event {
    NodeStarted = 1001,
    NodeStopping = 1002,
    NodeStopped = 1003,
    NodeServing = 1004,
    NodeNotServing = 1005,
    SettingsRefused = 1010,
    SettingsReloaded = 1011,
    LoopDelayed = 1012,
    ShutdownWaiting = 1013,

    ConfigInstalled = 2001,
    RecordRejected = 2002,
    RecordMalformed = 2003,
    SnapshotInstalled = 2004,
    SnapshotRefused = 2005,
    LogReadFailed = 2006,
    LogWentBack = 2007,
    LogRetentionPassed = 2008,
    SnapshotWritten = 2009,
    UpstreamChosen = 2010,
    FloorLearnt = 2011,
    AppendFailed = 2012,
    LogLost = 2013,
    LogRegained = 2014,
    OperatorRecordIgnored = 2015,
    TrafficConfigInForce = 2016,
    LogRestored = 2017,
    KeysUnverified = 2020,
    KeysVerified = 2021,
    UsageDutyTaken = 2030,
    UsageDutyLost = 2031,
    UsageSealed = 2032,
    UsageReported = 2033,
    UsageIncomplete = 2034,
    UsageDropped = 2035,

    ReleaseStarted = 3001,
    ReleaseStepProposed = 3002,
    ReleaseAdvanced = 3003,
    ReleaseCompleted = 3004,
    ReleaseWithdrawn = 3005,
    BrakeApplied = 3006,
    DomainTakenOut = 3010,
    DomainBroughtBack = 3011,
    RolloutOrdered = 3020,
    RolloutAdvanced = 3021,
    RolloutCompleted = 3022,
    RolloutRolledBack = 3023,
    RolloutRegisterFailed = 3024,

    MemberChanged = 4001,
    PeerSuspected = 4002,
    LinkOpened = 4003,
    LinkClosed = 4004,
    LinkSilent = 4005,
    FrameRefused = 4006,
    PeerSilent = 4007,
    BackendAnnounced = 4010,
    BackendRefused = 4011,
    BackendLeaving = 4012,
    BackendLost = 4013,
    HeartbeatIgnored = 4014,
    LeftBackendReported = 4015,
    BackendTurnedCold = 4016,
    BackendConnectionLost = 4017,
    DepartureRecorded = 4018,
    DepartureNotRecorded = 4019,
    RateLimitNamed = 4020,
    RateLimitEnded = 4021,
    RateLimitMalformed = 4022,

    RouteChosen = 5001,
    RouteRefused = 5002,
    RequestRetried = 5003,
    RequestAnswered = 5004,
    RequestRefused = 5005,
    OwnerChosen = 5006,
    RequestServed = 5007,
    RequestFailed = 5008,
    CallerGone = 5009,
    LimitChanged = 5010,
    AdmissionRefused = 5011,
    LateAnswerDropped = 5012,
    CallOrphaned = 5013,
    CrashSuspected = 5020,
    PoisonRefused = 5021,
    HolderEvicted = 5030,
};

/** The catalogue entry of an event. */
struct EventInfo
{
    Event event;
    std::string_view name;
    EventLevel level;
    bool isRateLimited; ///< Whether the number of its log lines per second is limited.
};

/** Returns all events, ordered by number. */
const std::vector<EventInfo> &eventCatalogue();

/** Returns the catalogue entry of an event. */
const EventInfo &eventInfo(Event event);

/** Returns the lower-case name of a level. */
std::string_view levelName(EventLevel level);

} // namespace jacinthshift

#endif // CORE_EVENT_H
