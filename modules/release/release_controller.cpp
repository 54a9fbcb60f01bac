#include "modules/release/release_controller.h"

#include <algorithm>

#include "core/duration.h"
#include "core/hash.h"
#include "core/logger.h"
#include "core/text.h"
#include "modules/config/config_codec.h"
#include "modules/distribution/config_store.h"

namespace jacinthshift {

namespace {

constexpr const char *ConfigStream = "config";

bool isMonitored(const Release &release)
{
    return release.status == ReleaseStatus::Open || release.status == ReleaseStatus::Finished;
}

std::string actionName(ReleaseAction action)
{
    switch (action) {
    case ReleaseAction::Wait:
        return "wait";
    case ReleaseAction::Advance:
        return "advance";
    case ReleaseAction::Finish:
        return "finish";
    case ReleaseAction::Close:
        return "close";
    case ReleaseAction::Withdraw:
        return "withdraw";
    }
    return "wait";
}

RecordBody bodyFor(const Release &release, const ReleaseDecision &decision)
{
    if (decision.action == ReleaseAction::Advance)
        return ReleaseStepRecord{.release = release.id, .stage = release.stage + 1};
    if (decision.action == ReleaseAction::Finish)
        return ReleaseFinishRecord{.release = release.id};
    if (decision.action == ReleaseAction::Close)
        return ReleaseCloseRecord{.release = release.id};
    return ReleaseWithdrawRecord{.release = release.id, .reason = decision.reason};
}

} // namespace

ReleaseController::ReleaseController(const ReleaseControllerOptions &options,
                                     const ConfigStore &store, MemberTable &members,
                                     PeerNetwork &network, LogClient &log, TimerService &timers,
                                     ProposerSource proposerSource, BrakeBroadcast broadcastBrake)
    : m_options(options)
    , m_store(store)
    , m_members(members)
    , m_network(network)
    , m_log(log)
    , m_timers(timers)
    , m_proposerSource(std::move(proposerSource))
    , m_broadcastBrake(std::move(broadcastBrake))
    , m_tickTimer(timers, timers.startPeriodic(options.tickPeriod, [this] { tick(); }))
{
    network.addObserver(*this);
}

void ReleaseController::record(const RequestSample &sample)
{
    const auto found = m_monitors.find(sample.release);
    if (found == m_monitors.end())
        return;
    m_evidence.add(sample);
}

std::uint32_t ReleaseController::candidateShare(const Release &release) const
{
    return isBraked(release.id) ? 0 : release.share();
}

bool ReleaseController::isBraked(const std::string &release) const
{
    const auto found = m_monitors.find(release);
    return found != m_monitors.end() && !found->second.brakeReason.empty();
}

std::vector<std::string> ReleaseController::proposersOf(const Release &release) const
{
    std::vector<std::string> nodes = m_proposerSource(release);
    const auto higherWeight = [&release](const std::string &a, const std::string &b) {
        return rendezvousWeight(release.id, a) > rendezvousWeight(release.id, b);
    };
    const std::size_t count = std::min(m_options.proposerCount, nodes.size());
    std::partial_sort(nodes.begin(), nodes.begin() + static_cast<std::ptrdiff_t>(count),
                      nodes.end(), higherWeight);
    nodes.resize(count);
    return nodes;
}

void ReleaseController::rankProposers()
{
    const bool membersChanged = m_rankedGeneration != m_members.generation();
    m_rankedGeneration = m_members.generation();
    for (auto &[id, monitor] : m_monitors) {
        if (membersChanged || monitor.proposers.empty())
            monitor.proposers = proposersOf(*m_store.state().findRelease(id));
    }
}

void ReleaseController::syncMonitors()
{
    if (m_syncedVersion == m_store.version())
        return;
    m_syncedVersion = m_store.version();
    std::vector<std::string> monitored;
    for (const auto &[id, release] : m_store.state().releases()) {
        if (!isMonitored(release))
            continue;
        monitored.push_back(id);
        ReleaseMonitor &monitor = m_monitors.try_emplace(id, m_options.detector).first->second;
        if (monitor.stage == release.stage)
            continue;
        monitor.stage = release.stage;
        monitor.requestsBeforeStage = monitor.aggregateJudge.candidateRequests();
        monitor.refusedBeforeStage = monitor.aggregateJudge.candidateRefused();
        monitor.stepDue = false;
    }
    std::erase_if(m_monitors, [&monitored](const auto &pair) {
        return std::find(monitored.begin(), monitored.end(), pair.first) == monitored.end();
    });
    m_evidence.keepOnly(monitored);
}

void ReleaseController::tick()
{
    syncMonitors();
    rankProposers();
    for (auto &[id, monitor] : m_monitors) {
        const Release &release = *m_store.state().findRelease(id);
        report(release, monitor);
        const std::vector<std::string> &proposers = monitor.proposers;
        const auto self = std::find(proposers.begin(), proposers.end(), m_options.node);
        if (self != proposers.end())
            propose(release, monitor, static_cast<std::size_t>(self - proposers.begin()));
    }
}

void ReleaseController::report(const Release &release, ReleaseMonitor &monitor)
{
    const EvidenceMessage evidence{.node = m_options.node,
                                   .incarnation = m_options.incarnation,
                                   .release = release.id,
                                   .routes = m_evidence.evidenceByRoute(release.id)};
    if (evidence.routes.empty())
        return;
    monitor.localJudge.addReport(evidence);
    const std::string fault = monitor.localJudge.fault();
    if (!fault.empty())
        brake(release.id, monitor, joinText("node ", m_options.node, ": ", fault));
    sendReport(monitor, evidence);
}

void ReleaseController::sendReport(ReleaseMonitor &monitor, const EvidenceMessage &evidence)
{
    std::uint64_t problems = 0;
    for (const RouteEvidence &route : evidence.routes) {
        for (const ArmEvidence &arm : {route.stable, route.candidate})
            problems += arm.failures + arm.refused;
    }
    const SteadyTime now = m_timers.now();
    if (problems == monitor.reportedProblems && now < monitor.nextReportAt)
        return;
    monitor.reportedProblems = problems;
    monitor.nextReportAt = now + m_options.reportPeriod;
    for (const std::string &proposer : monitor.proposers) {
        if (proposer == m_options.node) {
            monitor.aggregateJudge.addReport(evidence);
            continue;
        }
        m_network.connectPeer(proposer);
        m_network.send(proposer, evidence);
    }
}

void ReleaseController::brake(const std::string &release, ReleaseMonitor &monitor,
                              const std::string &reason)
{
    if (!monitor.brakeReason.empty())
        return;
    monitor.brakeReason = reason;
    logEvent(Event::BrakeApplied, {{"release", release}, {"reason", reason}});
    m_broadcastBrake(BrakeMessage{.release = release, .node = m_options.node, .reason = reason});
}

void ReleaseController::propose(const Release &release, ReleaseMonitor &monitor, std::size_t rank)
{
    const std::int64_t now = unixMilliseconds(m_timers.wallNow());
    const std::string fault = monitor.aggregateJudge.fault();
    if (!fault.empty())
        brake(release.id, monitor, fault);
    const StageEvidence evidence{
            .fault = monitor.brakeReason,
            .samples = monitor.aggregateJudge.candidateRequests() - monitor.requestsBeforeStage,
            .refused = monitor.aggregateJudge.candidateRefused() - monitor.refusedBeforeStage};
    const ReleaseDecision decision = ReleasePolicy::decide(release, evidence, now);
    if (decision.action == ReleaseAction::Wait) {
        monitor.stepDue = false;
        return;
    }
    const SteadyTime steadyNow = m_timers.now();
    if (!monitor.stepDue || monitor.dueStep.action != decision.action) {
        monitor.stepDue = true;
        monitor.dueStep = decision;
        monitor.dueSince = steadyNow;
        monitor.nextProposalAt = steadyNow + m_options.rankDelay * static_cast<int>(rank);
    }
    if (steadyNow < monitor.nextProposalAt)
        return;
    monitor.nextProposalAt = steadyNow + m_options.proposalInterval;
    append(release, decision);
}

void ReleaseController::append(const Release &release, const ReleaseDecision &decision)
{
    // Each proposal has a unique id; ConfigState accepts only the first record for a step.
    const std::string id =
            joinText(release.id, "/", actionName(decision.action), "/", release.stage, "/",
                     m_options.node, "/", m_options.incarnation, "/", ++m_proposalCount);
    const ConfigRecord record{
            .header = {.id = id,
                       .author = m_options.node,
                       .at = unixMilliseconds(m_timers.wallNow())},
            .body = bodyFor(release, decision),
    };
    logEvent(Event::ReleaseStepProposed, {{"release", release.id},
                                          {"action", actionName(decision.action)},
                                          {"stage", release.stage},
                                          {"reason", decision.reason}});
    m_log.append(ConfigStream, ConfigCodec::encodeRecord(record),
                 [](const absl::StatusOr<std::uint64_t> &offset) {
                     // A lost response needs no handling: the step appears in the log or is
                     // proposed again, and ConfigState accepts only the first record for it.
                     if (!offset.ok())
                         logEvent(Event::AppendFailed,
                                  {{"stream", ConfigStream},
                                   {"reason", std::string(offset.status().message())}});
                 });
}

void ReleaseController::linkEstablished(const std::string &peer)
{
    // A node that reconnects may have missed brakes that were applied while it was disconnected.
    for (const auto &[id, monitor] : m_monitors) {
        if (!monitor.brakeReason.empty())
            m_network.send(peer, BrakeMessage{.release = id,
                                              .node = m_options.node,
                                              .reason = monitor.brakeReason});
    }
}

void ReleaseController::messageReceived(const std::string &, LinkId, const Message &message)
{
    if (const EvidenceMessage *evidence = std::get_if<EvidenceMessage>(&message)) {
        syncMonitors();
        const auto found = m_monitors.find(evidence->release);
        if (found != m_monitors.end())
            found->second.aggregateJudge.addReport(*evidence);
    } else if (const BrakeMessage *brakeMessage = std::get_if<BrakeMessage>(&message)) {
        syncMonitors();
        const auto found = m_monitors.find(brakeMessage->release);
        if (found != m_monitors.end())
            brake(brakeMessage->release, found->second, brakeMessage->reason);
    }
}

} // namespace jacinthshift
