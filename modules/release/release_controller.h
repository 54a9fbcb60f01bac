#ifndef MODULES_RELEASE_RELEASE_CONTROLLER_H
#define MODULES_RELEASE_RELEASE_CONTROLLER_H

#include <chrono>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "modules/config/config_record.h"
#include "modules/config/config_state.h"
#include "modules/membership/member_table.h"
#include "modules/mesh/peer_network.h"
#include "modules/release/evidence_counter.h"
#include "modules/release/release_judge.h"
#include "modules/release/release_policy.h"
#include "servers/log_client.h"
#include "servers/timer_service.h"

namespace jacinthshift {

class ConfigStore;

struct ReleaseControllerOptions
{
    std::string node;
    std::uint64_t incarnation = 0; ///< Distinguishes restarts of this node.
    std::size_t proposerCount = 3; ///< Nodes per release that may propose its steps.
    std::chrono::milliseconds tickPeriod{500};
    /** Period of evidence reports. New failures and refusals are reported at the next tick. */
    std::chrono::milliseconds reportPeriod{2'000};
    /** Delay of a proposal for each proposer that ranks before this node. */
    std::chrono::milliseconds rankDelay{2'000};
    /** Time between two proposals of the same step. */
    std::chrono::milliseconds proposalInterval{3'000};
    FaultDetectorOptions detector;
};

/**
 * Advances, finishes and withdraws releases automatically.
 *
 * Each node counts its own requests and reports the counts to the release's proposers, the first
 * few nodes of its services by rendezvous hash. If its own requests show a fault, it applies the
 * brake at once, which sets the candidate's share to 0 on all nodes. A proposer appends the next
 * step to the log. ConfigState accepts only the first record for a step, so proposers need no
 * election, and the proposals of one that resumes after a pause have no effect.
 */
class ReleaseController final : public PeerObserver
{
public:
    /** Broadcasts a brake to all nodes. */
    using BrakeBroadcast = std::function<void(const BrakeMessage &)>;
    /** Returns the nodes from which the proposers of a release are chosen. */
    using ProposerSource = std::function<std::vector<std::string>(const Release &)>;

private:
    /** Evidence and pending step of an open or finished release. */
    struct ReleaseMonitor
    {
        explicit ReleaseMonitor(const FaultDetectorOptions &options)
            : localJudge(options), aggregateJudge(options)
        {
        }

        ReleaseJudge localJudge;     ///< Evaluates this node's own requests.
        ReleaseJudge aggregateJudge; ///< Evaluates the reports of all nodes, if this node proposes.
        std::vector<std::string> proposers; ///< In order of their rank.
        std::uint32_t stage = 0;
        std::uint64_t requestsBeforeStage = 0; ///< Candidate requests before the current stage.
        std::uint64_t refusedBeforeStage = 0;  ///< Refused requests before the current stage.
        std::uint64_t reportedProblems = 0;    ///< Failures and refusals in the last report.
        SteadyTime nextReportAt;
        std::string brakeReason; ///< Empty when not braked.
        bool stepDue = false;    ///< A step other than Wait is to be proposed.
        ReleaseDecision dueStep;
        SteadyTime dueSince;
        SteadyTime nextProposalAt;
    };

    ReleaseControllerOptions m_options;
    const ConfigStore &m_store;
    MemberTable &m_members;
    PeerNetwork &m_network;
    LogClient &m_log;
    TimerService &m_timers;
    ProposerSource m_proposerSource;
    BrakeBroadcast m_broadcastBrake;
    std::uint64_t m_syncedVersion = 0;    ///< Configuration version at the last syncMonitors().
    std::uint64_t m_rankedGeneration = 0; ///< Member generation at the last rankProposers().
    EvidenceCounter m_evidence;
    std::map<std::string, ReleaseMonitor> m_monitors; ///< By release id.
    std::uint64_t m_proposalCount = 0;
    Timer m_tickTimer;

    void tick();
    /** Updates the monitors if the configuration has changed. */
    void syncMonitors();
    /** Evaluates this node's own requests and reports them to the proposers. */
    void report(const Release &release, ReleaseMonitor &monitor);
    void sendReport(ReleaseMonitor &monitor, const EvidenceMessage &evidence);
    void brake(const std::string &release, ReleaseMonitor &monitor, const std::string &reason);
    /** Proposes the release's next step if it is due and the delay by rank has passed. */
    void propose(const Release &release, ReleaseMonitor &monitor, std::size_t rank);
    void append(const Release &release, const ReleaseDecision &decision);
    /** Updates the proposers of each release if the members have changed. */
    void rankProposers();
    std::vector<std::string> proposersOf(const Release &release) const;

public:
    ReleaseController(const ReleaseControllerOptions &options, const ConfigStore &store,
                      MemberTable &members, PeerNetwork &network, LogClient &log,
                      TimerService &timers, ProposerSource proposerSource,
                      BrakeBroadcast broadcastBrake);

    /** Counts one request of this node. Ignores releases that are closed, withdrawn or unknown. */
    void record(const RequestSample &sample);
    /** Returns the candidate's share of the traffic in thousandths; 0 while braked. */
    std::uint32_t candidateShare(const Release &release) const;
    /** Returns whether the brake is applied to a release's candidate on this node. */
    bool isBraked(const std::string &release) const;

    void linkEstablished(const std::string &peer) override;
    void messageReceived(const std::string &peer, LinkId link, const Message &message) override;
};

} // namespace jacinthshift

#endif // MODULES_RELEASE_RELEASE_CONTROLLER_H
