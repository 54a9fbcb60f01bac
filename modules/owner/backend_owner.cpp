#include "modules/owner/backend_owner.h"

#include <algorithm>
#include <cmath>

#include "core/hash.h"
#include "core/logger.h"
#include "core/text.h"
#include "modules/release/evidence_counter.h"

namespace jacinthshift {

namespace {

constexpr int StatusMisdirected = 421;
constexpr int FirstServerError = 500;
constexpr int LastStatus = 599;
constexpr int FirstSuccess = 200;
constexpr int FirstRedirect = 300;
// Time reserved for the answer's way back, so that it reaches the caller's node before the timeout
// there.
constexpr std::chrono::milliseconds AnswerMargin{10};

/** Returns whether a status is one of HTTP and ends an exchange; 1xx ones do not. */
bool isFinalStatus(int status)
{
    return status >= FirstSuccess && status <= LastStatus;
}

bool isSuccess(int status)
{
    return status >= FirstSuccess && status < FirstRedirect;
}

std::string_view reasonToIgnore(RegistrationOutcome outcome)
{
    switch (outcome) {
    case RegistrationOutcome::Deregistered:
        return "it has deregistered";
    case RegistrationOutcome::Unconfirmed:
        return "it may be late, and what was acknowledged before is not known yet";
    default:
        return "stale";
    }
}

std::chrono::milliseconds timeUntil(SteadyTime now, SteadyTime then)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(then - now);
}

} // namespace

BackendOwner::BackendOwner(const BackendOwnerOptions &options, HttpClient &client,
                           TimerService &timers, PoisonRegistry &poison, OwnerObserver &observer)
    : m_options(options)
    , m_client(client)
    , m_timers(timers)
    , m_poison(poison)
    , m_observer(observer)
    , m_admission(options.admission)
    , m_rateLimit(options.rateLimit)
    , m_probe(BackendProbeOptions{.headers = options.headers}, client, timers)
{
}

absl::Status BackendOwner::heartbeat(const BackendHeartbeat &heartbeat)
{
    if (!m_options.service.empty() && heartbeat.service != m_options.service)
        return absl::InvalidArgumentError(
                joinText("this VM runs service ", m_options.service, ", not ", heartbeat.service));
    const BackendAvailability oldAvailability = availability();
    const std::optional<BackendHeartbeat> previous = m_registration.current();
    const RegistrationOutcome outcome = m_registration.heartbeat(heartbeat, m_timers.now());
    if (outcome != RegistrationOutcome::Accepted && outcome != RegistrationOutcome::NewLifetime) {
        logEvent(Event::HeartbeatIgnored, {{"backend", heartbeat.id},
                                           {"sequence", heartbeat.sequence},
                                           {"reason", reasonToIgnore(outcome)}});
        return absl::OkStatus();
    }
    const bool draining = m_registration.current()->draining;
    const bool wasWarm = !isCold();
    m_unreachable = false;
    m_assumeCold = false;
    m_connectFailures = 0;
    const SteadyTime coldUntil = m_timers.now() + heartbeat.coldRemaining;
    // A heartbeat may have been sent before the backend server became cold again.
    m_coldUntil = outcome == RegistrationOutcome::NewLifetime ? coldUntil
                                                              : std::max(m_coldUntil, coldUntil);
    updateConcurrencyLimit();
    if (outcome == RegistrationOutcome::NewLifetime) {
        ++m_lifetime;
        m_rateLimit.reset();
        m_costs.reset();
        m_evidence.clear();
        m_recentFailures.reset();
        m_recentStarts.clear();
        m_probe.cancel();
        // It replaced the one before without its leaving, so that one has crashed.
        if (previous && !previous->draining && m_lostRequests.size() <= m_options.maxLateSuspects)
            reportSuspects(*previous);
        logEvent(Event::BackendAnnounced, {{"backend", heartbeat.id},
                                           {"version", heartbeat.version},
                                           {"slots", heartbeat.slots},
                                           {"cold_ms", heartbeat.coldRemaining.count()},
                                           {"lost_requests", m_lostRequests.size()}});
        m_lostRequests.clear();
    } else if (wasWarm && isCold()) {
        logEvent(Event::BackendTurnedCold, {{"backend", heartbeat.id},
                                            {"source", "heartbeat"},
                                            {"cold_ms", heartbeat.coldRemaining.count()},
                                            {"starts", m_recentStarts.count(m_timers.now())}});
    }
    updateStartRate();
    if (draining)
        refuseWaiting(WorkRefusal::Draining);
    if (availability() != oldAvailability || outcome == RegistrationOutcome::NewLifetime) {
        if (draining)
            logEvent(Event::BackendLeaving,
                     {{"backend", heartbeat.id}, {"reason", "it reports that it drains"}});
        m_observer.ownerStatusChanged();
    }
    processQueue();
    return absl::OkStatus();
}

BackendLifetime BackendOwner::deregister(const std::string &id,
                                         std::optional<std::uint64_t> startedAt)
{
    removeBackend(id, startedAt, "it has deregistered");
    return {.id = id, .startedAt = m_registration.lastDeregistration()->startedAt.value_or(0)};
}

void BackendOwner::setHistoryKnown(bool known)
{
    m_registration.setHistoryKnown(known);
    const std::optional<BackendHeartbeat> unconfirmed = m_registration.unconfirmed();
    if (known && unconfirmed)
        heartbeat(*unconfirmed).IgnoreError();
}

void BackendOwner::backendLeft(const BackendLifetime &backend)
{
    const std::optional<std::uint64_t> startedAt =
            backend.startedAt == 0 ? std::nullopt : std::optional(backend.startedAt);
    removeBackend(backend.id, startedAt, "it told an earlier process of this node");
}

void BackendOwner::removeBackend(const std::string &id, std::optional<std::uint64_t> startedAt,
                                 std::string_view reason)
{
    if (m_registration.deregister(id, startedAt) != RegistrationOutcome::Accepted)
        return;
    m_probe.cancel();
    logEvent(Event::BackendLeaving, {{"backend", id}, {"reason", reason}});
    refuseWaiting(WorkRefusal::Draining);
    m_observer.ownerStatusChanged();
}

void BackendOwner::setPolicy(const ServicePolicy &policy)
{
    m_policy = policy;
    updateStartRate();
}

void BackendOwner::setDomainTakenOut(bool takenOut)
{
    if (m_takenOut == takenOut)
        return;
    m_takenOut = takenOut;
    if (takenOut) {
        refuseWaiting(WorkRefusal::TakenOut);
    } else {
        // It may be cold now; assume so until the next heartbeat says how long.
        m_assumeCold = true;
        updateStartRate();
    }
    m_observer.ownerStatusChanged();
}

void BackendOwner::setLeaving()
{
    m_leaving = true;
    refuseWaiting(WorkRefusal::Draining);
    m_observer.ownerStatusChanged();
}

void BackendOwner::setBraked(bool braked)
{
    if (m_braked == braked)
        return;
    m_braked = braked;
    if (braked)
        refuseWaiting(WorkRefusal::Braked);
    m_observer.ownerStatusChanged();
}

bool BackendOwner::isCold() const
{
    return m_assumeCold || m_timers.now() < m_coldUntil;
}

double BackendOwner::coldRate() const
{
    if (!isCold())
        return 0.0;
    return coldBound() > 0.0 ? coldBound() * m_options.coldMargin : m_options.defaultColdRate;
}

void BackendOwner::probeForCold()
{
    const SteadyTime now = m_timers.now();
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    if (!backend || coldBound() <= 0.0 || isCold() || m_probe.isOutstanding()
        || now - m_lastColdProbeAt < m_options.minColdProbeInterval)
        return;
    const auto starts = static_cast<double>(m_recentStarts.count(now));
    const auto startsSinceWarm = static_cast<double>(m_recentStarts.countSince(m_knownWarmAt, now));
    if (starts < coldBound() * m_options.coldMargin
        || startsSinceWarm < coldBound() * m_options.coldProbeFraction)
        return;
    m_lastColdProbeAt = now;
    m_probe.send(ProbeTarget{.server = backend->endpoint,
                             .path = m_policy.healthPath,
                             .backend = backend->id},
                 [this](const ProbeResult &result) { coldProbed(result); });
}

void BackendOwner::coldProbed(const ProbeResult &result)
{
    if (result.outcome != ProbeResult::Outcome::Answered)
        return;
    const std::chrono::milliseconds cold =
            result.coldRemaining.value_or(std::chrono::milliseconds(0));
    if (cold.count() == 0) {
        m_knownWarmAt = result.sentAt;
        return;
    }
    const SteadyTime now = m_timers.now();
    const std::size_t starts = m_recentStarts.countSince(m_knownWarmAt, now);
    m_coldUntil = std::max(m_coldUntil, now + cold);
    updateStartRate();
    // What was started since it was last warm counts towards what a cold one may get.
    m_admission.chargeStarts(static_cast<double>(starts));
    logEvent(Event::BackendTurnedCold, {{"backend", m_registration.current()->id},
                                        {"source", "probe"},
                                        {"cold_ms", cold.count()},
                                        {"starts", starts}});
    m_observer.ownerStatusChanged();
}

void BackendOwner::updateStartRate()
{
    const double cold = coldRate();
    const double named = m_rateLimit.perSecond();
    const bool namedApplies = named > 0.0 && (cold <= 0.0 || named < cold);
    m_admission.setStartRate(namedApplies ? named : cold,
                             namedApplies ? WorkRefusal::RateLimited : WorkRefusal::Cold,
                             m_timers.now());
}

void BackendOwner::updateConcurrencyLimit()
{
    const std::uint32_t slots = m_registration.current()->slots;
    m_admission.setLimit(m_hasAnswer ? slots : std::min(slots, m_options.maxRunningBeforeAnswer));
}

void BackendOwner::recordAnswerHeaders(const Work &work, const std::vector<HttpHeader> &headers)
{
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    if (!backend || work.lifetime != m_lifetime)
        return;
    if (!m_hasAnswer) {
        m_hasAnswer = true;
        updateConcurrencyLimit();
    }
    m_costs.recordLoad(findHeader(headers, m_options.headers.load), m_timers.now());
    recordRateLimit(findHeader(headers, m_options.headers.requestRateLimit));
    if (findHeader(headers, m_options.headers.leaving) == "1")
        recordLeaving();
}

void BackendOwner::recordLeaving()
{
    if (!m_registration.setDraining())
        return;
    logEvent(Event::BackendLeaving,
             {{"backend", m_registration.current()->id}, {"reason", "its answer says so"}});
    refuseWaiting(WorkRefusal::Draining);
    m_observer.ownerStatusChanged();
}

void BackendOwner::recordRateLimit(std::string_view header)
{
    const std::string &id = m_registration.current()->id;
    const std::optional<double> named = parseRequestRate(header);
    if (!header.empty() && !named)
        logEvent(Event::RateLimitMalformed, {{"backend", id}});
    const double oldRate = m_rateLimit.perSecond();
    if (!m_rateLimit.recordAnswer(named, m_timers.now()))
        return;
    updateStartRate();
    const double rate = m_rateLimit.perSecond();
    if (oldRate > 0.0 && rate > 0.0)
        return;
    logEvent(rate > 0.0 ? Event::RateLimitNamed : Event::RateLimitEnded,
             {{"backend", id}, {"per_second", std::to_string(std::max(oldRate, rate))}});
    m_observer.ownerStatusChanged();
}

BackendAvailability BackendOwner::availability() const
{
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    if (!backend || m_unreachable)
        return BackendAvailability::Absent;
    const bool draining = backend->draining || m_leaving || m_takenOut;
    return draining ? BackendAvailability::Draining : BackendAvailability::Ready;
}

BackendStatus BackendOwner::status() const
{
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    BackendStatus status{.availability = availability()};
    if (!backend) {
        if (const auto *left = m_registration.lastDeregistration()) {
            status.id = left->id;
            status.startedAt = left->startedAt.value_or(0);
            status.leaving = true;
        }
        return status;
    }
    status.id = backend->id;
    status.startedAt = backend->startedAt.value_or(0);
    status.leaving = backend->draining;
    status.service = backend->service;
    status.version = backend->version;
    status.concurrencyLimit = m_admission.limit();
    status.running = m_admission.running();
    status.queued = m_admission.waiting();
    status.startsPerSecond = static_cast<std::uint32_t>(std::ceil(coldRate()));
    status.requestRateLimit = m_rateLimit.perSecond();
    status.serviceTime = m_admission.meanServiceTime();
    status.failuresPerThousand = m_recentFailures.perThousand(m_timers.now());
    status.braked = m_braked;
    m_costs.fill(status, m_timers.now());
    return status;
}

WorkRefusal BackendOwner::refusalFor(const WorkRequest &workRequest) const
{
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    if (!backend || backend->service != workRequest.service)
        return WorkRefusal::NoBackend;
    if (m_unreachable)
        return WorkRefusal::Unreachable;
    if (backend->draining || m_leaving)
        return WorkRefusal::Draining;
    if (m_takenOut)
        return WorkRefusal::TakenOut;
    if (m_braked || (!workRequest.version.empty() && workRequest.version != backend->version))
        return WorkRefusal::Braked;
    // A sender that does not know of the rollout yet must not send its full load to the new
    // version.
    const bool unawareSender = workRequest.version.empty() && !m_rolloutTarget.empty();
    return unawareSender && backend->version == m_rolloutTarget ? WorkRefusal::Braked
                                                                : WorkRefusal::None;
}

void BackendOwner::refuseNow(const Callback &callback, const WorkRequest &workRequest,
                             WorkRefusal reason, std::chrono::milliseconds retryAfter)
{
    logEvent(Event::AdmissionRefused,
             {{"request", findHeader(workRequest.request.headers, m_options.headers.requestId)},
              {"reason", refusalName(reason)},
              {"running", m_admission.running()},
              {"waiting", m_admission.waiting()},
              {"limit", m_admission.limit()},
              {"per_second", static_cast<std::int64_t>(m_admission.startsPerSecond())},
              {"service_ms", m_admission.meanServiceTime().count()},
              {"left_ms", workRequest.timeLeft.count()}});
    callback(WorkResult{.verdict = Verdict::NotRun, .refusal = reason, .retryAfter = retryAfter});
}

std::uint64_t BackendOwner::run(const WorkRequest &workRequest, Callback callback)
{
    const SteadyTime now = m_timers.now();
    const WorkRefusal refusal = refusalFor(workRequest);
    if (refusal != WorkRefusal::None) {
        refuseNow(callback, workRequest, refusal, std::chrono::milliseconds(0));
        return 0;
    }
    const std::uint64_t fingerprint = requestFingerprint(workRequest.service, workRequest.request);
    if (m_poison.isRefused(fingerprint, now)) {
        refuseNow(callback, workRequest, WorkRefusal::Suspected, std::chrono::milliseconds(0));
        return 0;
    }
    const std::size_t bodyBytes = workRequest.request.body.size();
    if (bodyBytes > m_options.maxHeldBodyBytes - m_heldBodyBytes) {
        refuseNow(callback, workRequest, WorkRefusal::Overloaded, m_admission.meanServiceTime());
        return 0;
    }
    updateStartRate();
    const std::uint64_t id = ++m_lastWorkId;
    const SteadyTime deadline = now + std::max(workRequest.timeLeft - AnswerMargin, AnswerMargin);
    const AdmissionDecision decision =
            m_admission.offer(AdmissionTicket{.id = id,
                                              .route = workRequest.route,
                                              .workspace = workRequest.workspace,
                                              .priority = workRequest.priority,
                                              .isCallerRetry = workRequest.isCallerRetry,
                                              .targetAt = now + workRequest.targetTimeLeft,
                                              .deadline = deadline},
                              now);
    if (decision.kind == AdmissionDecision::Kind::Refuse) {
        refuseNow(callback, workRequest, decision.reason, decision.expectedWait);
        return 0;
    }
    if (decision.displaced != 0) {
        finish(decision.displaced, WorkResult{.verdict = Verdict::NotRun,
                                              .refusal = WorkRefusal::Overloaded,
                                              .retryAfter = decision.expectedWait});
    }
    m_heldBodyBytes += bodyBytes;
    m_work.emplace(id, Work{.request = workRequest,
                            .callback = std::move(callback),
                            .fingerprint = fingerprint,
                            .arrivedAt = now,
                            .deadline = deadline});
    m_costs.added(id, workRequest.route, workRequest.workspace);
    if (decision.kind == AdmissionDecision::Kind::Start)
        start(id);
    else if (!m_queueTimer.isActive())
        m_queueTimer = Timer(m_timers, m_timers.startPeriodic(m_options.queueCheckInterval,
                                                              [this] { processQueue(); }));
    return id;
}

bool BackendOwner::cancel(std::uint64_t id)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
        return false;
    const Work work = take(found);
    if (work.startedAt == SteadyTime()) {
        m_admission.withdraw(id);
        return true;
    }
    m_client.cancel(work.call);
    // A cancellation counts against the backend server only if the target latency had passed; an
    // earlier one gives no information about it.
    const SteadyTime now = m_timers.now();
    if (now - work.arrivedAt >= work.request.targetTimeLeft) {
        recordEvidence(work,
                       WorkResult{.verdict = Verdict::MayHaveRun,
                                  .refusal = WorkRefusal::TimedOut,
                                  .reachedBackend = true},
                       std::chrono::duration_cast<std::chrono::microseconds>(now - work.startedAt));
    }
    m_admission.finished(work.request.route, std::chrono::microseconds(0), m_timers.now());
    processQueue();
    return false;
}

HttpRequest BackendOwner::buildBackendRequest(const Work &work,
                                              std::chrono::milliseconds timeLeft) const
{
    const HeaderNames &names = m_options.headers;
    HttpRequest request;
    request.method = work.request.request.method;
    request.target = work.request.request.target;
    request.body = work.request.request.body;
    for (const HttpHeader &header : work.request.request.headers) {
        const bool replaced = equalsIgnoreCase(header.name, names.deadline)
                              || equalsIgnoreCase(header.name, names.expectedInstance)
                              || equalsIgnoreCase(header.name, names.callerService);
        if (!replaced)
            request.headers.push_back(header);
    }
    request.headers.push_back({names.deadline, std::to_string(timeLeft.count())});
    request.headers.push_back({names.expectedInstance, work.backend});
    request.headers.push_back({names.callerService, work.request.callerService});
    return request;
}

void BackendOwner::start(std::uint64_t id)
{
    Work &work = m_work.at(id);
    const SteadyTime now = m_timers.now();
    const BackendHeartbeat &backend = *m_registration.current();
    m_recentStarts.record(now);
    work.startedAt = now;
    m_costs.started(id, now);
    work.backend = backend.id;
    work.lifetime = m_lifetime;
    const std::chrono::milliseconds timeLeft =
            std::max(timeUntil(now, work.deadline), std::chrono::milliseconds(1));
    const HeaderNames &names = m_options.headers;
    const HttpSendOptions options{
            .server = backend.endpoint,
            .timeout = timeLeft,
            .connectTimeout = std::min(m_options.connectTimeout, timeLeft),
            .maxIdleTime =
                    work.request.idempotent ? m_options.maxIdle : m_options.maxIdleNonIdempotent,
            .correlationHeader = {.name = names.requestId,
                                  .value = std::string(findHeader(work.request.request.headers,
                                                                  names.requestId))}};
    work.call = m_client.send(options, buildBackendRequest(work, timeLeft),
                              [this, id](HttpResult result) { answered(id, std::move(result)); });
    m_observer.runStarted(work.request.workspace, now);
    probeForCold();
}

void BackendOwner::answered(std::uint64_t id, HttpResult result)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
        return;
    const SteadyTime now = m_timers.now();
    const std::chrono::microseconds serviceTime =
            std::chrono::duration_cast<std::chrono::microseconds>(now - found->second.startedAt);
    const bool isSample =
            result.verdict == Verdict::Done || result.failure == HttpFailure::TimedOut;
    // Nothing below can cancel the request, so it may leave the table before its callback runs.
    const Work work = take(found);
    const WorkResult outcome = classify(work, std::move(result));
    const bool ran = outcome.verdict != Verdict::NotRun;
    if (!ran)
        m_observer.runRejected(work.request.workspace, work.startedAt);
    m_admission.finished(work.request.route,
                         isSample && ran ? serviceTime : std::chrono::microseconds(0), now);
    // A failed run may have ended early, at its first failed call.
    if (outcome.verdict == Verdict::Done && outcome.response.status < FirstServerError
        && work.lifetime == m_lifetime)
        m_costs.recordRun(work.request.route, work.request.workspace, serviceTime, now);
    recordEvidence(work, outcome, serviceTime);
    work.callback(outcome);
    processQueue();
}

WorkResult BackendOwner::classify(const Work &work, HttpResult result)
{
    WorkResult outcome{.verdict = result.verdict, .reachedBackend = true};
    switch (result.failure) {
    case HttpFailure::None:
        break;
    case HttpFailure::ConnectFailed:
        outcome.refusal = WorkRefusal::Unreachable;
        outcome.reachedBackend = false;
        if (work.lifetime == m_lifetime)
            recordConnectFailure();
        return outcome;
    case HttpFailure::ConnectionLost:
        outcome.refusal = WorkRefusal::Lost;
        if (work.lifetime == m_lifetime)
            recordConnectionLoss(work.fingerprint);
        return outcome;
    case HttpFailure::TimedOut:
    case HttpFailure::Cancelled:
        outcome.refusal = WorkRefusal::TimedOut;
        return outcome;
    case HttpFailure::Malformed:
        outcome.refusal = WorkRefusal::Malformed;
        return outcome;
    }
    if (!isFinalStatus(result.response.status)) {
        outcome.verdict = Verdict::MayHaveRun;
        outcome.refusal = WorkRefusal::Malformed;
        return outcome;
    }
    m_connectFailures = 0;
    // A backend server that answers what was sent after the loss has not crashed with it.
    if (work.lifetime == m_lifetime && !m_lostRequests.empty()
        && work.startedAt > m_lostRequests.back().at)
        m_lostRequests.clear();
    const std::vector<HttpHeader> &headers = result.response.headers;
    const bool misdirected = result.response.status == StatusMisdirected;
    // A misdirected request was answered by another backend server.
    if (!misdirected)
        recordAnswerHeaders(work, headers);
    if (misdirected || !findHeader(headers, m_options.headers.notRun).empty()) {
        outcome.verdict = Verdict::NotRun;
        outcome.refusal = WorkRefusal::Rejected;
        if (misdirected && m_registration.current() && m_registration.current()->id == work.backend
            && !m_unreachable) {
            m_unreachable = true;
            logEvent(Event::BackendLost, {{"backend", work.backend}, {"reason", "replaced"}});
            m_observer.ownerStatusChanged();
        }
        return outcome;
    }
    const bool encoded = !findHeader(headers, "Content-Encoding").empty();
    const bool unsealed = !m_options.headers.seal.empty() && isSuccess(result.response.status)
                          && findHeader(headers, m_options.headers.seal).empty();
    if (encoded || unsealed) {
        outcome.verdict = Verdict::MayHaveRun;
        outcome.refusal = WorkRefusal::Malformed;
        return outcome;
    }
    outcome.response = std::move(result.response);
    if (isSuccess(outcome.response.status) && m_poison.isSuspect(work.fingerprint)) {
        m_poison.removeSuspect(work.fingerprint);
        m_observer.requestCleared(work.fingerprint);
    }
    return outcome;
}

void BackendOwner::recordEvidence(const Work &work, const WorkResult &result,
                                  std::chrono::microseconds serviceTime)
{
    const bool done = result.verdict == Verdict::Done;
    const bool failed = !done || result.response.status >= FirstServerError;
    if (result.verdict != Verdict::NotRun || result.refusal == WorkRefusal::Rejected)
        m_recentFailures.add(failed, m_timers.now());
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    if (!backend || backend->id != work.backend || result.verdict == Verdict::NotRun)
        return;
    ArmEvidence &counts = m_evidence[work.request.route];
    ++counts.requests;
    if (failed)
        ++counts.failures;
    else
        ++counts.latency[latencyBucket(serviceTime)];
}

std::vector<VersionEvidence> BackendOwner::evidence() const
{
    std::vector<VersionEvidence> routes;
    for (const auto &[route, counts] : m_evidence)
        routes.push_back(VersionEvidence{.route = route, .counts = counts});
    return routes;
}

void BackendOwner::recordConnectFailure()
{
    ++m_connectFailures;
    if (m_connectFailures >= m_options.connectFailureThreshold)
        recordCrash("cannot be reached");
}

void BackendOwner::recordConnectionLoss(std::uint64_t fingerprint)
{
    const SteadyTime now = m_timers.now();
    std::erase_if(m_lostRequests,
                  [&](const LostRequest &lost) { return now - lost.at > m_options.crashWindow; });
    m_lostRequests.push_back(LostRequest{.fingerprint = fingerprint, .at = now});
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    logEvent(Event::BackendConnectionLost, {{"backend", backend ? backend->id : std::string()},
                                            {"fingerprint", formatHash(fingerprint)},
                                            {"lost", m_lostRequests.size()},
                                            {"running", m_admission.running()}});
    const bool allLost = m_admission.running() <= m_lostRequests.size();
    if (m_lostRequests.size() < m_options.connectionLossThreshold && !allLost)
        return;
    // It may be restarting. Until the next heartbeat it is given only the load for a cold one.
    m_assumeCold = true;
    updateStartRate();
    probeForCrash();
}

void BackendOwner::probeForCrash()
{
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    // While few requests arrive, no other would show in time that nothing listens any more.
    if (!backend || backend->draining || m_unreachable)
        return;
    m_probe.send(ProbeTarget{.server = backend->endpoint,
                             .path = m_policy.healthPath,
                             .backend = backend->id,
                             .newConnection = true},
                 [this](const ProbeResult &result) {
                     if (result.outcome == ProbeResult::Outcome::NoConnection)
                         recordCrash("lost its connections and accepts no new one");
                     else if (result.outcome == ProbeResult::Outcome::Replaced)
                         recordCrash("lost its connections and was replaced");
                     else if (result.outcome == ProbeResult::Outcome::Answered)
                         m_lostRequests.clear();
                     coldProbed(result);
                 });
}

void BackendOwner::recordCrash(std::string_view reason)
{
    if (m_unreachable)
        return;
    m_unreachable = true;
    m_assumeCold = true;
    const std::optional<BackendHeartbeat> &backend = m_registration.current();
    logEvent(Event::BackendLost,
             {{"backend", backend ? backend->id : std::string()}, {"reason", reason}});
    if (backend && !backend->draining)
        reportSuspects(*backend);
    m_lostRequests.clear();
    refuseWaiting(WorkRefusal::Unreachable);
    m_observer.ownerStatusChanged();
}

void BackendOwner::reportSuspects(const BackendHeartbeat &crashed)
{
    // A backend server that restarts under its id crashes again as another lifetime.
    const std::string lifetime = joinText(crashed.id, "#", crashed.startedAt.value_or(0));
    const SteadyTime now = m_timers.now();
    std::size_t suspects = 0;
    for (const LostRequest &lost : m_lostRequests) {
        if (suspects == m_options.maxSuspects)
            return;
        if (!m_poison.recordCrash(lost.fingerprint, lifetime, now))
            continue;
        m_observer.requestSuspected(lost.fingerprint, lifetime);
        ++suspects;
    }
}

void BackendOwner::finish(std::uint64_t id, const WorkResult &result)
{
    const auto found = m_work.find(id);
    if (found == m_work.end())
        return;
    take(found).callback(result);
}

BackendOwner::Work BackendOwner::take(std::unordered_map<std::uint64_t, Work>::iterator work)
{
    Work taken = std::move(work->second);
    m_heldBodyBytes -= taken.request.request.body.size();
    m_costs.ended(work->first);
    m_work.erase(work);
    return taken;
}

void BackendOwner::processQueue()
{
    if (m_admission.waiting() == 0) {
        m_queueTimer.stop();
        return;
    }
    updateStartRate();
    const DequeuedTickets due = m_admission.dequeue(m_timers.now());
    for (const std::uint64_t id : due.dropped) {
        finish(id, WorkResult{.verdict = Verdict::NotRun,
                              .refusal = WorkRefusal::Overloaded,
                              .retryAfter = m_admission.meanServiceTime()});
    }
    for (const std::uint64_t id : due.start) {
        if (m_work.contains(id))
            start(id);
    }
}

void BackendOwner::refuseWaiting(WorkRefusal reason)
{
    for (const std::uint64_t id : m_admission.clear())
        finish(id, WorkResult{.verdict = Verdict::NotRun, .refusal = reason});
}

} // namespace jacinthshift
