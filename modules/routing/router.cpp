#include "modules/routing/router.h"

#include <algorithm>

#include "core/duration.h"
#include "core/hash.h"
#include "core/logger.h"
#include "core/text.h"
#include "modules/distribution/config_store.h"
#include "modules/release/release_controller.h"

namespace jacinthshift {

namespace {

constexpr int StatusNotFound = 404;
constexpr int StatusBadGateway = 502;
constexpr int StatusUnavailable = 503;
constexpr int StatusGatewayTimeout = 504;
constexpr int StatusLoopDetected = 508;
constexpr int FirstServerError = 500;

constexpr const char *VerdictHeader = "Jacinthshift-Verdict";
constexpr const char *ProblemHeader = "Jacinthshift-Problem";
constexpr const char *TraceHeader = "Jacinthshift-Trace";
constexpr const char *DepthHeader = "Jacinthshift-Depth";
constexpr const char *DeadlineHeader = "Jacinthshift-Deadline-Ms";
constexpr const char *KeyHeader = "Idempotency-Key";

void setHeader(HttpRequest &request, const std::string &name, const std::string &value)
{
    std::erase_if(request.headers, [&name](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, name);
    });
    request.headers.push_back(HttpHeader{.name = name, .value = value});
}

int statusFor(const AnswerMessage &answer)
{
    const bool late = answer.problem == CallProblem::TimedOut
                      || answer.problem == CallProblem::DeadlinePassed;
    if (late)
        return StatusGatewayTimeout;
    return answer.verdict == Verdict::NotRun ? StatusUnavailable : StatusBadGateway;
}

HttpResponse verdictResponse(int status, Verdict verdict, const std::string &problem)
{
    const std::string name(verdictName(verdict));
    return HttpResponse{.status = status,
                        .headers = {{.name = "Content-Type", .value = "text/plain"},
                                    {.name = VerdictHeader, .value = name},
                                    {.name = ProblemHeader, .value = problem}},
                        .body = joinText(name, ": ", problem, "\n")};
}

} // namespace

/** State of one request from its arrival to its answer. */
struct Router::RoutedRequest
{
    std::uint64_t id = 0;
    HttpRequest request;
    Callback callback;
    std::string service;
    std::string trace; ///< Trace id, from the request or generated.
    std::string idempotencyKey;
    std::uint64_t fingerprint = 0;
    ServiceSpecPointer stable;
    ServiceSpecPointer spec; ///< The chosen version; kept alive until the request ends.
    RouteSpec routeSpec;
    std::string release; ///< Id of the service's current release; empty if there is none.
    ReleaseArm arm = ReleaseArm::Stable;
    bool idempotent = false;
    SteadyTime arrivedAt;
    SteadyTime deadline;
    SteadyTime attemptStartedAt;
    std::uint32_t attempts = 0;
    std::set<std::string> triedNodes;
    std::string home;                   ///< Node that decides on the idempotency key.
    std::vector<KeyHolder> formerHomes; ///< Former homes still to be queried.
    std::string owner;
    OwnerCallId callId = OwnerCallId::None;
    /** Whether only the home of its idempotency key may run it. */
    bool isKeyed() const { return !idempotencyKey.empty() && !idempotent; }

    Verdict worstVerdict = Verdict::NotRun; ///< MayHaveRun once any attempt may have run.
};

Router::Router(const RouterOptions &options, const ConfigStore &store, InstanceDirectory &directory,
               Balancer &balancer, OwnerClient &ownerClient, ReleaseController &releases,
               PoisonRegistry &poison, TimerService &timers)
    : m_options(options)
    , m_store(store)
    , m_directory(directory)
    , m_balancer(balancer)
    , m_ownerClient(ownerClient)
    , m_releases(releases)
    , m_poison(poison)
    , m_timers(timers)
    , m_incarnation(static_cast<std::uint64_t>(unixMilliseconds(timers.wallNow())))
{
}

Router::~Router() = default;

RetryBudget &Router::budget(std::map<std::string, RetryBudget> &budgets, const std::string &service,
                            const RetryBudgetOptions &options)
{
    return budgets.try_emplace(service, options).first->second;
}

void Router::configurationChanged(const ConfigState &state)
{
    m_excludedDomains.clear();
    for (const auto &[domain, entry] : state.domains()) {
        if (entry.out)
            m_excludedDomains.insert(domain);
    }
}

RoutedRequestId Router::route(HttpRequest request, Callback callback)
{
    const RoutedRequestPointer routed = std::make_shared<RoutedRequest>();
    routed->id = ++m_lastId;
    routed->arrivedAt = m_timers.now();
    routed->request = std::move(request);
    routed->callback = std::move(callback);
    m_requests.emplace(routed->id, routed);
    if (prepare(routed)) {
        budget(m_retryBudgets, routed->service, m_options.retryBudget).requestMade();
        budget(m_refusalBudgets, routed->service, m_options.refusalBudget).requestMade();
        if (routed->isKeyed())
            resolveKeyHome(routed);
        else
            tryNextOwner(routed);
    }
    return static_cast<RoutedRequestId>(routed->id);
}

bool Router::prepare(const RoutedRequestPointer &routed)
{
    HttpRequest &request = routed->request;
    const std::size_t slash = request.target.find('/', 1);
    routed->service = request.target.substr(1, slash == std::string::npos ? slash : slash - 1);
    const std::string path = slash == std::string::npos ? "/" : request.target.substr(slash);
    routed->trace = std::string(findHeader(request.headers, TraceHeader));
    if (routed->trace.empty())
        routed->trace = joinText(m_options.node, "-", m_incarnation, "-", routed->id);
    if (m_stopping || !m_store.mayServe()) {
        refuse(routed, StatusUnavailable, m_stopping ? "stopping" : "no-configuration-yet");
        return false;
    }
    std::uint32_t depth = 0;
    parseNumber(findHeader(request.headers, DepthHeader), depth);
    if (depth >= m_options.maxDepth) {
        refuse(routed, StatusLoopDetected, "too-deep");
        return false;
    }
    const ServiceEntry *entry = m_store.state().findService(routed->service);
    if (entry == nullptr) {
        refuse(routed, StatusNotFound, "unknown-service");
        return false;
    }
    chooseArm(routed, *entry);
    const RouteSpec *found = routed->spec->findRoute(request.method, path);
    if (found == nullptr) {
        refuse(routed, StatusNotFound, "no-route");
        return false;
    }
    routed->routeSpec = *found;
    routed->idempotent = found->idempotent;
    routed->idempotencyKey = std::string(findHeader(request.headers, KeyHeader));
    request.target = path;
    routed->fingerprint = requestFingerprint(routed->service, request);
    std::chrono::milliseconds timeout = found->timeout;
    std::int64_t requestedMs = 0;
    if (parseNumber(findHeader(request.headers, DeadlineHeader), requestedMs))
        timeout = std::min(timeout,
                           std::chrono::milliseconds(std::max<std::int64_t>(requestedMs, 0)));
    routed->deadline = m_timers.now() + timeout;
    setHeader(request, DepthHeader, std::to_string(depth + 1));
    std::erase_if(request.headers, [](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, DeadlineHeader)
               || equalsIgnoreCase(header.name, TraceHeader);
    });
    if (m_poison.isRefused(routed->fingerprint, m_timers.now())) {
        logEvent(Event::PoisonRefused, {{"service", routed->service},
                                        {"trace", routed->trace},
                                        {"fingerprint", formatHash(routed->fingerprint)}});
        refuse(routed, StatusUnavailable, callProblemName(CallProblem::Poisoned));
        return false;
    }
    return true;
}

void Router::chooseArm(const RoutedRequestPointer &routed, const ServiceEntry &entry)
{
    routed->stable = entry.stable;
    routed->spec = entry.stable;
    const Release *release =
            entry.release.empty() ? nullptr : m_store.state().findRelease(entry.release);
    if (release == nullptr || entry.candidate == nullptr)
        return;
    routed->release = release->id;
    const std::uint64_t point = stableHash(routed->trace, stableHash(release->id)) % FullShare;
    const bool useCandidate =
            entry.stable == nullptr || point < m_releases.candidateShare(*release);
    if (!useCandidate)
        return;
    routed->arm = ReleaseArm::Candidate;
    routed->spec = entry.candidate;
}

std::string Router::chooseOwner(const RoutedRequestPointer &routed, std::string &reason)
{
    if (routed->isKeyed()) {
        reason = "idempotency-key";
        return routed->triedNodes.contains(routed->home) ? std::string() : routed->home;
    }
    const OwnerChoice choice = m_balancer.choose(
            OwnerChoiceRequest{.version = routed->spec->version,
                               .instances = m_directory.instances(routed->service),
                               .triedNodes = routed->triedNodes,
                               .excludedDomains = m_excludedDomains});
    reason = choice.reason;
    return choice.node;
}

void Router::resolveKeyHome(const RoutedRequestPointer &routed)
{
    KeyHomes homes = m_directory.homesOf(routed->service, routed->idempotencyKey);
    const bool lost = homes.home.lost
                      || std::any_of(homes.former.begin(), homes.former.end(),
                                     [](const KeyHolder &holder) { return holder.lost; });
    if (lost) {
        // The lost node may have run the request, and no other node stores its keys.
        logEvent(Event::RouteRefused, {{"service", routed->service},
                                       {"trace", routed->trace},
                                       {"reason", "the home of the idempotency key is lost"}});
        finish(routed,
               AnswerMessage{.verdict = Verdict::MayHaveRun, .problem = CallProblem::KeyInUse});
        return;
    }
    routed->home = homes.home.node;
    routed->formerHomes = std::move(homes.former);
    queryFormerHomes(routed);
}

void Router::queryFormerHomes(const RoutedRequestPointer &routed)
{
    if (routed->formerHomes.empty()) {
        tryNextOwner(routed);
        return;
    }
    const std::string former = routed->formerHomes.back().node;
    routed->formerHomes.pop_back();
    const std::chrono::milliseconds timeLeft =
            std::chrono::duration_cast<std::chrono::milliseconds>(routed->deadline
                                                                  - m_timers.now());
    CallMessage call{.service = routed->service,
                     .timeout = timeLeft,
                     .trace = routed->trace,
                     .idempotencyKey = routed->idempotencyKey,
                     .handKeyOver = true};
    routed->callId = m_ownerClient.call(
            former, std::move(call), [this, routed](const AnswerMessage &answer) {
                routed->callId = OwnerCallId::None;
                if (!m_requests.contains(routed->id))
                    return;
                // The former home does not know the key, or has handed it over before.
                if (answer.verdict == Verdict::NotRun && answer.problem == CallProblem::None) {
                    queryFormerHomes(routed);
                    return;
                }
                AnswerMessage reported = answer;
                // A former home that could not be asked may have run the request.
                if (answer.verdict == Verdict::NotRun)
                    reported.verdict = Verdict::MayHaveRun;
                finish(routed, reported);
            });
}

void Router::tryNextOwner(const RoutedRequestPointer &routed)
{
    std::string reason;
    std::string owner = chooseOwner(routed, reason);
    if (owner.empty() && routed->arm == ReleaseArm::Candidate && routed->stable != nullptr) {
        fallBackToStable(routed);
        owner = chooseOwner(routed, reason);
    }
    const SteadyTime now = m_timers.now();
    const std::chrono::milliseconds timeLeft =
            std::chrono::duration_cast<std::chrono::milliseconds>(routed->deadline - now);
    if (owner.empty() || timeLeft <= std::chrono::milliseconds(0)) {
        AnswerMessage failure{.verdict = routed->worstVerdict,
                              .problem = owner.empty() ? CallProblem::NotOwner
                                                       : CallProblem::DeadlinePassed};
        logEvent(Event::RouteRefused, {{"service", routed->service},
                                       {"trace", routed->trace},
                                       {"reason", callProblemName(failure.problem)},
                                       {"attempts", routed->attempts}});
        finish(routed, failure);
        return;
    }
    ++routed->attempts;
    routed->owner = owner;
    routed->attemptStartedAt = now;
    logEvent(Event::RouteChosen,
             {{"service", routed->service},
              {"version", routed->spec->version},
              {"arm", routed->arm == ReleaseArm::Stable ? "stable" : "candidate"},
              {"owner", owner},
              {"reason", reason},
              {"attempt", routed->attempts},
              {"config", m_store.version()},
              {"trace", routed->trace}});
    m_balancer.requestSent(owner);
    CallMessage call{.service = routed->service,
                     .version = m_directory.versionAt(routed->service, owner),
                     .request = routed->request,
                     .timeout = timeLeft,
                     .trace = routed->trace,
                     .idempotencyKey = routed->idempotent ? std::string() : routed->idempotencyKey,
                     .idempotent = routed->idempotent};
    routed->callId = m_ownerClient.call(owner, std::move(call),
                                        [this, routed, owner](const AnswerMessage &answer) {
                                            routed->callId = OwnerCallId::None;
                                            attemptEnded(routed, owner, answer);
                                        });
}

void Router::fallBackToStable(const RoutedRequestPointer &routed)
{
    m_releases.record(
            RequestSample{.release = routed->release,
                          .route = {.service = routed->service, .route = routed->routeSpec.prefix},
                          .arm = ReleaseArm::Candidate,
                          .result = RequestResult::Refused});
    routed->arm = ReleaseArm::Stable;
    routed->spec = routed->stable;
    routed->triedNodes.clear();
}

void Router::recordEvidence(const RoutedRequestPointer &routed, const AnswerMessage &answer)
{
    // Failures caused by a dead VM or a silent link do not count against the version.
    const bool isVersionResult =
            answer.verdict != Verdict::NotRun && answer.problem != CallProblem::LinkLost;
    if (routed->release.empty() || !isVersionResult)
        return;
    const bool failed =
            answer.verdict == Verdict::MayHaveRun || answer.response.status >= FirstServerError;
    m_releases.record(
            RequestSample{.release = routed->release,
                          .route = {.service = routed->service, .route = routed->routeSpec.prefix},
                          .arm = routed->arm,
                          .result = failed ? RequestResult::Failed : RequestResult::Succeeded,
                          .latency = std::chrono::duration_cast<std::chrono::microseconds>(
                                  m_timers.now() - routed->attemptStartedAt)});
}

bool Router::mayRetry(const RoutedRequestPointer &routed, const AnswerMessage &answer)
{
    if (routed->attempts >= m_options.maxAttempts || m_timers.now() >= routed->deadline)
        return false;
    if (answer.verdict == Verdict::NotRun) {
        const bool mayRunElsewhere = answer.problem != CallProblem::Poisoned
                                     && answer.problem != CallProblem::DeadlinePassed;
        return mayRunElsewhere
               && budget(m_refusalBudgets, routed->service, m_options.refusalBudget).tryConsume();
    }
    // A request that may have crashed a backend server is not retried on another one.
    return routed->idempotent && answer.problem != CallProblem::BackendCrashed
           && budget(m_retryBudgets, routed->service, m_options.retryBudget).tryConsume();
}

void Router::attemptEnded(const RoutedRequestPointer &routed, const std::string &owner,
                          const AnswerMessage &answer)
{
    m_balancer.requestEnded(owner, answer.limit, answer.inFlight);
    if (!m_requests.contains(routed->id))
        return;
    recordEvidence(routed, answer);
    if (answer.verdict == Verdict::Done) {
        finish(routed, answer);
        return;
    }
    // An earlier request with the same idempotency key may have run at the unavailable home.
    const bool homeUnavailable =
            routed->isKeyed()
            && (answer.problem == CallProblem::LinkLost || answer.problem == CallProblem::NotOwner);
    if (answer.verdict == Verdict::MayHaveRun || homeUnavailable)
        routed->worstVerdict = Verdict::MayHaveRun;
    routed->triedNodes.insert(owner);
    if (answer.problem == CallProblem::LinkLost || answer.problem == CallProblem::NotOwner
        || answer.problem == CallProblem::TimedOut || answer.problem == CallProblem::BackendCrashed)
        m_balancer.avoid(owner);
    if (mayRetry(routed, answer)) {
        m_metrics.requestRetried();
        logEvent(Event::RequestRetried, {{"service", routed->service},
                                         {"owner", owner},
                                         {"verdict", verdictName(answer.verdict)},
                                         {"reason", callProblemName(answer.problem)},
                                         {"trace", routed->trace}});
        tryNextOwner(routed);
        return;
    }
    finish(routed, answer);
}

void Router::finish(const RoutedRequestPointer &routed, const AnswerMessage &answer)
{
    HttpResponse response;
    if (answer.verdict == Verdict::Done) {
        response = answer.response;
        response.headers.push_back(HttpHeader{.name = VerdictHeader,
                                              .value = std::string(verdictName(Verdict::Done))});
    } else {
        const Verdict verdict =
                routed->worstVerdict == Verdict::MayHaveRun ? Verdict::MayHaveRun : answer.verdict;
        AnswerMessage reported = answer;
        reported.verdict = verdict;
        response = verdictResponse(statusFor(reported), verdict, callProblemName(answer.problem));
        logEvent(Event::RequestRefused, {{"service", routed->service},
                                         {"verdict", verdictName(verdict)},
                                         {"reason", callProblemName(answer.problem)},
                                         {"attempts", routed->attempts},
                                         {"trace", routed->trace}});
    }
    response.headers.push_back(HttpHeader{.name = TraceHeader, .value = routed->trace});
    response.headers.push_back(HttpHeader{.name = "Jacinthshift-Config-Version",
                                          .value = std::to_string(m_store.version())});
    if (!routed->owner.empty())
        response.headers.push_back(
                HttpHeader{.name = "Jacinthshift-Owner", .value = routed->owner});
    logEvent(Event::RequestAnswered, {{"service", routed->service},
                                      {"status", response.status},
                                      {"attempts", routed->attempts},
                                      {"trace", routed->trace}});
    m_metrics.requestEnded(answer.verdict == Verdict::Done ? Verdict::Done : routed->worstVerdict,
                           std::chrono::duration_cast<std::chrono::microseconds>(
                                   m_timers.now() - routed->arrivedAt));
    m_requests.erase(routed->id);
    std::exchange(routed->callback, nullptr)(std::move(response));
}

void Router::refuse(const RoutedRequestPointer &routed, int status, const std::string &reason)
{
    logEvent(Event::RouteRefused,
             {{"service", routed->service}, {"trace", routed->trace}, {"reason", reason}});
    HttpResponse response = verdictResponse(status, Verdict::NotRun, reason);
    response.headers.push_back(HttpHeader{.name = TraceHeader, .value = routed->trace});
    m_metrics.requestEnded(Verdict::NotRun, std::chrono::microseconds(0));
    m_requests.erase(routed->id);
    std::exchange(routed->callback, nullptr)(std::move(response));
}

void Router::cancel(RoutedRequestId id)
{
    const auto found = m_requests.find(static_cast<std::uint64_t>(id));
    if (found == m_requests.end())
        return;
    const RoutedRequestPointer routed = found->second;
    m_requests.erase(found);
    if (routed->callId == OwnerCallId::None)
        return;
    m_ownerClient.cancel(routed->callId);
    m_balancer.requestEnded(routed->owner, 0, 0);
}

} // namespace jacinthshift
