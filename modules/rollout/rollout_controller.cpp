#include "modules/rollout/rollout_controller.h"

#include <algorithm>
#include <array>
#include <utility>

#include "core/hash.h"
#include "core/logger.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxEarlyProgress = 4'096; ///< More than there are services.

// The new version's share of the requests in each step of the ramp, from 0 to 1. The shares
// increase gradually so that a fault under load shows at one of the steps.
constexpr std::array<double, 4> RampShares = {0.2, 0.4, 0.7, 1.0};
constexpr std::uint32_t WatchStep = 1;
constexpr std::uint32_t FirstRampStep = 2;
// A ramp that has to fit into the exposure share consists of this step and the last one.
constexpr std::uint32_t TimelyRampStep = 3;
constexpr std::uint32_t LastStep = FirstRampStep + RampShares.size() - 1;

std::chrono::milliseconds fractionOf(std::chrono::milliseconds duration, double fraction)
{
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(duration.count()) * fraction));
}

} // namespace

RolloutController::RolloutController(const RolloutControllerOptions &options, FleetNetwork &network,
                                     TimerService &timers, RolloutRegister &rolloutRegister,
                                     BackendOwner &owner)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_register(rolloutRegister)
    , m_owner(owner)
    , m_random(options.randomSeed)
{
    network.addObserver(*this);
    m_tick = Timer(timers, timers.startPeriodic(options.tickPeriod, [this] { tick(); }));
    m_rampTick =
            Timer(timers, timers.startPeriodic(options.rampTickPeriod, [this] { rampTick(); }));
}

void RolloutController::setOrder(const RolloutOrder &order, TablePosition position)
{
    const auto found = m_rollouts.find(order.service);
    if (found != m_rollouts.end()) {
        Rollout &current = *found->second;
        if (current.position >= position)
            return;
        if (current.position.era < position.era && current.order == order) {
            current.position = position;
            return;
        }
    }
    const RolloutPointer rollout =
            std::make_shared<Rollout>(order, position, m_options.detector,
                                      ExposureLedger(m_options.exposureShare, m_random.uniform()));
    rollout->orderedAt = m_timers.now();
    rollout->stepStartedAt = m_timers.now();
    m_rollouts[order.service] = rollout;
    m_faultyVersions[order.service].erase(order.targetVersion);
    logEvent(Event::RolloutOrdered, {{"service", order.service},
                                     {"target", order.targetVersion},
                                     {"within_ms", order.duration.count()},
                                     {"offset", position.offset}});
    const auto early = m_earlyProgress.find(order.service);
    if (early != m_earlyProgress.end() && early->second.targetVersion == order.targetVersion)
        applyPeerProgress(*rollout, early->second, "an earlier message");
    updateOwner();
    readRegister(rollout);
}

/** Sends rollout progress to a node that may have started while the log was unreachable. */
void RolloutController::linksChanged(const std::string &node)
{
    for (const auto &[service, rollout] : m_rollouts)
        m_network.send(node, progressOf(*rollout));
}

void RolloutController::removeOrder(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    if (found != m_rollouts.end() && found->second->outcome != RolloutOutcome::RolledBack)
        m_rollouts.erase(found);
    updateOwner();
}

void RolloutController::logRestored()
{
    for (const auto &[service, rollout] : m_rollouts) {
        rollout->startWritten = false;
        rollout->writtenOutcome = RolloutOutcome::Open;
        rollout->writeDueSince = SteadyTime();
    }
}

VersionChoice RolloutController::chooseVersion(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end())
        return VersionChoice();
    const Rollout &rollout = *found->second;
    const std::string &target = rollout.order.targetVersion;
    switch (rollout.outcome) {
    case RolloutOutcome::RolledBack:
        return VersionChoice{.requiredVersion = "", .excludedVersion = target};
    case RolloutOutcome::Completed:
        return VersionChoice{
                .requiredVersion = target, .excludedVersion = "", .allowFallback = true};
    case RolloutOutcome::Open:
        break;
    }
    if (!rollout.registerRead && rollout.step == 0)
        return VersionChoice{.requiredVersion = "", .excludedVersion = target};
    const bool allowed = !isBound(rollout) || rollout.ledger.allowsRequest();
    if (allowed && m_random.uniform() < targetShare(rollout))
        return VersionChoice{
                .requiredVersion = target, .excludedVersion = "", .allowFallback = true};
    return VersionChoice{.requiredVersion = "", .excludedVersion = target};
}

VersionChoice RolloutController::reviseChoice(const std::string &service,
                                              const VersionChoice &choice)
{
    const auto found = m_rollouts.find(service);
    if (found == m_rollouts.end() || found->second->outcome == RolloutOutcome::Completed)
        return choice;
    const Rollout &rollout = *found->second;
    const std::string &target = rollout.order.targetVersion;
    // The request may have waited since before the order or before the outcome.
    if (choice.excludedVersion == target)
        return choice;
    const bool open = rollout.outcome == RolloutOutcome::Open;
    if (open && choice.requiredVersion != target)
        return chooseVersion(service);
    if (!open || (isBound(rollout) && !rollout.ledger.allowsRequest()))
        return VersionChoice{.requiredVersion = "", .excludedVersion = target};
    return choice;
}

RolloutController::Rollout *RolloutController::openRollout(const std::string &service)
{
    const auto found = m_rollouts.find(service);
    const bool open = found != m_rollouts.end() && found->second->outcome == RolloutOutcome::Open;
    return open ? found->second.get() : nullptr;
}

void RolloutController::requestSent(const std::string &service, const std::string &version)
{
    Rollout *rollout = openRollout(service);
    if (rollout != nullptr && rollout->order.targetVersion == version)
        rollout->ledger.charge();
}

void RolloutController::requestNotReached(const std::string &service, const std::string &version)
{
    Rollout *rollout = openRollout(service);
    if (rollout != nullptr && rollout->order.targetVersion == version)
        rollout->ledger.refund();
}

void RolloutController::requestAnswered(const std::string &service)
{
    if (Rollout *rollout = openRollout(service))
        rollout->ledger.requestAnswered();
}

std::chrono::milliseconds RolloutController::orderAge(const Rollout &rollout) const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now()
                                                                 - rollout.orderedAt);
}

bool RolloutController::isBound(const Rollout &rollout) const
{
    return orderAge(rollout) < rollout.order.duration;
}

bool RolloutController::isRampDue(const Rollout &rollout) const
{
    const std::chrono::milliseconds duration = rollout.order.duration;
    const auto stepTime = m_timers.now() - rollout.stepStartedAt;
    if (rollout.step == WatchStep)
        return orderAge(rollout) >= fractionOf(duration, m_options.rampFraction);
    return stepTime >= fractionOf(duration, isBound(rollout) ? m_options.timelyStepFraction
                                                             : m_options.stepFraction);
}

double RolloutController::targetShare(const Rollout &rollout) const
{
    if (rollout.step == 0)
        return m_options.canaryShare;
    if (rollout.step == WatchStep)
        return m_options.watchShare;
    const double share = RampShares.at(rollout.step - FirstRampStep);
    if (isBound(rollout))
        return share;
    // The ledger has held the version's load back until now, so that it still increases gradually.
    const auto late = orderAge(rollout) - rollout.order.duration;
    const auto steps = static_cast<std::size_t>(
            late
            / std::max(fractionOf(rollout.order.duration, m_options.stepFraction),
                       std::chrono::milliseconds(1)));
    return std::min(share, RampShares.at(std::min(steps, RampShares.size() - 1)));
}

void RolloutController::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const VersionEvidenceMessage *report = std::get_if<VersionEvidenceMessage>(&message)) {
        addReport(node, *report);
        return;
    }
    if (const EvidenceBatchMessage *batch = std::get_if<EvidenceBatchMessage>(&message)) {
        for (const VersionEvidenceMessage &report : batch->reports)
            addReport(node, report);
        return;
    }
    const RolloutProgressMessage *progress = std::get_if<RolloutProgressMessage>(&message);
    if (progress == nullptr)
        return;
    const auto found = m_rollouts.find(progress->service);
    if (found != m_rollouts.end() && found->second->order.targetVersion == progress->targetVersion)
        applyPeerProgress(*found->second, *progress, node);
    else if (found == m_rollouts.end()
             && (m_earlyProgress.size() < MaxEarlyProgress
                 || m_earlyProgress.contains(progress->service)))
        m_earlyProgress[progress->service] = *progress;
}

void RolloutController::addReport(const std::string &sender, const VersionEvidenceMessage &report)
{
    const auto found = m_rollouts.find(report.service);
    if (found == m_rollouts.end() || !found->second->judge.addReport(report)
        || !m_network.needsRelays())
        return;
    const FleetPeer *peer = m_network.peer(sender);
    if (peer == nullptr)
        return;
    // Reports of the own domain go to the others. Relays of other domains send theirs to relays
    // only, so what comes from there is passed on to the own domain.
    if (!m_network.isInOwnDomain(*peer))
        m_reportsForOwnDomain[report.node] = report;
    else if (sender == report.node)
        m_reportsForOtherDomains[report.node] = report;
}

void RolloutController::relayEvidence()
{
    const auto takeBatch = [](std::map<std::string, VersionEvidenceMessage> &reports) {
        EvidenceBatchMessage batch;
        for (auto &[node, report] : std::exchange(reports, {}))
            batch.reports.push_back(std::move(report));
        return batch;
    };
    const EvidenceBatchMessage ownDomain = takeBatch(m_reportsForOwnDomain);
    const EvidenceBatchMessage otherDomains = takeBatch(m_reportsForOtherDomains);
    if ((ownDomain.reports.empty() && otherDomains.reports.empty()) || !m_network.isRelay())
        return;
    if (!otherDomains.reports.empty()) {
        for (const std::string &relay : m_network.otherDomainRelays())
            m_network.send(relay, otherDomains);
    }
    if (!ownDomain.reports.empty()) {
        for (const auto &[node, peer] : m_network.peers()) {
            if (m_network.isInOwnDomain(peer))
                m_network.send(node, ownDomain);
        }
    }
}

void RolloutController::applyPeerProgress(Rollout &rollout, const RolloutProgressMessage &progress,
                                          const std::string &source)
{
    // Longer ages make no difference.
    const std::chrono::milliseconds age =
            std::clamp(progress.orderAge, std::chrono::milliseconds(0), rollout.order.duration * 2);
    rollout.orderedAt = std::min(rollout.orderedAt, m_timers.now() - age);
    rollout.peerProgress[source] = {.step = progress.step,
                                    .domainDone = progress.domainDone,
                                    .ownerIdle = progress.ownerIdle,
                                    .receivedAt = m_timers.now()};
    if (rollout.outcome != RolloutOutcome::Open)
        return;
    if (progress.outcome != RolloutOutcome::Open)
        end(rollout, progress.outcome, "reported by " + source);
    else if (progress.step > rollout.step)
        setStep(rollout, progress.step);
}

void RolloutController::tick()
{
    if (m_rollouts.empty())
        return;
    broadcastEvidence();
    relayEvidence();
    for (const auto &[service, rollout] : std::map<std::string, RolloutPointer>(m_rollouts)) {
        if (rollout->outcome == RolloutOutcome::Open) {
            advance(*rollout);
            if (m_timers.now() - rollout->announcedAt >= m_options.announcePeriod)
                announce(*rollout);
        }
        writeIfDue(rollout);
    }
    updateOwner();
}

void RolloutController::rampTick()
{
    for (const auto &[service, rollout] : std::map<std::string, RolloutPointer>(m_rollouts)) {
        if (rollout->outcome != RolloutOutcome::Open || rollout->step < WatchStep)
            continue;
        advance(*rollout);
        if (rollout->step == LastStep && isOwnerIdle(*rollout) != rollout->announcedIdle)
            announce(*rollout);
        writeIfDue(rollout);
    }
}

bool RolloutController::isOwnerIdle(const Rollout &rollout) const
{
    const BackendStatus backend = m_owner.status();
    const bool runsOldVersion = backend.service == rollout.order.service
                                && backend.version != rollout.order.targetVersion;
    return !runsOldVersion || backend.running + backend.queued == 0;
}

void RolloutController::broadcastEvidence()
{
    const BackendStatus backend = m_owner.status();
    const auto found = m_rollouts.find(backend.service);
    if (found == m_rollouts.end() || found->second->outcome != RolloutOutcome::Open)
        return;
    const VersionEvidenceMessage report{.node = m_options.node,
                                        .incarnation = m_network.self().incarnation,
                                        .sequence = ++m_reportSequence,
                                        .service = backend.service,
                                        .version = backend.version,
                                        .backend = backend.id,
                                        .routes = m_owner.evidence()};
    found->second->judge.addReport(report);
    std::uint64_t requests = 0;
    for (const VersionEvidence &route : report.routes)
        requests += route.counts.requests;
    // Counts of the new version decide the rollout; those of the old version are only the baseline
    // and may be sent later.
    const bool urgent = backend.version == found->second->order.targetVersion;
    const bool due = urgent || m_timers.now() >= m_nextEvidenceBroadcast;
    if (requests == m_broadcastRequests || !due)
        return;
    m_broadcastRequests = requests;
    m_nextEvidenceBroadcast = m_timers.now() + m_network.heartbeatPeriod() * 2;
    m_network.broadcast(report);
    if (m_network.needsRelays())
        m_reportsForOtherDomains[report.node] = report;
}

void RolloutController::advance(Rollout &rollout)
{
    const SteadyTime now = m_timers.now();
    const std::string fault = rollout.judge.fault();
    if (!fault.empty()) {
        end(rollout, RolloutOutcome::RolledBack, fault);
        return;
    }
    const std::uint64_t candidateRequests = rollout.judge.candidateRequests();
    if (candidateRequests == 0)
        return;
    if (rollout.firstAnswerAt == SteadyTime())
        rollout.firstAnswerAt = now;
    // A rollout may have ended as long as the register has not been read.
    if (rollout.step == LastStep || !rollout.registerRead)
        return;
    if (rollout.step > 0) {
        if (!isRampDue(rollout))
            return;
        if (isBound(rollout))
            setStep(rollout, rollout.step < TimelyRampStep ? TimelyRampStep : LastStep);
        else
            setStep(rollout, rollout.step + 1);
        return;
    }
    const bool canaryPassed = candidateRequests >= m_options.canaryRequests
                              && now - rollout.firstAnswerAt >= fractionOf(
                                         rollout.order.duration, m_options.canaryFraction);
    const bool canaryTimeExceeded =
            candidateRequests >= m_options.canaryRequests / 2
            && orderAge(rollout)
                       >= fractionOf(rollout.order.duration, m_options.canaryTimeoutFraction);
    if ((canaryPassed || canaryTimeExceeded) && isTargetReady(rollout))
        setStep(rollout, WatchStep);
}

void RolloutController::setStep(Rollout &rollout, std::uint32_t step)
{
    rollout.step = std::min(step, LastStep);
    rollout.stepStartedAt = m_timers.now();
    logEvent(Event::RolloutAdvanced, {{"service", rollout.order.service},
                                      {"target", rollout.order.targetVersion},
                                      {"step", rollout.step},
                                      {"candidate_requests", rollout.judge.candidateRequests()}});
    announce(rollout);
}

void RolloutController::end(Rollout &rollout, RolloutOutcome outcome, const std::string &reason)
{
    rollout.outcome = outcome;
    if (outcome == RolloutOutcome::RolledBack)
        m_faultyVersions[rollout.order.service].insert(rollout.order.targetVersion);
    rollout.writeDueSince = m_timers.now();
    logEvent(outcome == RolloutOutcome::Completed ? Event::RolloutCompleted
                                                  : Event::RolloutRolledBack,
             {{"service", rollout.order.service},
              {"target", rollout.order.targetVersion},
              {"candidate_requests", rollout.judge.candidateRequests()},
              {"reason", reason}});
    announce(rollout);
    updateOwner();
}

void RolloutController::announce(Rollout &rollout)
{
    rollout.announcedAt = m_timers.now();
    rollout.announcedIdle = isOwnerIdle(rollout);
    m_network.broadcast(progressOf(rollout));
}

RolloutProgressMessage RolloutController::progressOf(const Rollout &rollout) const
{
    return RolloutProgressMessage{.service = rollout.order.service,
                                  .targetVersion = rollout.order.targetVersion,
                                  .step = rollout.step,
                                  .outcome = rollout.outcome,
                                  .domainDone = m_network.needsRelays()
                                                && areLinkedNodesDone(rollout, true),
                                  .ownerIdle = isOwnerIdle(rollout),
                                  .orderAge = orderAge(rollout)};
}

void RolloutController::updateOwner()
{
    const BackendStatus backend = m_owner.status();
    const auto found = m_rollouts.find(backend.service);
    if (found == m_rollouts.end()) {
        m_owner.setRolloutTarget("");
        m_owner.setBraked(false);
        return;
    }
    const Rollout &rollout = *found->second;
    const bool isTarget = backend.version == rollout.order.targetVersion;
    const bool open = rollout.outcome == RolloutOutcome::Open;
    m_owner.setRolloutTarget(open ? rollout.order.targetVersion : "");
    const auto faultyVersions = m_faultyVersions.find(backend.service);
    const bool faulty = faultyVersions != m_faultyVersions.end()
                        && faultyVersions->second.contains(backend.version);
    // As long as the ledger applies, it may send requests back to the old version.
    const bool superseded = !isTarget && open && !isBound(rollout) && targetShare(rollout) >= 1.0
                            && isTargetReady(rollout);
    m_owner.setBraked(faulty || superseded);
}

bool RolloutController::isTargetReady(const Rollout &rollout) const
{
    const auto serves = [&rollout](const BackendStatus &backend) {
        return backend.service == rollout.order.service
               && backend.version == rollout.order.targetVersion
               && backend.availability == BackendAvailability::Ready;
    };
    if (serves(m_owner.status()))
        return true;
    return std::any_of(m_network.peers().begin(), m_network.peers().end(), [&](const auto &entry) {
        return m_network.isReachable(entry.second) && serves(entry.second.status.backend);
    });
}

bool RolloutController::isOldVersionIdle(const Rollout &rollout) const
{
    if (!areLinkedNodesDone(rollout, false))
        return false;
    if (!m_network.needsRelays())
        return true;
    std::map<std::string, bool> doneByDomain; // The other domains to which there is a link.
    for (const auto &[node, peer] : m_network.peers()) {
        if (m_network.isInOwnDomain(peer) || !m_network.isReachable(peer))
            continue;
        const auto progress = rollout.peerProgress.find(node);
        const bool done = progress != rollout.peerProgress.end() && progress->second.domainDone
                          && progress->second.receivedAt >= rollout.stepStartedAt;
        doneByDomain[peer.contact.domain] = doneByDomain[peer.contact.domain] || done;
    }
    return std::all_of(doneByDomain.begin(), doneByDomain.end(),
                       [](const auto &domain) { return domain.second; });
}

bool RolloutController::areLinkedNodesDone(const Rollout &rollout, bool ownDomainOnly) const
{
    if (rollout.step < LastStep)
        return false;
    if (!isOwnerIdle(rollout))
        return false;
    for (const auto &[node, peer] : m_network.peers()) {
        if (!m_network.isReachable(peer) || (ownDomainOnly && !m_network.isInOwnDomain(peer)))
            continue;
        const auto progress = rollout.peerProgress.find(node);
        if (progress == rollout.peerProgress.end() || progress->second.step < LastStep
            || !progress->second.ownerIdle)
            return false;
    }
    return true;
}

std::size_t RolloutController::rank(const Rollout &rollout) const
{
    const std::string &key = rollout.order.targetVersion;
    const std::uint64_t own = rendezvousWeight(key, m_options.node);
    return static_cast<std::size_t>(std::count_if(
            m_network.peers().begin(), m_network.peers().end(), [&](const auto &entry) {
                return m_network.isReachable(entry.second) && !entry.second.status.leaving
                       && rendezvousWeight(key, entry.first) > own;
            }));
}

RolloutOutcome RolloutController::outcomeToWrite(const Rollout &rollout) const
{
    if (rollout.outcome != RolloutOutcome::Open)
        return rollout.outcome;
    return rollout.registerRead && hasLastStepElapsed(rollout) && isOldVersionIdle(rollout)
                   ? RolloutOutcome::Completed
                   : RolloutOutcome::Open;
}

bool RolloutController::hasLastStepElapsed(const Rollout &rollout) const
{
    if (rollout.step < LastStep || targetShare(rollout) < 1.0)
        return false;
    const std::chrono::milliseconds duration = rollout.order.duration;
    const SteadyTime now = m_timers.now();
    if (isBound(rollout))
        return now - rollout.stepStartedAt >= fractionOf(duration, m_options.lastStepFraction);
    // When the new version got all requests after the duration; see targetShare().
    const SteadyTime unlimitedAt = rollout.orderedAt + duration
                                   + fractionOf(duration, m_options.stepFraction)
                                             * static_cast<std::int64_t>(RampShares.size() - 1);
    return now - std::max(rollout.stepStartedAt, unlimitedAt)
           >= fractionOf(duration, m_options.lateLastStepFraction);
}

void RolloutController::writeIfDue(const RolloutPointer &rollout)
{
    const SteadyTime now = m_timers.now();
    const RolloutOutcome outcome = outcomeToWrite(*rollout);
    const bool due = outcome != RolloutOutcome::Open ? rollout->writtenOutcome != outcome
                                                     : !rollout->startWritten;
    if (!due || rollout->registerCallInFlight) {
        if (!due)
            rollout->writeDueSince = SteadyTime();
        return;
    }
    if (rollout->writeDueSince == SteadyTime())
        rollout->writeDueSince = now;
    const SteadyTime writeAt = rollout->writeDueSince
                               + m_options.rankDelay * static_cast<std::int64_t>(rank(*rollout));
    if (now >= writeAt && now >= rollout->nextRegisterCall)
        readRegister(rollout);
}

void RolloutController::readRegister(const RolloutPointer &rollout)
{
    rollout->registerCallInFlight = true;
    rollout->nextRegisterCall = m_timers.now() + m_options.registerCallInterval;
    m_register.read(rollout->order.service, [this,
                                             rollout](const absl::StatusOr<RolloutEntry> &entry) {
        rollout->registerCallInFlight = false;
        if (!entry.ok()) {
            logEvent(Event::RolloutRegisterFailed,
                     {{"service", rollout->order.service},
                      {"reason", std::string(entry.status().message())}});
            return;
        }
        const bool firstRead = !rollout->registerRead;
        rollout->registerRead = true;
        if (entry->targetVersion == rollout->order.targetVersion) {
            rollout->startWritten = true;
            rollout->writtenOutcome = entry->outcome;
            if (entry->outcome != RolloutOutcome::Open && rollout->outcome == RolloutOutcome::Open)
                end(*rollout, entry->outcome, "found in the register");
        }
        const RolloutOutcome outcome = outcomeToWrite(*rollout);
        const bool due = outcome != RolloutOutcome::Open ? rollout->writtenOutcome != outcome
                                                         : !rollout->startWritten;
        // Only the node of rank 0 writes directly after its first read. The others write after a
        // delay by their rank; see writeIfDue().
        if (due && (!firstRead || rank(*rollout) == 0))
            write(rollout, entry->tableEnd);
    });
}

void RolloutController::write(const RolloutPointer &rollout, std::uint64_t tableEnd)
{
    const RolloutOutcome outcome = outcomeToWrite(*rollout);
    const RolloutEntry entry{.targetVersion = rollout->order.targetVersion,
                             .outcome = outcome,
                             .tableEnd = tableEnd};
    rollout->registerCallInFlight = true;
    m_register.write(rollout->order.service, entry,
                     [this, rollout, outcome](const absl::Status &status) {
                         rollout->registerCallInFlight = false;
                         if (!status.ok()) {
                             logEvent(Event::RolloutRegisterFailed,
                                      {{"service", rollout->order.service},
                                       {"reason", std::string(status.message())}});
                             return;
                         }
                         rollout->startWritten = true;
                         rollout->writtenOutcome = outcome;
                         if (outcome == RolloutOutcome::Completed
                             && rollout->outcome == RolloutOutcome::Open)
                             this->end(*rollout, outcome, "the new version serves all requests");
                     });
}

} // namespace jacinthshift
