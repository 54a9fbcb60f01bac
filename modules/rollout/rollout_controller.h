#ifndef MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H
#define MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H

#include <map>
#include <memory>
#include <string>

#include "core/random.h"
#include "modules/fleet/fleet_network.h"
#include "modules/forwarding/version_policy.h"
#include "modules/owner/backend_owner.h"
#include "modules/rollout/rollout_judge.h"
#include "modules/rollout/rollout_register.h"
#include "modules/traffic/traffic_config.h"

namespace jacinthshift {

struct RolloutControllerOptions
{
    std::string node;
    std::uint64_t seed = 0;
    /** The new version's share of the requests during the canary step, from 0 to 1. */
    double canaryShare = 0.06;
    std::uint64_t canaryRequests = 40; ///< Requests answered by the new version in that step.
    /**
     * Minimum duration of the canary step after the new version's first answer, as a fraction of
     * the order's duration. Some faults appear only after a while.
     */
    double canaryFraction = 0.38;
    /**
     * Fraction of the order's duration, counted from its receipt, after which half of
     * canaryRequests is enough to end the canary step.
     */
    double canaryTimeoutFraction = 0.6;
    double stepFraction = 0.06; ///< Duration of each later step, as such a fraction.
    /**
     * Minimum duration of the last step, in which the new version serves all requests, before the
     * old version is stopped; a fraction of the order's duration.
     */
    double lastStepFraction = 0.08;
    std::chrono::milliseconds tickPeriod{200};
    /** Period in which progress is broadcast again for nodes that missed it. */
    std::chrono::milliseconds announcePeriod{1'000};
    std::chrono::milliseconds rankDelay{500};            ///< Additional delay of a write per rank.
    std::chrono::milliseconds registerCallInterval{400}; ///< Between two accesses to the register.
    FaultDetectorOptions detector{.threshold = 9.0, .recentWindowCandidateRequests = 30.0};
};

/**
 * Rolls services out to new versions and rolls faulty versions back automatically.
 *
 * Owners broadcast their request counts, so all nodes evaluate the same evidence. A node advances
 * to the furthest step that any peer reports. A fault stops the new version at once, without access
 * to the log. Only the outcome is written to the log, on condition that no other node has written
 * in the meantime.
 */
class RolloutController final : public VersionPolicy, public FleetObserver
{
    /** The state of the rollout of one service. */
    struct Rollout
    {
        Rollout(const RolloutOrder &rolloutOrder, std::uint64_t orderOffset,
                const FaultDetectorOptions &detector)
            : order(rolloutOrder), offset(orderOffset), judge(rolloutOrder.targetVersion, detector)
        {
        }

        RolloutOrder order;
        std::uint64_t offset;
        RolloutJudge judge;
        SteadyTime receivedAt;
        SteadyTime firstAnswerAt;
        SteadyTime stepStartedAt;
        std::uint32_t step = 0;
        RolloutOutcome outcome = RolloutOutcome::Open;
        bool registerRead = false; ///< The register has been read since the order was received.
        bool registerCallInFlight = false; ///< A call to the register is in flight.
        RolloutOutcome writtenOutcome = RolloutOutcome::Open; ///< The outcome in the register.
        bool startWritten = false; ///< The register has an entry for this order.
        SteadyTime writeDueSince;  ///< When a write became due; zero if none is due.
        SteadyTime nextRegisterCall;
        std::map<std::string, std::uint32_t> peerSteps;
        SteadyTime announcedAt;
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
    std::uint64_t m_broadcastRequests = 0; ///< Requests counted in the last evidence broadcast.
    SteadyTime m_nextEvidenceBroadcast;
    Timer m_tick;

    void tick();
    void advance(Rollout &rollout);
    void setStep(Rollout &rollout, std::uint32_t step);
    void end(Rollout &rollout, RolloutOutcome outcome, const std::string &reason);
    void broadcastEvidence();
    void updateOwner();
    bool isOldVersionIdle(const Rollout &rollout) const;
    bool isTargetReady(const Rollout &rollout) const;
    std::size_t rank(const Rollout &rollout) const;
    void writeIfDue(const RolloutPointer &rollout);
    void readRegister(const RolloutPointer &rollout);
    void write(const RolloutPointer &rollout, std::uint64_t tableEnd);
    RolloutOutcome outcomeToWrite(const Rollout &rollout) const;
    void announce(Rollout &rollout);
    void applyPeerProgress(Rollout &rollout, const RolloutProgressMessage &progress,
                           const std::string &node);
    RolloutProgressMessage progressOf(const Rollout &rollout) const;

public:
    RolloutController(const RolloutControllerOptions &options, FleetNetwork &network,
                      TimerService &timers, RolloutRegister &outcomes, BackendOwner &owner);

    /**
     * Starts a rollout that the operator ordered. Ignores an order whose offset is not greater than
     * that of the service's current order.
     */
    void setOrder(const RolloutOrder &order, std::uint64_t offset);
    /** Drops the order of a service; a version that was rolled back stays excluded. */
    void removeOrder(const std::string &service);

    VersionChoice chooseVersion(const std::string &service) override;
    void fleetMessage(const std::string &node, const FleetMessage &message) override;
    void fleetLinksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H
