#include "modules/rollout/rollout_controller.h"

#include <algorithm>
#include <array>

#include "core/hash.h"
#include "core/logger.h"

namespace jacinthshift {

namespace {

// Shares of the new version after the canary. A fault under load shows at one of the steps.
constexpr std::array<double, 4> LaterShares = {0.2, 0.4, 0.7, 1.0};
constexpr std::uint32_t FullStep = LaterShares.size();

std::chrono::milliseconds partOf(std::chrono::milliseconds duration, double part)
{
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(static_cast<double>(duration.count()) * part));
}

} // namespace

RolloutController::RolloutController(const RolloutControllerOptions &options, FleetNetwork &network,
                                     TimerService &timers, RolloutRegister &outcomes,
                                     BackendOwner &owner)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_register(outcomes)
    , m_owner(owner)
    , m_random(options.seed)
{
    network.addObserver(*this);
    m_tick = Timer(timers, timers.startPeriodic(options.tickPeriod, [this] { tick(); }));
}

void RolloutController::setOrder(const RolloutOrder &order, std::uint64_t offset)
{
    const auto known = m_rollouts.find(order.service);
    if (known != m_rollouts.end() && known->second->offset >= offset)
        return;
    const RolloutPointer rollout = std::make_shared<Rollout>(order, offset, m_options.detector);
    rollout->learnedAt = m_timers.now();
    rollout->stepSince = m_timers.now();
    m_rollouts[order.service] = rollout;
    logEvent(Event::RolloutOrdered, {{"service", order.service},
                                     {"target", order.targetVersion},
                                     {"within_ms", order.duration.count()},
                                     {"offset", offset}});
    const auto early = m_early.find(order.service);
    if (early != m_early.end() && early->second.targetVersion == order.targetVersion)
        follow(*rollout, early->second, "an earlier message");
    updateOwner();
    consultRegister(rollout);
}

/** A node that starts while the log is away learns from the others how rollouts stand. */
void RolloutController::fleetLinksChanged(const std::string &node)
{
    for (const auto &[service, rollout] : m_rollouts)
        m_network.send(node, progressOf(*rollout));
}

void RolloutController::removeOrder(const std::string &service)
{
    const auto known = m_rollouts.find(service);
    if (known != m_rollouts.end() && known->second->outcome != RolloutOutcome::RolledBack)
        m_rollouts.erase(known);
    updateOwner();
}

VersionChoice RolloutController::nextRequest(const std::string &service)
{
    const auto known = m_rollouts.find(service);
    if (known == m_rollouts.end())
        return VersionChoice();
    const Rollout &rollout = *known->second;
    const std::string &target = rollout.order.targetVersion;
    switch (rollout.outcome) {
    case RolloutOutcome::RolledBack:
        return VersionChoice{.only = "", .excluded = target};
    case RolloutOutcome::Completed:
        return VersionChoice{.only = target, .excluded = "", .mayFallBack = true};
    case RolloutOutcome::Open:
        break;
    }
    if (!rollout.registerRead && rollout.step == 0)
        return VersionChoice{.only = "", .excluded = target};
    const double share =
            rollout.step == 0 ? m_options.canaryShare : LaterShares.at(rollout.step - 1);
    if (m_random.unit() < share)
        return VersionChoice{
                .only = target, .excluded = "", .mayFallBack = rollout.step < FullStep};
    return VersionChoice{.only = "", .excluded = target};
}

void RolloutController::fleetMessage(const std::string &node, const FleetMessage &message)
{
    if (const VersionEvidenceMessage *report = std::get_if<VersionEvidenceMessage>(&message)) {
        const auto known = m_rollouts.find(report->service);
        if (known != m_rollouts.end())
            known->second->judge.addReport(node, *report);
        return;
    }
    const RolloutProgressMessage *progress = std::get_if<RolloutProgressMessage>(&message);
    if (progress == nullptr)
        return;
    const auto known = m_rollouts.find(progress->service);
    if (known != m_rollouts.end() && known->second->order.targetVersion == progress->targetVersion)
        follow(*known->second, *progress, node);
    else if (known == m_rollouts.end())
        m_early[progress->service] = *progress;
}

void RolloutController::follow(Rollout &rollout, const RolloutProgressMessage &progress,
                               const std::string &node)
{
    rollout.peerSteps[node] = progress.step;
    if (rollout.outcome != RolloutOutcome::Open)
        return;
    if (progress.outcome != RolloutOutcome::Open)
        end(rollout, progress.outcome, "told by " + node);
    else if (progress.step > rollout.step)
        setStep(rollout, progress.step);
}

void RolloutController::tick()
{
    if (m_rollouts.empty())
        return;
    shareEvidence();
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

void RolloutController::shareEvidence()
{
    const BackendStatus backend = m_owner.status();
    const auto known = m_rollouts.find(backend.service);
    if (known == m_rollouts.end() || known->second->outcome != RolloutOutcome::Open)
        return;
    const VersionEvidenceMessage report{.service = backend.service,
                                        .version = backend.version,
                                        .backend = backend.id,
                                        .routes = m_owner.evidence()};
    known->second->judge.addReport(m_options.node, report);
    std::uint64_t requests = 0;
    for (const VersionEvidence &route : report.routes)
        requests += route.counts.requests;
    // The new version's counts decide; those of the old one are the baseline and may come later.
    const bool urgent = backend.version == known->second->order.targetVersion;
    const bool due = urgent || m_timers.now() >= m_nextEvidence;
    if (requests == m_sharedRequests || !due)
        return;
    m_sharedRequests = requests;
    m_nextEvidence = m_timers.now() + m_network.heartbeatPeriod() * 2;
    m_network.broadcast(report);
}

void RolloutController::advance(Rollout &rollout)
{
    const SteadyTime now = m_timers.now();
    const std::string fault = rollout.judge.fault();
    if (!fault.empty()) {
        end(rollout, RolloutOutcome::RolledBack, fault);
        return;
    }
    const std::uint64_t answers = rollout.judge.candidateRequests();
    if (answers == 0)
        return;
    if (rollout.firstAnswerAt == SteadyTime())
        rollout.firstAnswerAt = now;
    if (rollout.step == FullStep)
        return;
    if (rollout.step > 0) {
        if (now - rollout.stepSince >= partOf(rollout.order.duration, m_options.stepPart))
            setStep(rollout, rollout.step + 1);
        return;
    }
    const bool proved =
            answers >= m_options.canaryRequests
            && now - rollout.firstAnswerAt >= partOf(rollout.order.duration, m_options.canaryPart);
    const bool haste =
            answers >= m_options.canaryRequests / 2
            && now - rollout.learnedAt >= partOf(rollout.order.duration, m_options.hastePart);
    if ((proved || haste) && targetIsThere(rollout))
        setStep(rollout, 1);
}

void RolloutController::setStep(Rollout &rollout, std::uint32_t step)
{
    rollout.step = std::min(step, FullStep);
    rollout.stepSince = m_timers.now();
    logEvent(Event::RolloutAdvanced, {{"service", rollout.order.service},
                                      {"target", rollout.order.targetVersion},
                                      {"step", rollout.step},
                                      {"candidate_requests", rollout.judge.candidateRequests()}});
    announce(rollout);
}

void RolloutController::end(Rollout &rollout, RolloutOutcome outcome, const std::string &reason)
{
    rollout.outcome = outcome;
    rollout.dueSince = m_timers.now();
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
    m_network.broadcast(progressOf(rollout));
}

RolloutProgressMessage RolloutController::progressOf(const Rollout &rollout) const
{
    return RolloutProgressMessage{.service = rollout.order.service,
                                  .targetVersion = rollout.order.targetVersion,
                                  .step = rollout.step,
                                  .outcome = rollout.outcome};
}

void RolloutController::updateOwner()
{
    const BackendStatus backend = m_owner.status();
    const auto known = m_rollouts.find(backend.service);
    if (known == m_rollouts.end()) {
        m_owner.setRolloutTarget("");
        m_owner.setBraked(false);
        return;
    }
    const Rollout &rollout = *known->second;
    const bool isTarget = backend.version == rollout.order.targetVersion;
    const bool open = rollout.outcome == RolloutOutcome::Open;
    m_owner.setRolloutTarget(open ? rollout.order.targetVersion : "");
    const bool faulty = isTarget && rollout.outcome == RolloutOutcome::RolledBack;
    const bool replaced = !isTarget && open && rollout.step == FullStep && targetIsThere(rollout);
    m_owner.setBraked(faulty || replaced);
}

bool RolloutController::targetIsThere(const Rollout &rollout) const
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

bool RolloutController::oldVersionIsIdle(const Rollout &rollout) const
{
    const auto idle = [&rollout](const BackendStatus &backend) {
        const bool old = backend.service == rollout.order.service
                         && backend.version != rollout.order.targetVersion;
        return !old || backend.running + backend.queued == 0;
    };
    if (!idle(m_owner.status()))
        return false;
    for (const auto &[node, peer] : m_network.peers()) {
        if (!m_network.isReachable(peer))
            continue;
        const auto step = rollout.peerSteps.find(node);
        if (step == rollout.peerSteps.end() || step->second < FullStep)
            return false;
        if (!idle(peer.status.backend) || peer.statusAt < rollout.stepSince)
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

RolloutOutcome RolloutController::wanted(const Rollout &rollout) const
{
    if (rollout.outcome != RolloutOutcome::Open)
        return rollout.outcome;
    const bool full = rollout.step == FullStep
                      && m_timers.now() - rollout.stepSince
                                 >= partOf(rollout.order.duration, m_options.fullPart);
    return full && oldVersionIsIdle(rollout) ? RolloutOutcome::Completed : RolloutOutcome::Open;
}

void RolloutController::writeIfDue(const RolloutPointer &rollout)
{
    const SteadyTime now = m_timers.now();
    const RolloutOutcome outcome = wanted(*rollout);
    const bool due =
            outcome != RolloutOutcome::Open ? rollout->written != outcome : !rollout->startWritten;
    if (!due || rollout->busy) {
        if (!due)
            rollout->dueSince = SteadyTime();
        return;
    }
    if (rollout->dueSince == SteadyTime())
        rollout->dueSince = now;
    const SteadyTime turn =
            rollout->dueSince + m_options.rankDelay * static_cast<std::int64_t>(rank(*rollout));
    if (now >= turn && now >= rollout->nextWrite)
        consultRegister(rollout);
}

void RolloutController::consultRegister(const RolloutPointer &rollout)
{
    rollout->busy = true;
    rollout->nextWrite = m_timers.now() + m_options.writePause;
    m_register.read(rollout->order.service, [this,
                                             rollout](const absl::StatusOr<RolloutEntry> &entry) {
        rollout->busy = false;
        if (!entry.ok()) {
            logEvent(Event::RolloutRegisterFailed,
                     {{"service", rollout->order.service},
                      {"reason", std::string(entry.status().message())}});
            return;
        }
        const bool first = !rollout->registerRead;
        rollout->registerRead = true;
        if (entry->targetVersion == rollout->order.targetVersion) {
            rollout->startWritten = true;
            rollout->written = entry->outcome;
            if (entry->outcome != RolloutOutcome::Open && rollout->outcome == RolloutOutcome::Open)
                end(*rollout, entry->outcome, "found in the register");
        }
        const RolloutOutcome outcome = wanted(*rollout);
        const bool due = outcome != RolloutOutcome::Open ? rollout->written != outcome
                                                         : !rollout->startWritten;
        // The first look only learns; the turn of this node to write comes with its rank.
        if (due && (!first || rank(*rollout) == 0))
            write(rollout, entry->end);
    });
}

void RolloutController::write(const RolloutPointer &rollout, std::uint64_t end)
{
    const RolloutOutcome outcome = wanted(*rollout);
    const RolloutEntry entry{
            .targetVersion = rollout->order.targetVersion, .outcome = outcome, .end = end};
    rollout->busy = true;
    m_register.write(rollout->order.service, entry,
                     [this, rollout, outcome](const absl::Status &status) {
                         rollout->busy = false;
                         if (!status.ok()) {
                             logEvent(Event::RolloutRegisterFailed,
                                      {{"service", rollout->order.service},
                                       {"reason", std::string(status.message())}});
                             return;
                         }
                         rollout->startWritten = true;
                         rollout->written = outcome;
                         if (outcome == RolloutOutcome::Completed
                             && rollout->outcome == RolloutOutcome::Open)
                             this->end(*rollout, outcome, "the new version carries everything");
                     });
}

} // namespace jacinthshift
