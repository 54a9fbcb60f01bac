#ifndef MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H
#define MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H

#include <map>
#include <memory>
#include <set>
#include <string>

#include "core/random.h"
#include "modules/fleet/fleet_network.h"
#include "modules/forwarding/version_policy.h"
#include "modules/owner/backend_owner.h"
#include "modules/rollout/exposure_ledger.h"
#include "modules/rollout/rollout_judge.h"
#include "modules/rollout/rollout_register.h"
#include "modules/traffic/traffic_config.h"

namespace jacinthshift {

struct RolloutControllerOptions
{
    std::string node;
    std::uint64_t randomSeed = 0;
    /**
     * Most requests that the new version gets until the order's duration has passed, as a share of
     * all requests of this node to the service, from 0 to 1. Below the operator's limit, as what
     * the nodes and the operator count differs by the requests in flight.
     */
    double exposureShare = 0.095;
    /** The new version's share of the requests during the canary step, from 0 to 1. */
    double canaryShare = 0.06;
    /** Its share after the canary step until the ramp, in which late faults are found. */
    double watchShare = 0.012;
    /** Minimum number of requests that the new version answers before the canary step ends. */
    std::uint64_t canaryRequests = 40;
    /**
     * Minimum duration of the canary step after the new version's first answer, as a fraction of
     * the order's duration. Some faults appear only after a while.
     */
    double canaryFraction = 0.12;
    /** Fraction of the order's duration after which half of canaryRequests ends the canary step. */
    double canaryTimeoutFraction = 0.6;
    /**
     * Fraction of the order's duration after which the ramp begins. Until the duration has passed,
     * the ramp has to fit into exposureShare, as the version may be faulty nevertheless.
     */
    double rampFraction = 0.915;
    /** Duration of the only step of a ramp that begins in time; a fraction of the duration. */
    double timelyStepFraction = 0.013;
    /** Duration of each step of a later ramp, as a fraction of the order's duration. */
    double stepFraction = 0.06;
    /**
     * Minimum duration of the last step, in which the new version serves all requests, before the
     * old version is stopped; a fraction of the order's duration.
     */
    double lastStepFraction = 0.03;
    double lateLastStepFraction = 0.08; ///< The same after the order's duration.
    std::chrono::milliseconds tickPeriod{200};
    std::chrono::milliseconds rampTickPeriod{
            50}; ///< The same for rollouts after their canary step.
    /** Interval at which progress is broadcast again for nodes that missed it. */
    std::chrono::milliseconds announcePeriod{1'000};
    /** Delay of a write to the register for each node that ranks before this one. */
    std::chrono::milliseconds rankDelay{500};
    /** Minimum time between two attempts to read and then update the register. */
    std::chrono::milliseconds registerCallInterval{400};
    FaultDetectorOptions detector{.threshold = 9.0, .recentWindowCandidateRequests = 30.0};
};

/**
 * Rolls out new versions of services and rolls faulty versions back automatically.
 *
 * Owners broadcast their request counts, so all nodes evaluate the same evidence. A node advances
 * to the furthest step that any peer reports. A fault stops the new version at once, without access
 * to the log. Until the order's duration has passed, each node's ledger bounds the requests to the
 * new version, sound or not, and the pace is made to fit it. Only the start and the outcome of a
 * rollout are written to the log, on condition that no other node has written in the meantime.
 */
class RolloutController final : public VersionPolicy, public FleetObserver
{
    struct PeerProgress
    {
        std::uint32_t step = 0;
        bool domainDone = false; ///< See RolloutProgressMessage.
        bool ownerIdle = false;  ///< The same.
        SteadyTime receivedAt;
    };
    /** The state of the rollout of one service. */
    struct Rollout
    {
        Rollout(const RolloutOrder &rolloutOrder, TablePosition orderPosition,
                const FaultDetectorOptions &detector, const ExposureLedger &exposureLedger)
            : order(rolloutOrder)
            , position(orderPosition)
            , judge(rolloutOrder.targetVersion, detector)
            , ledger(exposureLedger)
        {
        }

        RolloutOrder order;
        TablePosition position; ///< Of the order's record in the operator table.
        RolloutJudge judge;
        ExposureLedger ledger;
        SteadyTime orderedAt;     ///< When the first known node received the order.
        SteadyTime firstAnswerAt; ///< When answers of the new version were first counted.
        SteadyTime stepStartedAt;
        std::uint32_t step = 0; ///< 0 is the canary step, 1 the watch, the others are the ramp.
        RolloutOutcome outcome = RolloutOutcome::Open;
        bool registerRead = false; ///< The register has been read since the order was received.
        bool registerCallInFlight = false; ///< A call to the register is in flight.
        RolloutOutcome writtenOutcome = RolloutOutcome::Open; ///< The outcome in the register.
        bool startWritten = false; ///< The register has an entry for this order.
        SteadyTime writeDueSince;  ///< When a write became due; zero if none is due.
        SteadyTime nextRegisterCall;
        std::map<std::string, PeerProgress> peerProgress; ///< The last report, by node.
        SteadyTime announcedAt;
        bool announcedIdle = false; ///< The last RolloutProgressMessage::ownerIdle.
    };
    using RolloutPointer = std::shared_ptr<Rollout>;

    RolloutControllerOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    RolloutRegister &m_register;
    BackendOwner &m_owner;
    Random m_random;
    std::map<std::string, RolloutPointer> m_rollouts;
    /** Progress messages received before the order that they belong to, by service. */
    std::map<std::string, RolloutProgressMessage> m_earlyProgress;
    /** By service, versions that were rolled back, also by earlier orders. */
    std::map<std::string, std::set<std::string>> m_faultyVersions;
    std::uint64_t m_broadcastRequests = 0; ///< Requests counted in the last evidence broadcast.
    std::uint64_t m_reportSequence = 0;    ///< Of the last evidence broadcast.
    /** Reports of owners that wait to be passed on, the newest by owner. */
    std::map<std::string, VersionEvidenceMessage> m_reportsForOtherDomains;
    std::map<std::string, VersionEvidenceMessage> m_reportsForOwnDomain;
    SteadyTime m_nextEvidenceBroadcast;
    Timer m_tick;
    Timer m_rampTick;

    void tick();
    void rampTick();
    /** Returns whether this node's backend server runs no request of the old version. */
    bool isOwnerIdle(const Rollout &rollout) const;
    void advance(Rollout &rollout);
    void setStep(Rollout &rollout, std::uint32_t step);
    void end(Rollout &rollout, RolloutOutcome outcome, const std::string &reason);
    void broadcastEvidence();
    /** Takes an owner's report from it or from a relay, and passes it on if this is a relay. */
    void addReport(const std::string &sender, const VersionEvidenceMessage &report);
    /** Passes collected reports on to the other failure domains and within the own one. */
    void relayEvidence();
    void updateOwner();
    Rollout *openRollout(const std::string &service);
    std::chrono::milliseconds orderAge(const Rollout &rollout) const;
    /** Returns whether the order's duration has not passed, so that the ledger applies. */
    bool isBound(const Rollout &rollout) const;
    /** Returns whether the ramp may begin, or go on after its step. */
    bool isRampDue(const Rollout &rollout) const;
    /** Returns the share of the requests for the new version, from 0 to 1. */
    double targetShare(const Rollout &rollout) const;
    /** Returns whether the last step has lasted long enough for the rollout to complete. */
    bool hasLastStepElapsed(const Rollout &rollout) const;
    /**
     * Returns whether all reachable peers are at the last step and no owner has running or queued
     * requests to the old version, as far as this node has links; of other failure domains, their
     * nodes tell.
     */
    bool isOldVersionIdle(const Rollout &rollout) const;
    /** Returns the same for this node and the linked peers; optionally of its own domain only. */
    bool areLinkedNodesDone(const Rollout &rollout, bool ownDomainOnly) const;
    bool isTargetReady(const Rollout &rollout) const;
    /** Returns how many reachable nodes write to the register before this node. */
    std::size_t rank(const Rollout &rollout) const;
    void writeIfDue(const RolloutPointer &rollout);
    void readRegister(const RolloutPointer &rollout);
    void write(const RolloutPointer &rollout, std::uint64_t tableEnd);
    /** Returns the outcome that the register should contain now. */
    RolloutOutcome outcomeToWrite(const Rollout &rollout) const;
    void announce(Rollout &rollout);
    void applyPeerProgress(Rollout &rollout, const RolloutProgressMessage &progress,
                           const std::string &source);
    RolloutProgressMessage progressOf(const Rollout &rollout) const;

public:
    RolloutController(const RolloutControllerOptions &options, FleetNetwork &network,
                      TimerService &timers, RolloutRegister &rolloutRegister, BackendOwner &owner);

    /**
     * Starts a rollout that the operator ordered. `position` is that of the order's record in the
     * operator table; an order is ignored unless it is after that of the service's current order.
     * The same order in a later era is the current one, which the operator wrote again after the
     * log was restored.
     */
    void setOrder(const RolloutOrder &order, TablePosition position);
    /** Drops the order of a service; a version that was rolled back stays excluded. */
    void removeOrder(const std::string &service);
    /** Writes again what the register has lost because the log was restored from an older copy. */
    void logRestored();

    VersionChoice chooseVersion(const std::string &service) override;
    VersionChoice reviseChoice(const std::string &service, const VersionChoice &choice) override;
    void requestSent(const std::string &service, const std::string &version) override;
    void requestNotReached(const std::string &service, const std::string &version) override;
    void requestAnswered(const std::string &service) override;
    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H
