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
    /** The share of the requests that the new version gets until it has proved itself. */
    double canaryShare = 0.06;
    std::uint64_t canaryRequests = 40; ///< Answers of the new version before it gets more.
    /** How long the canary runs, as a part of the order's time; some faults show late. */
    double canaryPart = 0.38;
    /** The canary's end even with fewer answers, as a part of the order's time. */
    double hastePart = 0.6;
    double stepPart = 0.06; ///< How long each later step lasts, as a part of the order's time.
    double fullPart = 0.08; ///< How long it carries everything before the old version is stopped.
    std::chrono::milliseconds tickPeriod{200};
    /** How often progress is repeated for nodes that missed it. */
    std::chrono::milliseconds announcePeriod{1'000};
    std::chrono::milliseconds rankDelay{
            500}; ///< Each further node waits this much longer to write.
    std::chrono::milliseconds writePause{400}; ///< Between two tries to write.
    FaultDetectorOptions detector{.threshold = 9.0, .recentWindowCandidateRequests = 30.0};
};

/**
 * Moves services to new versions and takes faulty ones back, without anybody on duty.
 *
 * Owners tell all nodes what they have counted, so every node judges by the same evidence and
 * follows the furthest step of any other one. A fault stops the new version at once and without the
 * log; only the outcome is written there, under the condition that nobody else has written
 * meanwhile.
 */
class RolloutController final : public VersionPolicy, public FleetObserver
{
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
        SteadyTime learnedAt;
        SteadyTime firstAnswerAt;
        SteadyTime stepSince;
        std::uint32_t step = 0;
        RolloutOutcome outcome = RolloutOutcome::Open;
        bool registerRead = false; ///< Whether an earlier outcome has been looked for.
        bool busy = false;         ///< A call to the register is under way.
        RolloutOutcome written = RolloutOutcome::Open;
        bool startWritten = false;
        SteadyTime dueSince; ///< Since when something should be written.
        SteadyTime nextWrite;
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
    /** Progress that was heard before the order it belongs to, by service. */
    std::map<std::string, RolloutProgressMessage> m_early;
    std::uint64_t m_sharedRequests = 0; ///< In the last evidence that was sent.
    SteadyTime m_nextEvidence;
    Timer m_tick;

    void tick();
    void advance(Rollout &rollout);
    void setStep(Rollout &rollout, std::uint32_t step);
    void end(Rollout &rollout, RolloutOutcome outcome, const std::string &reason);
    void shareEvidence();
    void updateOwner();
    bool oldVersionIsIdle(const Rollout &rollout) const;
    bool targetIsThere(const Rollout &rollout) const;
    std::size_t rank(const Rollout &rollout) const;
    void writeIfDue(const RolloutPointer &rollout);
    void consultRegister(const RolloutPointer &rollout);
    void write(const RolloutPointer &rollout, std::uint64_t end);
    RolloutOutcome wanted(const Rollout &rollout) const;
    void announce(Rollout &rollout);
    void follow(Rollout &rollout, const RolloutProgressMessage &progress, const std::string &node);
    RolloutProgressMessage progressOf(const Rollout &rollout) const;

public:
    RolloutController(const RolloutControllerOptions &options, FleetNetwork &network,
                      TimerService &timers, RolloutRegister &outcomes, BackendOwner &owner);

    /** Takes an order of the operator; the offset tells it from an earlier one. */
    void setOrder(const RolloutOrder &order, std::uint64_t offset);
    /** Forgets the order for a service; a version that was rolled back stays excluded. */
    void removeOrder(const std::string &service);

    VersionChoice nextRequest(const std::string &service) override;
    void fleetMessage(const std::string &node, const FleetMessage &message) override;
    void fleetLinksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_ROLLOUT_CONTROLLER_H
