#include "modules/forwarding/forwarder.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusUnauthorized = 401;
constexpr int StatusNotFound = 404;
constexpr int FirstServerError = 500;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

/** Returns the time from now to another time, or zero if that has passed. */
std::chrono::milliseconds remainingTime(SteadyTime now, SteadyTime then)
{
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::duration_cast<std::chrono::milliseconds>(then - now));
}

/** Returns seconds with three decimals; the HTTP peers accept fractional seconds. */
std::string formatSeconds(std::chrono::milliseconds time)
{
    const std::string thousandths = std::to_string(time.count() % 1'000);
    return joinText(time.count() / 1'000, ".", std::string(3 - thousandths.size(), '0'),
                    thousandths);
}

} // namespace

Forwarder::Forwarder(const ForwarderOptions &options, TimerService &timers, FleetNetwork &network,
                     RemoteCallClient &remote, WorkHandler &local, VersionPolicy &versions,
                     TrafficMetrics &metrics)
    : m_options(options)
    , m_timers(timers)
    , m_remote(remote)
    , m_local(local)
    , m_versions(versions)
    , m_metrics(metrics)
    , m_owners(network, remote, local, timers)
    , m_selector(options.selector, options.randomSeed)
    , m_budgets(options.retries)
{
}

void Forwarder::forward(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    const RequestPointer incoming = std::make_shared<Request>();
    incoming->id = ++m_lastId;
    incoming->request = std::move(request);
    incoming->responder = std::move(responder);
    incoming->requestId =
            std::string(findHeader(incoming->request.headers, m_options.headers.requestId));
    incoming->arrivedAt = m_timers.now() - incoming->request.waited;
    if (!admit(incoming))
        return;
    m_requests.emplace(incoming->id, incoming);
    m_budgets.requestMade(incoming->service);
    const std::weak_ptr<Request> weak = incoming;
    incoming->responder->onCallerGone([this, weak] {
        if (const RequestPointer active = weak.lock())
            callerGone(active);
    });
    incoming->timeout =
            Timer(m_timers, m_timers.startOnce(remainingTime(m_timers.now(), incoming->deadline),
                                               [this, weak] {
                                                   if (const RequestPointer active = weak.lock())
                                                       endForLackOfTime(active);
                                               }));
    if (incoming->deadline <= m_timers.now())
        endForLackOfTime(incoming);
    else
        tryNextOwner(incoming);
}

bool Forwarder::isIdempotent(const HttpRequest &request) const
{
    if (m_routes == nullptr)
        return false;
    const ActiveRoute *route = m_routes->find(findHeader(request.headers, "host"), request.target);
    return route != nullptr && route->settings().idempotent;
}

bool Forwarder::admit(const RequestPointer &request)
{
    if (m_stopsAt && m_timers.now() >= *m_stopsAt) {
        refuse(request->responder, request->requestId, StatusUnavailable,
               m_options.retryAfterWhileStopping, "stopping");
        return false;
    }
    if (m_routes == nullptr) {
        refuse(request->responder, request->requestId, StatusUnavailable,
               m_options.retryAfterWithoutConfig, "no-configuration");
        return false;
    }
    if (request->requestId.empty()) {
        refuse(request->responder, request->requestId, StatusBadRequest,
               std::chrono::milliseconds(0), "no-request-id");
        return false;
    }
    ActiveRoute *route =
            m_routes->find(findHeader(request->request.headers, "host"), request->request.target);
    if (route == nullptr) {
        refuse(request->responder, request->requestId, StatusNotFound, std::chrono::milliseconds(0),
               "no-route");
        return false;
    }
    const TrafficRoute &settings = route->settings();
    request->priority = settings.priority;
    if (m_keyCheck != nullptr && m_keyCheck->isEnabled() && !admitKey(*request, settings))
        return false;
    request->route = settings.name;
    request->service = route->nextService();
    request->version = m_versions.chooseVersion(request->service);
    request->idempotent = settings.idempotent;
    request->maxAttempts = std::max(1U, settings.maxAttempts);
    setDeadlines(*request, settings);
    return true;
}

bool Forwarder::admitKey(Request &request, const TrafficRoute &route)
{
    const KeyCheckResult result = m_keyCheck->check(request.request.headers, route.isPublic);
    switch (result.verdict) {
    case KeyVerdict::Missing:
        refuse(request.responder, request.requestId, StatusUnauthorized,
               std::chrono::milliseconds(0), "key-missing");
        return false;
    case KeyVerdict::Unknown:
        refuse(request.responder, request.requestId, StatusUnauthorized,
               std::chrono::milliseconds(0), "key-unknown");
        return false;
    case KeyVerdict::Unverified:
        refuse(request.responder, request.requestId, StatusUnavailable,
               m_options.retryAfterWithoutVerification, "key-unverified");
        return false;
    case KeyVerdict::Valid:
    case KeyVerdict::NotNeeded:
        break;
    }
    m_keyCheck->rewriteHeaders(request.request.headers, result.workspace);
    if (result.workspace != nullptr) {
        request.workspace = result.workspace->name;
        request.priority = result.workspace->priority.value_or(route.priority);
    }
    return true;
}

void Forwarder::setDeadlines(Request &request, const TrafficRoute &route)
{
    std::chrono::milliseconds timeout =
            route.timeout.count() > 0 ? route.timeout : m_options.defaultTimeout;
    const std::chrono::milliseconds target =
            route.targetLatency.count() > 0 ? route.targetLatency : timeout;
    std::chrono::milliseconds spent(0);
    std::int64_t deadline = 0;
    request.callerDeadline = request.arrivedAt + timeout;
    if (parseNumber(findHeader(request.request.headers, m_options.headers.deadline), deadline)) {
        const std::chrono::milliseconds requested(std::max<std::int64_t>(deadline, 0));
        request.callerDeadline = request.arrivedAt + requested;
        std::chrono::milliseconds &longestDeadline = m_longestDeadline[route.name];
        longestDeadline = std::max(longestDeadline, requested);
        // A caller's retry has less time left than its first attempt had.
        if (longestDeadline - requested > m_options.callerRetryMargin) {
            request.isCallerRetry = true;
            spent = longestDeadline - requested;
        }
        timeout = std::min(timeout, requested);
    }
    request.deadline = request.arrivedAt + timeout;
    if (m_latestDeadline && request.deadline > *m_latestDeadline) {
        request.deadline = std::max(*m_latestDeadline, request.arrivedAt);
        timeout = remainingTime(request.arrivedAt, request.deadline);
    }
    request.targetAt =
            request.arrivedAt + std::clamp(target - spent, std::chrono::milliseconds(0), timeout);
}

OwnerQuery Forwarder::ownerQuery(const Request &request, const VersionChoice &version) const
{
    const bool triedOwnDomain = request.ownerAttempts > request.otherDomainAttempts;
    return {.service = request.service,
            .version = version,
            .triedNodes = request.triedNodes,
            .ownDomainOnly =
                    triedOwnDomain
                    && request.otherDomainAttempts >= m_options.otherDomainAttemptsAfterOwn};
}

std::optional<OwnerCandidate> Forwarder::chooseOwner(Request &request)
{
    const std::vector<OwnerCandidate> candidates =
            m_owners.candidates(ownerQuery(request, request.version));
    const std::optional<std::size_t> best = m_selector.choose(
            candidates,
            SelectionContext{.targetTimeLeft = remainingTime(m_timers.now(), request.targetAt),
                             .routeFactor = routeFactor(request),
                             .largeResponse = hasLargeResponse(request)});
    if (!best)
        return std::nullopt;
    return candidates[*best];
}

void Forwarder::recordResponse(const Request &request, std::chrono::microseconds time,
                               std::size_t bytes)
{
    constexpr double SmoothingFactor = 0.05; // Weight of a new sample.
    const auto updateMean = [](std::unordered_map<std::string, double> &means,
                               const std::string &key, double sample) {
        const auto [mean, isNew] = means.try_emplace(key, sample);
        if (!isNew)
            mean->second += SmoothingFactor * (sample - mean->second);
    };
    const double milliseconds = static_cast<double>(time.count()) / 1'000.0;
    updateMean(m_routeMeanTimes, request.route, milliseconds);
    updateMean(m_serviceMeanTimes, request.service, milliseconds);
    updateMean(m_routeMeanBytes, request.route, static_cast<double>(bytes));
}

bool Forwarder::hasLargeResponse(const Request &request) const
{
    const auto mean = m_routeMeanBytes.find(request.route);
    return mean != m_routeMeanBytes.end()
           && mean->second >= static_cast<double>(m_options.largeResponseBytes);
}

double Forwarder::routeFactor(const Request &request) const
{
    const auto route = m_routeMeanTimes.find(request.route);
    const auto service = m_serviceMeanTimes.find(request.service);
    if (route == m_routeMeanTimes.end() || service == m_serviceMeanTimes.end()
        || service->second <= 0.0)
        return 1.0;
    return route->second / service->second;
}

WorkRequest Forwarder::makeWorkRequest(const Request &request) const
{
    const SteadyTime now = m_timers.now();
    return WorkRequest{.request = request.request,
                       .route = request.route,
                       .service = request.service,
                       .version = "",
                       .callerService = m_options.callerService,
                       .workspace = request.workspace,
                       .priority = request.priority,
                       .idempotent = request.idempotent,
                       .isCallerRetry = request.isCallerRetry,
                       .mayHaveRun = request.mayHaveRun,
                       .timeLeft = remainingTime(now, request.deadline),
                       .targetTimeLeft = remainingTime(now, request.targetAt)};
}

void Forwarder::tryNextOwner(const RequestPointer &request)
{
    request->version = m_versions.reviseChoice(request->service, request->version);
    const std::optional<OwnerCandidate> owner = request->ownerAttempts < m_options.maxOwnerAttempts
                                                        ? chooseOwner(*request)
                                                        : std::nullopt;
    if (!owner) {
        attemptsUsedUp(request);
        return;
    }
    ++request->ownerAttempts;
    request->otherDomainAttempts += owner->sameDomain ? 0 : 1;
    request->triedNodes.push_back(owner->node);
    request->owner = owner->node;
    request->ownerVersion = owner->backend.version;
    m_versions.requestSent(request->service, request->ownerVersion);
    request->attemptStartedAt = m_timers.now();
    WorkRequest work = makeWorkRequest(*request);
    if (!request->version.requiredVersion.empty() || !request->version.excludedVersion.empty())
        work.version = owner->backend.version;
    logEvent(Event::OwnerChosen, {{"request", request->requestId},
                                  {"route", request->route},
                                  {"owner", owner->node},
                                  {"backend", owner->backend.id},
                                  {"try", request->ownerAttempts},
                                  {"running", owner->backend.running},
                                  {"queued", owner->backend.queued},
                                  {"limit", owner->backend.concurrencyLimit},
                                  {"work_ms", owner->backend.remainingWork.count()},
                                  {"run_ms", owner->backend.normalRunTime.count()},
                                  {"pace", owner->backend.pacePercent},
                                  {"age_ms", owner->statusAge.count()},
                                  {"left_ms", work.timeLeft.count()}});
    const std::weak_ptr<Request> weak = request;
    const std::uint32_t ownerAttempt = request->ownerAttempts;
    const auto callback = [this, weak, ownerAttempt](const WorkResult &result) {
        const RequestPointer active = weak.lock();
        if (active == nullptr)
            return;
        if (active->lateAttempt == ownerAttempt)
            lateAttemptEnded(active, result);
        else
            attemptEnded(active, result);
    };
    if (owner->node == m_options.node) {
        // The local owner may answer before run() returns; the returned call id is then obsolete.
        const std::uint64_t callId = m_local.run(work, callback);
        if (request->ownerAttempts == ownerAttempt && request->owner == m_options.node)
            request->callId = callId;
    } else {
        const auto suspected = [this, weak, ownerAttempt] {
            const RequestPointer active = weak.lock();
            if (active != nullptr && active->ownerAttempts == ownerAttempt
                && active->lateAttempt == 0)
                ownerSuspected(active);
        };
        request->callId = m_remote.call(owner->node, std::move(work), callback, suspected);
    }
}

void Forwarder::ownerSuspected(const RequestPointer &request)
{
    const WorkResult late{
            .verdict = Verdict::MayHaveRun, .refusal = WorkRefusal::Lost, .reachedBackend = true};
    const VersionChoice version = versionForRetry(*request, late);
    if (request->ownerAttempts >= m_options.maxOwnerAttempts
        || !isRetryable(*request, late, request->backendsReached + 1)
        || !m_budgets.canConsume(request->service)
        || m_owners.candidates(ownerQuery(*request, version)).empty()
        || !m_budgets.tryConsume(request->service))
        return;
    m_metrics.requestRetried();
    recordAttempt(*request, late);
    logEvent(Event::RequestRetried, {{"request", request->requestId},
                                     {"after", "late"},
                                     {"verdict", verdictName(late.verdict)},
                                     {"try", request->ownerAttempts}});
    request->lateAttempt = request->ownerAttempts;
    request->lateCallId = std::exchange(request->callId, 0);
    request->owner.clear();
    request->mayHaveRun = true;
    ++request->backendsReached;
    request->lastRefusal = late.refusal;
    request->version = version;
    tryNextOwner(request);
}

void Forwarder::lateAttemptEnded(const RequestPointer &request, const WorkResult &result)
{
    request->lateAttempt = 0;
    if (result.verdict == Verdict::Done)
        m_versions.requestAnswered(request->service);
    const bool hasServed =
            result.verdict == Verdict::Done && result.response.status < FirstServerError;
    if (hasServed) {
        cancelCall(*request);
        answer(request, result.response, "answered");
        return;
    }
    if (result.verdict == Verdict::Done)
        request->errorResponse = std::make_unique<HttpResponse>(result.response);
    if (request->owner.empty())
        answerFailure(request);
}

void Forwarder::attemptsUsedUp(const RequestPointer &request)
{
    if (request->lateAttempt == 0)
        answerFailure(request);
}

void Forwarder::recordAttempt(Request &request, const WorkResult &result) const
{
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_timers.now() - request.attemptStartedAt);
    const std::string outcome =
            result.verdict == Verdict::Done
                    ? joinText("status ", result.response.status)
                    : joinText(refusalName(result.refusal), ", ", verdictName(result.verdict));
    request.attemptOutcomes += joinText(request.attemptOutcomes.empty() ? "" : "; ", request.owner,
                                        ": ", outcome, " after ", elapsed.count(), " ms");
}

void Forwarder::attemptEnded(const RequestPointer &request, const WorkResult &result)
{
    if (result.verdict != Verdict::Done || result.response.status >= FirstServerError)
        recordAttempt(*request, result);
    reportReach(*request, result);
    request->owner.clear();
    request->callId = 0;
    request->lastRefusal = result.refusal;
    if (result.reachedBackend)
        ++request->backendsReached;
    if (result.verdict == Verdict::MayHaveRun)
        request->mayHaveRun = true;
    if (result.retryAfter.count() > 0
        && (request->retryHint.count() == 0 || result.retryAfter < request->retryHint))
        request->retryHint = result.retryAfter;
    if (result.verdict == Verdict::Done && result.response.status < FirstServerError) {
        cancelLateAttempt(*request);
        recordResponse(*request,
                       std::chrono::duration_cast<std::chrono::microseconds>(
                               m_timers.now() - request->attemptStartedAt),
                       result.response.body.size());
        answer(request, result.response, "answered");
        return;
    }
    if (result.verdict == Verdict::Done) {
        request->mayHaveRun = true;
        request->errorResponse = std::make_unique<HttpResponse>(result.response);
    }
    if (!mayRetry(*request, result)) {
        attemptsUsedUp(request);
        return;
    }
    logEvent(Event::RequestRetried, {{"request", request->requestId},
                                     {"after", refusalName(result.refusal)},
                                     {"verdict", verdictName(result.verdict)},
                                     {"try", request->ownerAttempts}});
    request->version = versionForRetry(*request, result);
    tryNextOwner(request);
}

void Forwarder::reportReach(const Request &request, const WorkResult &result)
{
    if (result.verdict == Verdict::Done)
        m_versions.requestAnswered(request.service);
    else if (result.verdict == Verdict::NotRun && !result.reachedBackend)
        m_versions.requestNotReached(request.service, request.ownerVersion);
}

VersionChoice Forwarder::versionForRetry(const Request &request, const WorkResult &result)
{
    // The retry excludes a new version that has just failed, if another version is allowed.
    if (request.version.allowFallback && result.reachedBackend)
        return {.requiredVersion = "", .excludedVersion = request.version.requiredVersion};
    return request.version;
}

bool Forwarder::isRetryable(const Request &request, const WorkResult &result,
                            std::uint32_t backendsReached) const
{
    const SteadyTime now = m_timers.now();
    if (remainingTime(now, request.deadline) < m_options.minTimeForRetry)
        return false;
    // A request that has crashed backend servers is not sent to another one.
    if (result.refusal == WorkRefusal::Suspected)
        return false;
    const bool mayHaveRun = result.verdict != Verdict::NotRun;
    if (mayHaveRun && !request.idempotent)
        return false;
    // The retry may reach another backend server, so it counts towards the operator's limits.
    return !result.reachedBackend || backendsReached < request.maxAttempts;
}

bool Forwarder::mayRetry(const Request &request, const WorkResult &result)
{
    if (!isRetryable(request, result, request.backendsReached))
        return false;
    if (!result.reachedBackend)
        return true;
    if (!m_budgets.tryConsume(request.service)) {
        m_metrics.retryDenied();
        return false;
    }
    m_metrics.requestRetried();
    return true;
}

void Forwarder::answerFailure(const RequestPointer &request)
{
    if (request->errorResponse != nullptr) {
        answer(request, *request->errorResponse, "backend-error");
        return;
    }
    if (request->mayHaveRun) {
        const bool late = request->lastRefusal == WorkRefusal::TimedOut;
        answer(request,
               refusal(late ? StatusGatewayTimeout : StatusBadGateway, request->requestId,
                       std::chrono::milliseconds(0), refusalName(request->lastRefusal)),
               refusalName(request->lastRefusal));
        return;
    }
    const bool anyOwnerAsked = request->ownerAttempts > 0;
    if (request->ownerAttempts < m_options.maxOwnerAttempts)
        request->excludedOwners =
                m_owners.describeExcludedOwners(ownerQuery(*request, request->version));
    const bool hasReason = anyOwnerAsked || request->lastRefusal != WorkRefusal::None;
    const std::string_view reason = hasReason ? refusalName(request->lastRefusal) : "no-owner";
    const std::chrono::milliseconds retryAfter =
            request->retryHint.count() > 0 ? request->retryHint : m_options.retryAfterWithoutOwner;
    answer(request, refusal(StatusUnavailable, request->requestId, retryAfter, reason), reason);
}

void Forwarder::endForLackOfTime(const RequestPointer &request)
{
    if (!request->owner.empty()) {
        recordAttempt(*request,
                      WorkResult{.verdict = Verdict::MayHaveRun, .refusal = WorkRefusal::TimedOut});
    }
    cancelCall(*request);
    cancelLateAttempt(*request);
    request->lastRefusal = WorkRefusal::TimedOut;
    answerFailure(request);
}

void Forwarder::callerGone(const RequestPointer &request)
{
    cancelCall(*request);
    cancelLateAttempt(*request);
    m_metrics.callerGone();
    logEvent(Event::CallerGone,
             {{"request", request->requestId},
              {"route", request->route},
              {"after_ms", remainingTime(request->arrivedAt, m_timers.now()).count()}});
    m_requests.erase(request->id);
}

void Forwarder::cancelCall(Request &request)
{
    if (request.owner.empty())
        return;
    bool hasNotRun = false;
    if (request.owner == m_options.node)
        hasNotRun = m_local.cancel(request.callId);
    else
        m_remote.cancel(request.callId);
    if (hasNotRun)
        reportReach(request, WorkResult{.verdict = Verdict::NotRun});
    request.mayHaveRun = request.mayHaveRun || !hasNotRun;
    request.owner.clear();
}

void Forwarder::cancelLateAttempt(Request &request)
{
    if (request.lateAttempt == 0)
        return;
    m_remote.cancel(request.lateCallId);
    request.lateAttempt = 0;
}

void Forwarder::endOpenRequests()
{
    const std::unordered_map<std::uint64_t, RequestPointer> open = m_requests;
    for (const auto &[id, request] : open)
        endForLackOfTime(request);
}

HttpResponse Forwarder::refusal(int status, const std::string &requestId,
                                std::chrono::milliseconds retryAfter, std::string_view reason) const
{
    HttpResponse response{.status = status};
    if (!requestId.empty())
        response.headers.push_back({m_options.headers.requestId, requestId});
    if (retryAfter.count() > 0) {
        response.headers.push_back({m_options.headers.retryAfter,
                                    formatSeconds(std::min(retryAfter, m_options.maxRetryAfter))});
    }
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = joinText(reason, "\n");
    return response;
}

void Forwarder::refuse(const std::shared_ptr<HttpResponder> &responder,
                       const std::string &requestId, int status,
                       std::chrono::milliseconds retryAfter, std::string_view reason)
{
    m_metrics.requestAnswered("", status, reason, std::chrono::microseconds(0));
    logEvent(Event::RouteRefused, {{"request", requestId}, {"status", status}, {"reason", reason}});
    responder->respond(refusal(status, requestId, retryAfter, reason));
}

void Forwarder::logFailure(const Request &request, int status, std::string_view reason,
                           std::chrono::microseconds latency) const
{
    const SteadyTime now = m_timers.now();
    logEvent(Event::RequestFailed,
             {{"request", request.requestId},
              {"route", request.route},
              {"service", request.service},
              {"status", status},
              {"reason", reason},
              {"idempotent", request.idempotent ? 1 : 0},
              {"returning", request.isCallerRetry ? 1 : 0},
              {"tries", request.ownerAttempts},
              {"reached", request.backendsReached},
              {"left_ms", remainingTime(now, request.deadline).count()},
              {"ms", latency.count() / 1'000},
              {"trail", request.attemptOutcomes.empty() ? "no owner could be asked"
                                                        : request.attemptOutcomes},
              {"left_out", request.excludedOwners}});
}

void Forwarder::answer(const RequestPointer &request, HttpResponse response,
                       std::string_view reason)
{
    const auto latency = std::chrono::duration_cast<std::chrono::microseconds>(
            m_timers.now() - request->arrivedAt);
    request->timeout.stop();
    m_requests.erase(request->id);
    m_metrics.requestAnswered(request->route, response.status, reason, latency);
    if (response.status >= FirstServerError)
        logFailure(*request, response.status, reason, latency);
    else
        logEvent(Event::RequestServed, {{"request", request->requestId},
                                        {"route", request->route},
                                        {"status", response.status},
                                        {"tries", request->ownerAttempts},
                                        {"owner", request->triedNodes.back()},
                                        {"ms", latency.count() / 1'000}});
    const std::chrono::milliseconds callerWait =
            remainingTime(m_timers.now(), request->callerDeadline);
    if (callerWait.count() > 0)
        response.callerWait = callerWait;
    request->responder->respond(response);
}

} // namespace jacinthshift
