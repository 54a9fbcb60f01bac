#include "modules/backend/backend_agent.h"

#include <algorithm>

#include "core/duration.h"
#include "core/hash.h"
#include "core/logger.h"
#include "modules/config/service_spec.h"

namespace jacinthshift {

namespace {

constexpr int StatusServiceUnavailable = 503;
constexpr std::uint32_t MaxSlots = 100'000;
// Delay of a health check, so that other broken connections of a crash are counted first.
constexpr std::chrono::milliseconds HealthCheckDelay{20};
// No request is started while at least MinStalled running requests, and at least one in
// StalledDivisor of them, are stalled.
constexpr std::size_t StalledDivisor = 4;
constexpr std::ptrdiff_t MinStalled = 2;

/** Returns whether the answer guarantees that the backend server did not run the request. */
bool isShedAnswer(const HttpResponse &response)
{
    return response.status == StatusServiceUnavailable
           && !findHeader(response.headers, "Retry-After").empty();
}

bool mayHaveRun(const HttpResult &result)
{
    return result.verdict == Verdict::MayHaveRun;
}

} // namespace

BackendAgent::BackendAgent(const BackendAgentOptions &options, HttpClient &http,
                           TimerService &timers, BackendObserver &observer, PoisonRegistry &poison)
    : m_options(options)
    , m_http(http)
    , m_timers(timers)
    , m_observer(observer)
    , m_poison(poison)
    , m_limit(options.limit, 1)
    , m_idempotency(options.idempotency)
{
}

BackendAgent::~BackendAgent() = default;

absl::Status BackendAgent::announce(const BackendAnnouncement &announcement)
{
    if (!isValidName(announcement.service) || !isValidName(announcement.version))
        return absl::InvalidArgumentError("service and version must be names of a-z, 0-9, - and .");
    if (!announcement.endpoint.isValid())
        return absl::InvalidArgumentError("the backend server's address is not IP:PORT");
    if (announcement.slots == 0 || announcement.slots > MaxSlots)
        return absl::InvalidArgumentError("slots must be from 1 to 100000");
    const bool restarted = announcement.instance != m_announcement.instance
                           || announcement.endpoint != m_announcement.endpoint
                           || m_state == BackendState::None;
    const bool changed = restarted || announcement.state != m_state
                         || announcement.version != m_announcement.version
                         || announcement.service != m_announcement.service
                         || announcement.slots != m_announcement.slots;
    m_announcementTimer = Timer(m_timers, m_timers.startOnce(m_options.announcementTimeout, [this] {
        logEvent(Event::BackendLost, {{"reason", "announcements stopped"}});
        setState(BackendState::None);
    }));
    if (!changed)
        return absl::OkStatus();
    const bool serviceChanged = announcement.service != m_announcement.service;
    m_announcement = announcement;
    if (restarted) {
        m_limit.reset(announcement.slots);
        // Stored idempotency keys stay valid across restarts of the backend server, so the time is
        // set anew only for another service.
        if (m_backendSince == 0 || serviceChanged)
            m_backendSince = static_cast<std::uint64_t>(unixMilliseconds(m_timers.wallNow()));
    }
    logEvent(announcement.state == BackendState::Leaving ? Event::BackendLeaving
                                                         : Event::BackendAnnounced,
             {{"service", announcement.service},
              {"version", announcement.version},
              {"backend", announcement.endpoint.text()},
              {"slots", announcement.slots},
              {"state", backendStateName(announcement.state)}});
    m_state = announcement.state;
    m_observer.backendChanged();
    return absl::OkStatus();
}

void BackendAgent::setState(BackendState state)
{
    if (m_state == state)
        return;
    m_state = state;
    m_observer.backendChanged();
}

void BackendAgent::setDomainTakenOut(bool takenOut)
{
    if (m_domainTakenOut && !takenOut) {
        // The backend server's caches may be cold, and the domain's whole load returns at once.
        m_limit.reset(m_announcement.slots);
    }
    m_domainTakenOut = takenOut;
}

CallProblem BackendAgent::refusalReason(const CallMessage &call, std::uint64_t fingerprint) const
{
    const bool servesCall = m_state == BackendState::Ready && !m_stopping
                            && call.service == m_announcement.service
                            && call.version == m_announcement.version;
    if (!servesCall)
        return CallProblem::NotOwner;
    if (m_domainTakenOut)
        return CallProblem::DomainOut;
    if (m_poison.isRefused(fingerprint, m_timers.now()))
        return CallProblem::Poisoned;
    if (call.timeout <= m_limit.baselineLatency() / 2)
        return CallProblem::DeadlinePassed;
    return CallProblem::None;
}

AnswerMessage BackendAgent::answerForKey(KeyState state, const std::string &key) const
{
    AnswerMessage answer;
    switch (state) {
    case KeyState::New:
        break;
    case KeyState::Running:
    case KeyState::Moved:
        answer.verdict = Verdict::MayHaveRun;
        answer.problem = CallProblem::KeyInUse;
        break;
    case KeyState::Done:
        answer.verdict = Verdict::Done;
        answer.response = m_idempotency.answer(key);
        answer.response.headers.push_back(
                HttpHeader{.name = "Jacinthshift-Replayed", .value = "true"});
        break;
    case KeyState::Full:
        answer.verdict = Verdict::NotRun;
        answer.problem = CallProblem::Overloaded;
        break;
    }
    return answer;
}

bool BackendAgent::answerFromStoredKey(const WorkPointer &work)
{
    const std::string &key = work->call.idempotencyKey;
    if (key.empty())
        return false;
    const KeyState state = m_idempotency.begin(key, m_timers.now());
    if (state == KeyState::New) {
        work->keyReserved = true;
        return false;
    }
    reply(work, answerForKey(state, key));
    return true;
}

void BackendAgent::releaseKey(const WorkPointer &work)
{
    if (std::exchange(work->keyReserved, false))
        m_idempotency.release(work->call.idempotencyKey);
}

AnswerMessage BackendAgent::handKeyOver(const CallMessage &call)
{
    const KeyState state = m_idempotency.handOver(call.idempotencyKey, m_timers.now());
    // A key that was handed over to its current home node before may be handed over again.
    const bool handedOver = state == KeyState::New || state == KeyState::Moved;
    AnswerMessage answer = answerForKey(handedOver ? KeyState::New : state, call.idempotencyKey);
    answer.id = call.id;
    answer.limit = limit();
    answer.inFlight = inFlight();
    return answer;
}

std::uint64_t BackendAgent::submit(CallMessage call, AnswerCallback callback)
{
    if (call.handKeyOver) {
        callback(handKeyOver(call));
        return 0;
    }
    WorkPointer work = std::make_shared<Work>();
    work->id = ++m_lastId;
    work->fingerprint = requestFingerprint(call.service, call.request);
    work->deadline = m_timers.now() + call.timeout;
    work->callback = std::move(callback);
    work->call = std::move(call);
    const CallProblem problem = refusalReason(work->call, work->fingerprint);
    if (problem != CallProblem::None) {
        refuse(work, problem);
        return work->id;
    }
    if (answerFromStoredKey(work))
        return work->id;
    if (mayStart() && m_queue.empty())
        start(work);
    else
        enqueue(work);
    return work->id;
}

bool BackendAgent::mayStart()
{
    if (inFlight() >= m_limit.effectiveLimit())
        return false;
    // Requests that do not end are the first sign of a backend server that has turned cold. No
    // further request is started while many of them are stalled.
    const std::chrono::milliseconds stallThreshold = m_limit.stallThreshold();
    if (stallThreshold.count() == 0 || inFlight() < 2)
        return true;
    const SteadyTime now = m_timers.now();
    SteadyTime oldest = now;
    for (const auto &[id, work] : m_running)
        oldest = std::min(oldest, work->startedAt);
    const auto stalled = std::count_if(m_running.begin(), m_running.end(),
                                       [now, stallThreshold](const auto &pair) {
                                           return now - pair.second->startedAt > stallThreshold;
                                       });
    const bool manyStalled = static_cast<std::size_t>(stalled) * StalledDivisor >= m_running.size();
    if (stalled < MinStalled || !manyStalled)
        return true;
    m_limit.stalled(now, oldest, inFlight());
    return false;
}

std::size_t BackendAgent::queueCapacity() const
{
    // As many calls as can start within maxQueueTime.
    const std::int64_t baseline = std::max<std::int64_t>(1, m_limit.baselineLatency().count());
    const std::int64_t rounds =
            std::max<std::int64_t>(1, m_options.maxQueueTime.count() / baseline);
    return static_cast<std::size_t>(limit()) * static_cast<std::size_t>(rounds);
}

void BackendAgent::enqueue(const WorkPointer &work)
{
    if (m_queue.size() >= queueCapacity()) {
        refuse(work, CallProblem::Overloaded);
        return;
    }
    const std::chrono::milliseconds wait = std::min(m_options.maxQueueTime, work->call.timeout / 2);
    std::weak_ptr<Work> weak = work;
    work->queueTimer = Timer(m_timers, m_timers.startOnce(wait, [this, weak] {
        const WorkPointer waiting = weak.lock();
        std::erase(m_queue, waiting);
        refuse(waiting, CallProblem::Overloaded);
    }));
    m_queue.push_back(work);
}

void BackendAgent::startQueued()
{
    while (!m_queue.empty() && mayStart()) {
        const WorkPointer work = m_queue.front();
        m_queue.pop_front();
        work->queueTimer.stop();
        const CallProblem problem = refusalReason(work->call, work->fingerprint);
        if (problem != CallProblem::None)
            refuse(work, problem);
        else
            start(work);
    }
}

void BackendAgent::start(const WorkPointer &work)
{
    const SteadyTime now = m_timers.now();
    m_running.emplace(work->id, work);
    work->startedAt = now;
    work->inFlightAtStart = inFlight();
    const std::chrono::milliseconds timeLeft =
            std::chrono::duration_cast<std::chrono::milliseconds>(work->deadline - now);
    work->call.request.headers.push_back(HttpHeader{.name = "Jacinthshift-Deadline-Ms",
                                                    .value = std::to_string(timeLeft.count())});
    work->call.request.headers.push_back(
            HttpHeader{.name = "Jacinthshift-Trace", .value = work->call.trace});
    const HttpSendOptions options{.server = m_announcement.endpoint, .timeout = timeLeft};
    work->httpCall = m_http.send(options, work->call.request, [this, work](HttpResult result) {
        work->httpCall = HttpCallId::None;
        finished(work, std::move(result));
    });
}

void BackendAgent::finished(const WorkPointer &work, HttpResult result)
{
    if (!m_running.contains(work->id))
        return;
    if (result.verdict == Verdict::Done && !isShedAnswer(result.response)) {
        answerDone(work, std::move(result.response));
    } else if (result.verdict == Verdict::Done) {
        answerShed(work);
    } else if (result.failure == HttpFailure::ConnectionLost && mayHaveRun(result)) {
        // Either the backend server crashed or only the connection broke: a health check decides.
        work->lost = true;
        startHealthCheck();
    } else if (result.verdict == Verdict::NotRun) {
        startHealthCheck();
        answerFailed(work, Verdict::NotRun, CallProblem::NotOwner);
    } else {
        answerFailed(work, Verdict::MayHaveRun, CallProblem::BackendFailed);
    }
}

void BackendAgent::answerDone(const WorkPointer &work, HttpResponse response)
{
    const std::uint32_t oldLimit = limit();
    const bool failed = response.status >= 500;
    m_limit.answered(m_timers.now(), work->startedAt, inFlight() - 1);
    m_limit.finished(m_timers.now(), work->startedAt, WorkOutcome::Success, work->inFlightAtStart);
    if (limit() != oldLimit)
        logEvent(Event::LimitChanged, {{"from", oldLimit}, {"to", limit()}});
    if (!failed && m_poison.isSuspect(work->fingerprint)) {
        m_poison.forgetSuspect(work->fingerprint);
        m_observer.requestCleared(work->fingerprint);
    }
    if (work->keyReserved)
        m_idempotency.finish(work->call.idempotencyKey, response);
    reply(work, AnswerMessage{.verdict = Verdict::Done, .response = std::move(response)});
}

void BackendAgent::answerShed(const WorkPointer &work)
{
    const std::uint32_t oldLimit = limit();
    m_limit.finished(m_timers.now(), work->startedAt, WorkOutcome::Shed, work->inFlightAtStart);
    logEvent(Event::LimitChanged, {{"from", oldLimit}, {"to", limit()}, {"reason", "shed"}});
    releaseKey(work);
    reply(work, AnswerMessage{.verdict = Verdict::NotRun, .problem = CallProblem::Overloaded});
}

void BackendAgent::answerFailed(const WorkPointer &work, Verdict verdict, CallProblem problem)
{
    const std::uint32_t oldLimit = limit();
    m_limit.finished(m_timers.now(), work->startedAt, WorkOutcome::Failed, work->inFlightAtStart);
    logEvent(Event::LimitChanged,
             {{"from", oldLimit}, {"to", limit()}, {"reason", callProblemName(problem)}});
    // A key whose request may have run stays stored, so that the request cannot run again.
    if (verdict == Verdict::NotRun)
        releaseKey(work);
    reply(work, AnswerMessage{.verdict = verdict, .problem = problem});
}

void BackendAgent::refuse(const WorkPointer &work, CallProblem problem)
{
    releaseKey(work);
    logEvent(problem == CallProblem::Poisoned ? Event::PoisonRefused : Event::AdmissionRefused,
             {{"service", work->call.service},
              {"trace", work->call.trace},
              {"reason", callProblemName(problem)},
              {"limit", limit()},
              {"in_flight", inFlight()}});
    reply(work, AnswerMessage{.verdict = Verdict::NotRun, .problem = problem});
}

void BackendAgent::startHealthCheck()
{
    if (m_healthCheckPending)
        return;
    m_healthCheckPending = true;
    // All connections of a crashing backend server break almost at once: wait for the others.
    m_healthCheckTimer = Timer(m_timers, m_timers.startOnce(HealthCheckDelay, [this] {
        HttpRequest request{.method = "GET", .target = "/health"};
        m_http.send(HttpSendOptions{.server = m_announcement.endpoint,
                                    .timeout = m_options.healthCheckTimeout},
                    request, [this](const HttpResult &result) { healthCheckFinished(result); });
    }));
}

void BackendAgent::healthCheckFinished(const HttpResult &result)
{
    m_healthCheckPending = false;
    if (result.verdict == Verdict::NotRun && result.failure == HttpFailure::ConnectFailed)
        backendCrashed();
    else
        answerLostRequests(CallProblem::BackendFailed);
}

void BackendAgent::backendCrashed()
{
    logEvent(Event::BackendLost,
             {{"reason", "the backend server crashed"}, {"in_flight", inFlight()}});
    for (const auto &[id, work] : m_running) {
        logEvent(Event::CrashSuspected,
                 {{"fingerprint", formatHash(work->fingerprint)}, {"trace", work->call.trace}});
        m_observer.requestSuspected(work->fingerprint);
    }
    m_limit.reset(m_announcement.slots);
    setState(BackendState::None);
    answerLostRequests(CallProblem::BackendCrashed);
    while (!m_queue.empty()) {
        const WorkPointer work = m_queue.front();
        m_queue.pop_front();
        refuse(work, CallProblem::NotOwner);
    }
}

void BackendAgent::answerLostRequests(CallProblem problem)
{
    std::vector<WorkPointer> lost;
    for (const auto &[id, work] : m_running) {
        if (work->lost)
            lost.push_back(work);
    }
    for (const WorkPointer &work : lost)
        answerFailed(work, Verdict::MayHaveRun, problem);
}

void BackendAgent::reply(const WorkPointer &work, AnswerMessage answer)
{
    m_running.erase(work->id);
    work->queueTimer.stop();
    answer.id = work->call.id;
    answer.limit = limit();
    answer.inFlight = inFlight();
    if (work->callback)
        std::exchange(work->callback, nullptr)(std::move(answer));
    startQueued();
}

void BackendAgent::cancel(std::uint64_t id)
{
    const auto queued = std::find_if(m_queue.begin(), m_queue.end(),
                                     [id](const WorkPointer &work) { return work->id == id; });
    if (queued != m_queue.end()) {
        const WorkPointer work = *queued;
        m_queue.erase(queued);
        work->callback = nullptr;
        refuse(work, CallProblem::DeadlinePassed);
        return;
    }
    const auto running = m_running.find(id);
    if (running == m_running.end())
        return;
    const WorkPointer work = running->second;
    work->callback = nullptr;
    if (work->httpCall != HttpCallId::None)
        m_http.cancel(work->httpCall);
}

} // namespace jacinthshift
