#include "modules/forwarding/forwarder.h"

#include <algorithm>

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int FirstServerError = 500;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;

std::chrono::milliseconds untilTime(SteadyTime now, SteadyTime then)
{
    return std::max(std::chrono::milliseconds(0),
                    std::chrono::duration_cast<std::chrono::milliseconds>(then - now));
}

/** Returns whole and thousandth seconds, as HTTP peers here accept fractions. */
std::string secondsText(std::chrono::milliseconds time)
{
    const std::string thousandths = std::to_string(time.count() % 1'000);
    return joinText(time.count() / 1'000, ".", std::string(3 - thousandths.size(), '0'),
                    thousandths);
}

} // namespace

Forwarder::Forwarder(const ForwarderOptions &options, TimerService &timers, FleetNetwork &network,
                     RemoteCaller &remote, WorkHandler &local, VersionPolicy &versions,
                     TrafficMetrics &metrics)
    : m_options(options)
    , m_timers(timers)
    , m_remote(remote)
    , m_local(local)
    , m_versions(versions)
    , m_metrics(metrics)
    , m_owners(network, remote, local, timers)
    , m_selector(options.selector, options.seed)
    , m_budgets(options.retries)
{
}

void Forwarder::handle(HttpRequest request, std::shared_ptr<HttpResponder> responder)
{
    const RequestPointer taken = std::make_shared<Request>();
    taken->id = ++m_lastId;
    taken->request = std::move(request);
    taken->responder = std::move(responder);
    taken->requestId = std::string(findHeader(taken->request.headers, m_options.headers.requestId));
    taken->arrivedAt = m_timers.now();
    if (!admit(taken))
        return;
    m_requests.emplace(taken->id, taken);
    m_budgets.requestMade(taken->service);
    const std::weak_ptr<Request> weak = taken;
    taken->responder->onCallerGone([this, weak] {
        if (const RequestPointer left = weak.lock())
            callerGone(left);
    });
    taken->timeout = Timer(
            m_timers, m_timers.startOnce(untilTime(m_timers.now(), taken->deadline), [this, weak] {
                if (const RequestPointer late = weak.lock())
                    timedOut(late);
            }));
    tryNext(taken);
}

bool Forwarder::admit(const RequestPointer &request)
{
    if (m_closed) {
        refuse(request->responder, request->requestId, StatusUnavailable,
               m_options.retryAtOtherNode, "stopping");
        return false;
    }
    if (m_routes == nullptr) {
        refuse(request->responder, request->requestId, StatusUnavailable,
               m_options.retryWithoutConfig, "no-configuration");
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
    request->route = settings.name;
    request->service = route->nextService();
    request->version = m_versions.nextRequest(request->service);
    request->priority = settings.priority;
    request->idempotent = settings.idempotent;
    request->maxAttempts = std::max(1U, settings.maxAttempts);
    setTimes(*request, settings);
    return true;
}

void Forwarder::setTimes(Request &request, const TrafficRoute &route)
{
    std::chrono::milliseconds timeout =
            route.timeout.count() > 0 ? route.timeout : m_options.defaultTimeout;
    const std::chrono::milliseconds target =
            route.targetLatency.count() > 0 ? route.targetLatency : timeout;
    std::chrono::milliseconds spent(0);
    std::int64_t deadline = 0;
    if (parseNumber(findHeader(request.request.headers, m_options.headers.deadline), deadline)) {
        const std::chrono::milliseconds wanted(std::max<std::int64_t>(deadline, 0));
        std::chrono::milliseconds &longest = m_longestDeadline[route.name];
        longest = std::max(longest, wanted);
        // A caller that comes back has less time left than it had at first.
        if (longest - wanted > m_options.returningMargin) {
            request.returning = true;
            spent = longest - wanted;
        }
        timeout = std::min(timeout, wanted);
    }
    request.deadline = request.arrivedAt + timeout;
    request.targetAt =
            request.arrivedAt + std::clamp(target - spent, std::chrono::milliseconds(0), timeout);
}

OwnerQuery Forwarder::ownerQuery(const Request &request) const
{
    const bool askedNear = request.handOvers > request.farHandOvers;
    return {.service = request.service,
            .version = request.version,
            .tried = request.tried,
            .nearOnly = askedNear && request.farHandOvers >= m_options.farHandOversAfterNear};
}

std::optional<OwnerCandidate> Forwarder::chooseOwner(Request &request)
{
    const std::vector<OwnerCandidate> possible = m_owners.candidates(ownerQuery(request));
    const std::optional<std::size_t> best = m_selector.choose(
            possible, SelectionContext{.targetLeft = untilTime(m_timers.now(), request.targetAt),
                                       .routeFactor = routeFactor(request)});
    if (!best)
        return std::nullopt;
    return possible[*best];
}

void Forwarder::noteTime(const Request &request, std::chrono::microseconds time)
{
    constexpr double Weight = 0.05;
    const double sample = static_cast<double>(time.count()) / 1'000.0;
    const auto blend = [sample](std::unordered_map<std::string, double> &means,
                                const std::string &key) {
        const auto [mean, isNew] = means.try_emplace(key, sample);
        if (!isNew)
            mean->second += Weight * (sample - mean->second);
    };
    blend(m_routeTimes, request.route);
    blend(m_serviceTimes, request.service);
}

double Forwarder::routeFactor(const Request &request) const
{
    const auto route = m_routeTimes.find(request.route);
    const auto service = m_serviceTimes.find(request.service);
    if (route == m_routeTimes.end() || service == m_serviceTimes.end() || service->second <= 0.0)
        return 1.0;
    return route->second / service->second;
}

WorkRequest Forwarder::workFor(const Request &request) const
{
    const SteadyTime now = m_timers.now();
    return WorkRequest{.request = request.request,
                       .route = request.route,
                       .service = request.service,
                       .version = "",
                       .callerService = m_options.callerService,
                       .priority = request.priority,
                       .idempotent = request.idempotent,
                       .returning = request.returning,
                       .repeat = request.mayHaveRun,
                       .timeLeft = untilTime(now, request.deadline),
                       .targetLeft = untilTime(now, request.targetAt)};
}

void Forwarder::tryNext(const RequestPointer &request)
{
    const std::optional<OwnerCandidate> owner =
            request->handOvers < m_options.maxHandOvers ? chooseOwner(*request) : std::nullopt;
    if (!owner) {
        giveUp(request);
        return;
    }
    ++request->handOvers;
    request->farHandOvers += owner->sameDomain ? 0 : 1;
    request->tried.push_back(owner->node);
    request->owner = owner->node;
    request->handedOverAt = m_timers.now();
    WorkRequest work = workFor(*request);
    if (!request->version.only.empty() || !request->version.excluded.empty())
        work.version = owner->backend.version;
    logEvent(Event::OwnerChosen, {{"request", request->requestId},
                                  {"route", request->route},
                                  {"owner", owner->node},
                                  {"backend", owner->backend.id},
                                  {"try", request->handOvers},
                                  {"running", owner->backend.running},
                                  {"queued", owner->backend.queued},
                                  {"limit", owner->backend.limit},
                                  {"left_ms", work.timeLeft.count()}});
    const std::weak_ptr<Request> weak = request;
    const auto callback = [this, weak](const WorkResult &result) {
        if (const RequestPointer open = weak.lock())
            handled(open, result);
    };
    if (owner->node == m_options.node) {
        // The local owner may answer before run() returns; then the call's number is of no use.
        const std::uint32_t handOver = request->handOvers;
        const std::uint64_t call = m_local.run(work, callback);
        if (request->handOvers == handOver && request->owner == m_options.node)
            request->call = call;
    } else {
        request->call = m_remote.call(owner->node, work, callback);
    }
}

void Forwarder::noteTry(Request &request, const WorkResult &result) const
{
    const auto lasted = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_timers.now() - request.handedOverAt);
    const std::string outcome =
            result.verdict == Verdict::Done
                    ? joinText("status ", result.response.status)
                    : joinText(refusalName(result.refusal), ", ", verdictName(result.verdict));
    request.trail += joinText(request.trail.empty() ? "" : "; ", request.owner, ": ", outcome,
                              " after ", lasted.count(), " ms");
}

void Forwarder::handled(const RequestPointer &request, const WorkResult &result)
{
    if (result.verdict != Verdict::Done || result.response.status >= FirstServerError)
        noteTry(*request, result);
    request->owner.clear();
    request->call = 0;
    request->lastRefusal = result.refusal;
    if (result.reachedBackend)
        ++request->reached;
    if (result.verdict == Verdict::MayHaveRun)
        request->mayHaveRun = true;
    if (result.retryAfter.count() > 0
        && (request->retryHint.count() == 0 || result.retryAfter < request->retryHint))
        request->retryHint = result.retryAfter;
    if (result.verdict == Verdict::Done && result.response.status < FirstServerError) {
        noteTime(*request, std::chrono::duration_cast<std::chrono::microseconds>(
                                   m_timers.now() - request->handedOverAt));
        answer(request, result.response, "answered");
        return;
    }
    if (result.verdict == Verdict::Done) {
        request->mayHaveRun = true;
        request->failedAnswer = std::make_unique<HttpResponse>(result.response);
    }
    if (!mayRetry(*request, result)) {
        giveUp(request);
        return;
    }
    logEvent(Event::RequestRetried, {{"request", request->requestId},
                                     {"after", refusalName(result.refusal)},
                                     {"verdict", verdictName(result.verdict)},
                                     {"try", request->handOvers}});
    // A new version that has just failed is not asked again while another one can answer.
    if (request->version.mayFallBack && result.reachedBackend)
        request->version = VersionChoice{.only = "", .excluded = request->version.only};
    tryNext(request);
}

bool Forwarder::mayRetry(Request &request, const WorkResult &result)
{
    const SteadyTime now = m_timers.now();
    if (untilTime(now, request.deadline) < m_options.leastTimeForRetry)
        return false;
    if (result.refusal == WorkRefusal::Suspected)
        return false;
    const bool ranOrMay = result.verdict != Verdict::NotRun;
    if (ranOrMay && !request.idempotent)
        return false;
    if (!result.reachedBackend)
        return true;
    // Another backend server would see it: that counts against the operator's limits.
    if (request.reached >= request.maxAttempts)
        return false;
    if (!m_budgets.take(request.service)) {
        m_metrics.retryDenied();
        return false;
    }
    m_metrics.requestRetried();
    return true;
}

void Forwarder::giveUp(const RequestPointer &request)
{
    if (request->failedAnswer != nullptr) {
        answer(request, *request->failedAnswer, "backend-error");
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
    const bool known = request->handOvers > 0;
    if (request->handOvers < m_options.maxHandOvers)
        request->leftOut = m_owners.leftOut(ownerQuery(*request));
    const std::string_view reason = known ? refusalName(request->lastRefusal) : "no-owner";
    const std::chrono::milliseconds hint =
            request->retryHint.count() > 0 ? request->retryHint : m_options.retryWithoutOwner;
    answer(request, refusal(StatusUnavailable, request->requestId, hint, reason), reason);
}

void Forwarder::timedOut(const RequestPointer &request)
{
    if (!request->owner.empty()) {
        noteTry(*request,
                WorkResult{.verdict = Verdict::MayHaveRun, .refusal = WorkRefusal::TimedOut});
    }
    stopCall(*request);
    request->mayHaveRun = request->mayHaveRun || request->handOvers > 0;
    request->lastRefusal = WorkRefusal::TimedOut;
    giveUp(request);
}

void Forwarder::callerGone(const RequestPointer &request)
{
    stopCall(*request);
    m_metrics.callerGone();
    logEvent(Event::CallerGone,
             {{"request", request->requestId},
              {"route", request->route},
              {"after_ms", untilTime(request->arrivedAt, m_timers.now()).count()}});
    m_requests.erase(request->id);
}

void Forwarder::stopCall(Request &request)
{
    if (request.owner.empty())
        return;
    if (request.owner == m_options.node)
        m_local.cancel(request.call);
    else
        m_remote.cancel(request.call);
    request.owner.clear();
}

HttpResponse Forwarder::refusal(int status, const std::string &requestId,
                                std::chrono::milliseconds retryAfter, std::string_view reason) const
{
    HttpResponse response{.status = status};
    if (!requestId.empty())
        response.headers.push_back({m_options.headers.requestId, requestId});
    if (retryAfter.count() > 0) {
        response.headers.push_back(
                {m_options.headers.retryAfter,
                 secondsText(std::min(retryAfter, m_options.longestRetryAfter))});
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
              {"returning", request.returning ? 1 : 0},
              {"tries", request.handOvers},
              {"reached", request.reached},
              {"left_ms", untilTime(now, request.deadline).count()},
              {"ms", latency.count() / 1'000},
              {"trail", request.trail.empty() ? "no owner could be asked" : request.trail},
              {"left_out", request.leftOut}});
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
                                        {"tries", request->handOvers},
                                        {"owner", request->tried.back()},
                                        {"ms", latency.count() / 1'000}});
    request->responder->respond(response);
}

} // namespace jacinthshift
