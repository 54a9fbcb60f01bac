#include <catch2/catch.hpp>

#include <optional>

#include "core/text.h"
#include "modules/forwarding/forwarder.h"
#include "tests/support/fake_link_hub.h"
#include "tests/support/manual_boot_clock.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const HeaderNames headerNames{.requestId = "Id",
                              .deadline = "Left",
                              .retryAfter = "Retry-After",
                              .workspaceKey = "Key",
                              .workspace = "Workspace"};

/** An owner that returns the answers set by the test. */
class ScriptedOwner final : public WorkHandler
{
public:
    std::vector<WorkResult> answers; ///< One per request; further requests stay unanswered.
    std::vector<WorkRequest> requests;
    std::vector<Callback> openCallbacks;
    int cancelled = 0;
    bool hasNotStarted = false; ///< Whether cancelled requests have certainly not run.
    BackendStatus state{.availability = BackendAvailability::Ready,
                        .id = "i-local",
                        .service = "s",
                        .version = "v1",
                        .concurrencyLimit = 10};

    std::uint64_t run(const WorkRequest &work, Callback callback) override
    {
        requests.push_back(work);
        if (requests.size() <= answers.size())
            callback(answers[requests.size() - 1]);
        else
            openCallbacks.push_back(std::move(callback));
        return requests.size();
    }
    bool cancel(std::uint64_t) override
    {
        ++cancelled;
        return hasNotStarted;
    }
    BackendStatus status() const override { return state; }
};

struct AnyVersion final : public VersionPolicy
{
    VersionChoice choice;

    VersionChoice chooseVersion(const std::string &) override { return choice; }
};

struct CapturedAnswer final : public HttpResponder
{
    std::optional<HttpResponse> response;
    std::function<void()> callerGone;
    int answers = 0;

    void respond(const HttpResponse &answer) override
    {
        ++answers;
        response = answer;
    }
    void onCallerGone(std::function<void()> callback) override { callerGone = std::move(callback); }
};

/** A forwarder with a local owner and one on another node of its failure domain. */
struct ForwarderBench
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    FakeLinkTransport localTransport{hub, {"127.0.0.1", 1}};
    FakeLinkTransport remoteTransport{hub, {"127.0.0.1", 2}};
    FleetNetwork network{
            {.self = {.node = "near", .domain = "d", .linkEndpoint = {"127.0.0.1", 1}}},
            localTransport,
            timers};
    FleetNetwork remoteNetwork{
            {.self = {.node = "other", .domain = "d", .linkEndpoint = {"127.0.0.1", 2}}},
            remoteTransport,
            timers};
    ScriptedOwner local;
    ScriptedOwner remoteOwner;
    CallServer server{CallServerOptions{}, remoteNetwork, timers, remoteOwner};
    RemoteCallClient remote{RemoteCallClientOptions{}, network, timers};
    AnyVersion versions;
    TrafficMetrics metrics;
    Forwarder forwarder{{.node = "near", .headers = headerNames},
                        timers,
                        network,
                        remote,
                        local,
                        versions,
                        metrics};
    RouteTable routes{TrafficConfig{.routes = {route("read", "/read/", true),
                                               route("write", "/write/", false)}},
                      1};

    static TrafficRoute route(const std::string &name, const std::string &prefix, bool idempotent,
                              milliseconds timeout = milliseconds(800))
    {
        return TrafficRoute{.name = name,
                            .host = "h",
                            .prefix = prefix,
                            .idempotent = idempotent,
                            .timeout = timeout,
                            .targetLatency = milliseconds(400),
                            .maxAttempts = 2,
                            .parts = {{.service = "s", .weight = 1}}};
    }
    /** Allows idempotent requests more time than it takes to find that a node is silent. */
    void useLongRoutes()
    {
        routes = RouteTable(
                TrafficConfig{.routes = {route("read", "/read/", true, milliseconds(3'000))}}, 1);
    }
    /** Holds back what the remote node sends and receives, as if its process did not run. */
    void silenceRemoteNode()
    {
        hub.listeners.clear();
        remoteTransport.silenceOpenLinks();
    }

    ForwarderBench()
    {
        REQUIRE(network.start().ok());
        REQUIRE(remoteNetwork.start().ok());
        remoteOwner.state.id = "i-remote";
        remoteNetwork.setStatus({.backend = remoteOwner.state}, StatusAudience::Nobody);
        network.addContacts({remoteNetwork.self()});
        remoteNetwork.addContacts({network.self()});
        timers.advance(milliseconds(500));
        forwarder.setRoutes(&routes);
    }

    std::shared_ptr<CapturedAnswer> send(const std::string &target,
                                         const std::vector<HttpHeader> &moreHeaders = {})
    {
        const std::shared_ptr<CapturedAnswer> answer = std::make_shared<CapturedAnswer>();
        HttpRequest request{.target = target, .headers = {{"Host", "h"}, {"Id", "r1"}}};
        request.headers.insert(request.headers.end(), moreHeaders.begin(), moreHeaders.end());
        forwarder.forward(std::move(request), answer);
        return answer;
    }
    /** Leaves only the local owner. */
    void drainRemoteOwner()
    {
        remoteOwner.state.availability = BackendAvailability::Draining;
        remoteNetwork.setStatus({.backend = remoteOwner.state}, StatusAudience::Everywhere);
        timers.advance(milliseconds(10));
    }
    std::size_t attempts() const { return local.requests.size() + remoteOwner.requests.size(); }
    void scriptBoth(const WorkResult &result)
    {
        local.answers = {result};
        remoteOwner.answers = {result};
    }
};

/** An owner in another failure domain. */
struct FarOwner
{
    FakeLinkTransport transport;
    FleetNetwork network;
    ScriptedOwner owner;
    CallServer server;

    FarOwner(ForwarderBench &bench, const std::string &name, std::uint16_t port)
        : transport(bench.hub, {"127.0.0.1", port})
        , network({.self = {.node = name, .domain = "e", .linkEndpoint = {"127.0.0.1", port}}},
                  transport, bench.timers)
        , server({}, network, bench.timers, owner)
    {
        REQUIRE(network.start().ok());
        network.setStatus({.backend = owner.state}, StatusAudience::Nobody);
        bench.network.addContacts({network.self()});
        bench.timers.advance(milliseconds(500));
    }
};

WorkResult done(int status)
{
    return {.verdict = Verdict::Done, .reachedBackend = true, .response = {.status = status}};
}

const WorkResult mayHaveRun{
        .verdict = Verdict::MayHaveRun, .refusal = WorkRefusal::Lost, .reachedBackend = true};
const WorkResult overloaded{.verdict = Verdict::NotRun,
                            .refusal = WorkRefusal::Overloaded,
                            .retryAfter = milliseconds(120)};

} // namespace

// Guards against a request that runs ahead of others, and perhaps twice, though it must not.
TEST_CASE("whether a request is idempotent depends on its route")
{
    ForwarderBench bench;
    const auto isIdempotent = [&](const std::string &host, const std::string &target) {
        return bench.forwarder.isIdempotent({.target = target, .headers = {{"Host", host}}});
    };
    CHECK(isIdempotent("h", "/read/1"));
    CHECK_FALSE(isIdempotent("h", "/write/1"));
    CHECK_FALSE(isIdempotent("h", "/unknown"));
    CHECK_FALSE(isIdempotent("other", "/read/1"));
    bench.forwarder.setRoutes(nullptr);
    CHECK_FALSE(isIdempotent("h", "/read/1"));
}

TEST_CASE("a request that is not idempotent is not retried after it may have run")
{
    ForwarderBench bench;
    bench.scriptBoth(mayHaveRun);
    const auto answer = bench.send("/write/1");
    bench.timers.advance(milliseconds(20));
    CHECK(bench.attempts() == 1);
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 502);
}

TEST_CASE("an idempotent request is retried at another owner, up to the maximum number of attempts")
{
    ForwarderBench bench;
    bench.scriptBoth(mayHaveRun);
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(20));
    CHECK(bench.local.requests.size() == 1);
    CHECK(bench.remoteOwner.requests.size() == 1);
    CHECK(answer->response->status == 502);
}

TEST_CASE("a request refused by an owner is sent to the next, and the caller receives Retry-After")
{
    ForwarderBench bench;
    bench.scriptBoth(overloaded);
    const auto answer = bench.send("/write/1");
    bench.timers.advance(milliseconds(20));
    CHECK(bench.attempts() == 2);
    CHECK(answer->response->status == 503);
    CHECK(findHeader(answer->response->headers, "Retry-After") == "0.120");
}

TEST_CASE("surge everywhere: only one owner in another failure domain is asked")
{
    ForwarderBench bench;
    FarOwner first(bench, "far-1", 3);
    FarOwner second(bench, "far-2", 4);
    bench.scriptBoth(overloaded);
    first.owner.answers.assign(4, overloaded);
    second.owner.answers.assign(4, overloaded);
    const auto answer = bench.send("/write/1");
    bench.timers.advance(milliseconds(50));
    CHECK(answer->response->status == 503);
    CHECK(bench.attempts() == 2);
    CHECK(first.owner.requests.size() + second.owner.requests.size() == 1);
    // Without an available owner in the own failure domain, all others may be asked.
    bench.local.state.availability = BackendAvailability::Draining;
    bench.remoteOwner.state.availability = BackendAvailability::Draining;
    bench.remoteNetwork.setStatus({.backend = bench.remoteOwner.state}, StatusAudience::Everywhere);
    bench.timers.advance(milliseconds(10));
    bench.send("/write/2");
    bench.timers.advance(milliseconds(50));
    CHECK(first.owner.requests.size() + second.owner.requests.size() == 3);
}

TEST_CASE("a backend server's error response is returned unchanged if no other owner succeeds")
{
    ForwarderBench bench;
    bench.scriptBoth(done(500));
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(20));
    CHECK(bench.attempts() == 2);
    CHECK(answer->response->status == 500);
    CHECK(answer->answers == 1);
}

TEST_CASE("an unanswered request ends at the route's timeout and its work is cancelled")
{
    ForwarderBench bench;
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(790));
    CHECK_FALSE(answer->response.has_value());
    bench.timers.advance(milliseconds(30));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 504);
    CHECK(bench.local.cancelled + bench.remoteOwner.cancelled == 1);
}

TEST_CASE("a request that still waits at its owner at its timeout is reported as not run")
{
    ForwarderBench bench;
    bench.drainRemoteOwner();
    bench.local.hasNotStarted = true;
    const auto answer = bench.send("/write/1");
    bench.timers.advance(milliseconds(810));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 503);
}

// Guards against requests that are taken late in the grace of a planned stop, passed on, and cut
// off without an answer when the process ends.
TEST_CASE("planned stop: a request that is taken late in the grace is answered before the end")
{
    ForwarderBench bench;
    bench.drainRemoteOwner();
    const auto before = bench.send("/write/1");
    const SteadyTime end = bench.timers.now() + milliseconds(600);
    bench.forwarder.setLatestDeadline(end);
    bench.timers.advance(milliseconds(200));
    const auto late = bench.send("/write/2");
    REQUIRE(bench.local.requests.size() == 2);
    CHECK(bench.local.requests.back().timeLeft == milliseconds(400));
    bench.timers.advance(milliseconds(400));
    REQUIRE(late->response.has_value());
    CHECK(late->response->status == 504);
    CHECK_FALSE(before->response.has_value());
    SECTION("one that was there before the stop is answered at the end")
    {
        bench.forwarder.endOpenRequests();
        REQUIRE(before->response.has_value());
        CHECK(before->response->status == 504);
    }
    SECTION("one that has certainly not run is reported so")
    {
        bench.local.hasNotStarted = true;
        bench.forwarder.endOpenRequests();
        REQUIRE(before->response.has_value());
        CHECK(before->response->status == 503);
    }
    CHECK(bench.forwarder.openRequests() == 0);
}

// Guards against a 502 for a request that a backend server runs, as its owner's node was late and
// no other attempt could be made.
TEST_CASE("late owner: without another attempt an idempotent request gets the owner's response")
{
    ForwarderBench bench;
    bench.useLongRoutes();
    SECTION("no other owner")
    {
        bench.local.state.availability = BackendAvailability::Draining;
    }
    SECTION("no retry budget")
    {
        bench.local.answers.assign(100, mayHaveRun);
        bench.remoteOwner.answers.assign(100, mayHaveRun);
        for (int i = 0; i < 60; ++i) {
            bench.send("/read/1");
            bench.timers.advance(milliseconds(10));
        }
        bench.remoteOwner.answers.clear();
        bench.remoteOwner.requests.clear();
        bench.local.state.running = 1'000;
    }
    SECTION("planned stop")
    {
        bench.local.state.availability = BackendAvailability::Draining;
        bench.forwarder.setLatestDeadline(bench.timers.now() + milliseconds(5'000));
    }
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(10));
    REQUIRE(bench.remoteOwner.openCallbacks.size() == 1);
    bench.silenceRemoteNode();
    bench.timers.advance(milliseconds(1'800));
    CHECK_FALSE(answer->response.has_value());
    CHECK(bench.remoteOwner.cancelled == 0);
    bench.remoteOwner.openCallbacks[0](done(200));
    bench.hub.deliverHeldFrames();
    bench.timers.advance(milliseconds(10));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 200);
}

TEST_CASE("late owner: an idempotent request is sent to another owner, once")
{
    ForwarderBench bench;
    bench.useLongRoutes();
    bench.local.state.running = 1'000;
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(10));
    REQUIRE(bench.remoteOwner.openCallbacks.size() == 1);
    bench.silenceRemoteNode();
    bench.timers.advance(milliseconds(1'800));
    REQUIRE(bench.local.openCallbacks.size() == 1);
    bench.local.openCallbacks[0](done(200));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 200);
    bench.hub.deliverHeldFrames();
    bench.timers.advance(milliseconds(10));
    CHECK(bench.remoteOwner.cancelled == 1);
    CHECK(answer->answers == 1);
}

// Guards against a 502 for a request that a backend server runs, as its late owner was given up for
// another one that refused it.
TEST_CASE("late owner: its response counts if the other owner refuses or fails the request")
{
    ForwarderBench bench;
    bench.useLongRoutes();
    bench.local.state.running = 1'000;
    bench.local.answers = {GENERATE(overloaded, mayHaveRun)};
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(10));
    REQUIRE(bench.remoteOwner.openCallbacks.size() == 1);
    bench.silenceRemoteNode();
    bench.timers.advance(milliseconds(1'800));
    REQUIRE(bench.local.requests.size() == 1);
    CHECK_FALSE(answer->response.has_value());
    CHECK(bench.remoteOwner.cancelled == 0);
    bench.remoteOwner.openCallbacks[0](done(200));
    bench.hub.deliverHeldFrames();
    bench.timers.advance(milliseconds(10));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 200);
    CHECK(bench.forwarder.openRequests() == 0);
}

TEST_CASE("late owner: its response ends the other attempt")
{
    ForwarderBench bench;
    bench.useLongRoutes();
    bench.local.state.running = 1'000;
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(10));
    bench.silenceRemoteNode();
    bench.timers.advance(milliseconds(1'800));
    REQUIRE(bench.local.openCallbacks.size() == 1);
    bench.remoteOwner.openCallbacks[0](done(200));
    bench.hub.deliverHeldFrames();
    bench.timers.advance(milliseconds(10));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 200);
    CHECK(bench.local.cancelled == 1);
    bench.local.openCallbacks[0](done(200));
    CHECK(answer->answers == 1);
}

TEST_CASE("late owner: when the caller leaves both attempts are cancelled")
{
    ForwarderBench bench;
    bench.useLongRoutes();
    bench.local.state.running = 1'000;
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(10));
    bench.silenceRemoteNode();
    bench.timers.advance(milliseconds(1'800));
    REQUIRE(bench.local.openCallbacks.size() == 1);
    answer->callerGone();
    bench.hub.deliverHeldFrames();
    bench.timers.advance(milliseconds(10));
    CHECK(bench.local.cancelled == 1);
    CHECK(bench.remoteOwner.cancelled == 1);
    CHECK(bench.forwarder.openRequests() == 0);
}

TEST_CASE("late owner: a request whose owner answers nothing ends at its deadline")
{
    ForwarderBench bench;
    bench.useLongRoutes();
    bench.local.state.availability = BackendAvailability::Draining;
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(10));
    bench.silenceRemoteNode();
    bench.timers.advance(milliseconds(3'100));
    REQUIRE(answer->response.has_value());
    CHECK(answer->response->status == 504);
    CHECK(bench.forwarder.openRequests() == 0);
}

// Guards against requests that a late loop takes after its stop was to close, as the timer for
// that has not had its turn.
TEST_CASE("planned stop: requests are refused by the clock from the time of its closing on")
{
    ForwarderBench bench;
    bench.drainRemoteOwner();
    bench.forwarder.stopAcceptingAt(bench.timers.now() + milliseconds(600));
    bench.timers.advance(milliseconds(599));
    const auto early = bench.send("/write/1");
    CHECK(bench.local.requests.size() == 1);
    bench.timers.advance(milliseconds(1));
    const auto late = bench.send("/write/2");
    REQUIRE(late->response.has_value());
    CHECK(late->response->status == 503);
    CHECK(bench.local.requests.size() == 1);
    CHECK_FALSE(early->response.has_value());
}

// Guards against a frame that the other end refuses by closing the link, with all calls on it, and
// against long bodies within the limits that are never served.
TEST_CASE("a body that is too long for a frame reaches an owner on another node as a whole")
{
    ForwarderBench bench;
    const std::string body(9 * 1024 * 1024, 'b');
    const auto sendLong = [&] {
        const std::shared_ptr<CapturedAnswer> answer = std::make_shared<CapturedAnswer>();
        bench.forwarder.forward({.method = "POST",
                                 .target = "/write/1",
                                 .headers = {{"Host", "h"}, {"Id", "r1"}},
                                 .body = body},
                                answer);
        bench.timers.advance(milliseconds(400));
        return answer;
    };
    SECTION("the own VM has the service")
    {
        bench.local.answers = {done(200)};
        CHECK(sendLong()->response->status == 200);
        CHECK(bench.remoteOwner.requests.empty());
    }
    SECTION("it has not")
    {
        bench.local.state.service = "other";
        bench.remoteOwner.answers = {done(200)};
        const std::shared_ptr<CapturedAnswer> answer = sendLong();
        REQUIRE(answer->response.has_value());
        CHECK(answer->response->status == 200);
        CHECK(bench.local.requests.empty());
        REQUIRE(bench.remoteOwner.requests.size() == 1);
        CHECK((bench.remoteOwner.requests.front().request.body == body));
    }
}

TEST_CASE("callers that leave early: their work is cancelled at once")
{
    ForwarderBench bench;
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(50));
    answer->callerGone();
    bench.timers.advance(milliseconds(10));
    CHECK(bench.local.cancelled + bench.remoteOwner.cancelled == 1);
    CHECK(bench.forwarder.openRequests() == 0);
    CHECK(answer->answers == 0);
}

TEST_CASE("an unknown path is answered with 404, and any path without a configuration with 503")
{
    ForwarderBench bench;
    CHECK(bench.send("/unknown/1")->response->status == 404);
    bench.forwarder.setRoutes(nullptr);
    CHECK(bench.send("/read/1")->response->status == 503);
}

TEST_CASE("a request that failed at the new version is retried at another version")
{
    ForwarderBench bench;
    bench.local.state.version = "v2";
    bench.local.answers = {done(500)};
    bench.remoteOwner.answers = {done(200)};
    bench.versions.choice = {.requiredVersion = "v2", .excludedVersion = "", .allowFallback = true};
    const auto answer = bench.send("/read/1");
    bench.timers.advance(milliseconds(20));
    CHECK(answer->response->status == 200);
    CHECK(bench.remoteOwner.requests.size() == 1);
}

TEST_CASE("describeExcludedOwners() returns why owners are excluded, and the age of their status")
{
    ForwarderBench bench;
    const OwnerDirectory directory(bench.network, bench.remote, bench.local, bench.timers);
    const std::string service = "s";
    const VersionChoice version{.requiredVersion = "v2"};
    const std::vector<std::string> triedNodes = {"near"};
    const OwnerQuery query{.service = service, .version = version, .triedNodes = triedNodes};
    CHECK(directory.candidates(query).empty());
    CHECK(directory.describeExcludedOwners(query)
          == "near tried, other runs another version (199 ms ago)");
    bench.remoteOwner.state.availability = BackendAvailability::Draining;
    bench.remoteNetwork.setStatus({.backend = bench.remoteOwner.state}, StatusAudience::Everywhere);
    bench.timers.advance(milliseconds(10));
    CHECK(directory.describeExcludedOwners(query).find("other draining (") != std::string::npos);
    FarOwner far(bench, "far-1", 3);
    const VersionChoice anyVersion;
    OwnerQuery anyVersionQuery{.service = service, .version = anyVersion, .triedNodes = triedNodes};
    CHECK(directory.describeExcludedOwners(anyVersionQuery).find("far-1") == std::string::npos);
    anyVersionQuery.ownDomainOnly = true;
    CHECK(directory.candidates(anyVersionQuery).empty());
    CHECK(directory.describeExcludedOwners(anyVersionQuery).find("far-1 in another failure domain")
          != std::string::npos);
    const std::string unknown = "x";
    CHECK(directory.describeExcludedOwners(
                  {.service = unknown, .version = version, .triedNodes = triedNodes})
          == "no owner of the service is known");
}

TEST_CASE("persistent retriers: retries of requests that may have run stay within the budget")
{
    ForwarderBench bench;
    bench.local.answers.assign(1'000, mayHaveRun);
    bench.remoteOwner.answers.assign(1'000, mayHaveRun);
    for (int i = 0; i < 300; ++i) {
        bench.send("/read/1");
        bench.timers.advance(milliseconds(10));
    }
    // The budget starts with 10 tokens and gains 0.1 tokens per request.
    CHECK(bench.attempts() > 310);
    CHECK(bench.attempts() <= 300 + 30 + 11);
}

// Guards against requests to a backend server that said it shuts down, after its owner's process
// restarted and learned of it from a late heartbeat.
TEST_CASE("a backend server that said it leaves gets no requests when its owner has restarted")
{
    ForwarderBench bench;
    bench.local.state.availability = BackendAvailability::Absent;
    BackendStatus &state = bench.remoteOwner.state;
    state.startedAt = 5;
    BackendStatus leaving = state;
    leaving.availability = BackendAvailability::Draining;
    leaving.leaving = true;
    bench.remoteNetwork.setStatus({.backend = leaving}, StatusAudience::Everywhere);
    bench.timers.advance(milliseconds(50));
    bench.remoteTransport.closeAll();
    FakeLinkTransport transport{bench.hub, {"127.0.0.1", 2}};
    FleetNetwork restarted{{.self = {.node = "other",
                                     .domain = "d",
                                     .linkEndpoint = {"127.0.0.1", 2},
                                     .incarnation = 1}},
                           transport,
                           bench.timers};
    CallServer server{CallServerOptions{}, restarted, bench.timers, bench.remoteOwner};
    REQUIRE(restarted.start().ok());
    restarted.setStatus({.backend = state}, StatusAudience::Nobody);
    restarted.addContacts({bench.network.self()});
    bench.timers.advance(milliseconds(1'000));
    bench.send("/read/1");
    bench.timers.advance(milliseconds(50));
    CHECK(bench.remoteOwner.requests.empty());
    state.startedAt = 6;
    restarted.setStatus({.backend = state}, StatusAudience::Everywhere);
    bench.timers.advance(milliseconds(50));
    bench.send("/read/2");
    bench.timers.advance(milliseconds(50));
    CHECK(bench.remoteOwner.requests.size() == 1);
}

namespace {

/** A forwarder with the workspaces "gold" (priority 0) and "plain", and one public route. */
struct WorkspaceBench : public ForwarderBench
{
    ManualBootClock clock;
    KnowledgeAge knowledge;
    KeyCheck keyCheck{
            {.headers = headerNames, .revokeTime = milliseconds(5'000)}, knowledge, clock};

    WorkspaceBench()
    {
        TrafficRoute open = route("open", "/open/", true);
        open.isPublic = true;
        TrafficRoute read = route("read", "/read/", true);
        read.priority = 3;
        routes = RouteTable(TrafficConfig{.routes = {open, read}}, 1);
        setWorkspaces({{.name = "gold", .keys = {"g1", "g2"}, .priority = 0},
                       {.name = "plain", .keys = {"p1"}}});
        forwarder.setKeyCheck(&keyCheck);
        knowledge.installed(1);
        knowledge.tableRead(clock.now());
    }
    void setWorkspaces(const std::vector<Workspace> &workspaces)
    {
        keyCheck.setWorkspaces(workspaces);
    }
    /** Returns the only request that reached an owner, by whatever way. */
    WorkRequest onlyRequest() const
    {
        REQUIRE(attempts() == 1);
        return local.requests.empty() ? remoteOwner.requests.front() : local.requests.front();
    }
};

std::size_t countHeaders(const WorkRequest &work, std::string_view name)
{
    return static_cast<std::size_t>(std::count_if(
            work.request.headers.begin(), work.request.headers.end(),
            [name](const HttpHeader &header) { return equalsIgnoreCase(header.name, name); }));
}

} // namespace

// Guards against requests that run although their key is in no configuration.
TEST_CASE("a request with a missing, unknown or withdrawn key is answered with 401 and not sent")
{
    WorkspaceBench bench;
    CHECK(bench.send("/read/1")->response->status == 401);
    CHECK(bench.send("/read/1", {{"Key", ""}})->response->status == 401);
    CHECK(bench.send("/read/1", {{"Key", "other"}})->response->status == 401);
    CHECK(bench.send("/read/1", {{"Key", "g1, p1"}})->response->status == 401);
    CHECK(bench.send("/read/1", {{"Key", "g1"}, {"Key", "p1"}})->response->status == 401);
    CHECK(bench.send("/read/1", {{"Workspace", "gold"}})->response->status == 401);
    bench.setWorkspaces({{.name = "gold", .keys = {"g2"}}});
    CHECK(bench.send("/read/1", {{"Key", "g1"}})->response->status == 401);
    bench.setWorkspaces({});
    CHECK(bench.send("/read/1", {{"Key", "g2"}})->response->status == 401);
    bench.timers.advance(milliseconds(20));
    CHECK(bench.attempts() == 0);
    CHECK(bench.forwarder.openRequests() == 0);
}

// Guards against a 401 from a node that cannot know whether a key is valid.
TEST_CASE("a node without a configuration answers a keyed request with 503")
{
    WorkspaceBench bench;
    bench.forwarder.setRoutes(nullptr);
    CHECK(bench.send("/read/1", {{"Key", "g1"}})->response->status == 503);
    CHECK(bench.send("/read/1")->response->status == 503);
}

// Guards against backend servers that see a key, or a workspace that the caller chose.
TEST_CASE("an owner receives the workspace of the key, and never a key or a caller's workspace")
{
    WorkspaceBench bench;
    const bool overLink = GENERATE(false, true);
    if (overLink)
        bench.local.state.availability = BackendAvailability::Draining;
    else
        bench.drainRemoteOwner();
    bench.send(
            "/read/1",
            {{"workspace", "plain"}, {"KEY", "g2"}, {"Workspace", "other"}, {"X-Other", "kept"}});
    bench.timers.advance(milliseconds(20));
    const WorkRequest work = bench.onlyRequest();
    CHECK(bench.local.requests.empty() == overLink);
    CHECK(work.workspace == "gold");
    CHECK(countHeaders(work, "key") == 0);
    CHECK(countHeaders(work, "workspace") == 1);
    CHECK(findHeader(work.request.headers, "Workspace") == "gold");
    CHECK(findHeader(work.request.headers, "X-Other") == "kept");
}

// Guards against calls of backend servers that are refused, as they carry no key, and against
// public requests that reach a backend server with a key or a workspace that nothing proves.
TEST_CASE("a public route needs no key, and the workspace is set only if the key is valid")
{
    WorkspaceBench bench;
    bench.drainRemoteOwner();
    const std::string key = GENERATE("", "other", "p1");
    std::vector<HttpHeader> headers{{"Workspace", "gold"}};
    if (!key.empty())
        headers.push_back({"Key", key});
    bench.send("/open/1", headers);
    bench.timers.advance(milliseconds(20));
    const WorkRequest work = bench.onlyRequest();
    CHECK(countHeaders(work, "key") == 0);
    CHECK(countHeaders(work, "workspace") == (key == "p1" ? 1 : 0));
    CHECK(work.workspace == (key == "p1" ? "plain" : ""));
}

// Guards against urgent workspaces that wait behind others.
TEST_CASE("a workspace's priority takes precedence over the route's")
{
    WorkspaceBench bench;
    bench.drainRemoteOwner();
    bench.send("/read/1", {{"Key", "g1"}});
    bench.send("/read/1", {{"Key", "p1"}});
    REQUIRE(bench.local.requests.size() == 2);
    CHECK(bench.local.requests[0].priority == 0);
    CHECK(bench.local.requests[1].priority == 3);
}

// Guards against deployments without workspaces in which headers with these names get lost.
TEST_CASE("without workspaces in the configuration both headers are ordinary ones")
{
    WorkspaceBench bench;
    bench.drainRemoteOwner();
    bench.keyCheck.setWorkspaces(std::nullopt);
    bench.send("/read/1", {{"Key", "any"}, {"Workspace", "mine"}});
    const WorkRequest work = bench.onlyRequest();
    CHECK(findHeader(work.request.headers, "Key") == "any");
    CHECK(findHeader(work.request.headers, "Workspace") == "mine");
    CHECK(work.workspace.empty());
}

// Guards against retries of a request that was accepted and now fail, as its key is checked again,
// and against such retries that contain the key.
TEST_CASE("a key that is withdrawn after its request was accepted does not end the request")
{
    WorkspaceBench bench;
    bench.scriptBoth(overloaded);
    bench.local.answers.clear(); // The local owner queues the request.
    bench.drainRemoteOwner();
    const auto answer = bench.send("/read/1", {{"Key", "p1"}});
    REQUIRE(bench.local.openCallbacks.size() == 1);
    bench.setWorkspaces({{.name = "gold", .keys = {"g1"}}});
    CHECK_FALSE(answer->response.has_value());
    CHECK(bench.send("/read/2", {{"Key", "p1"}})->response->status == 401);
    bench.local.openCallbacks.front()(done(200));
    CHECK(answer->response->status == 200);
    CHECK(bench.local.requests.front().workspace == "plain");
}

// Guards against withdrawn keys that a node without contact to the store accepts for ever, and
// against a 401 from such a node for a key that may be valid.
TEST_CASE("a node with old knowledge answers keyed requests with 503 and serves public routes")
{
    WorkspaceBench bench;
    bench.drainRemoteOwner();
    bench.clock.advance(milliseconds(4'700));
    bench.send("/read/1", {{"Key", "p1"}});
    CHECK(bench.attempts() == 1);
    bench.clock.advance(milliseconds(100));
    for (const char *key : {"p1", "unknown"}) {
        const auto answer = bench.send("/read/1", {{"Key", key}});
        REQUIRE(answer->response.has_value());
        CHECK(answer->response->status == 503);
        CHECK(answer->response->body == "key-unverified\n");
        CHECK(findHeader(answer->response->headers, "Retry-After") == "0.500");
    }
    CHECK(bench.send("/read/1")->response->status == 401);
    CHECK(bench.attempts() == 1);
    bench.send("/open/1", {{"Key", "p1"}});
    REQUIRE(bench.attempts() == 2);
    CHECK(bench.local.requests.back().workspace.empty());
    CHECK(countHeaders(bench.local.requests.back(), "key") == 0);
    bench.knowledge.tableRead(bench.clock.now());
    bench.send("/read/1", {{"Key", "p1"}});
    CHECK(bench.attempts() == 3);
}

// Guards against refusals because of age in deployments that set no limit.
TEST_CASE("without a revoke time keys are checked against a configuration of any age")
{
    WorkspaceBench bench;
    bench.drainRemoteOwner();
    KeyCheck unlimited({.headers = headerNames}, bench.knowledge, bench.clock);
    unlimited.setWorkspaces(std::vector<Workspace>{{.name = "w", .keys = {"k"}}});
    bench.forwarder.setKeyCheck(&unlimited);
    bench.clock.advance(std::chrono::hours(1));
    bench.send("/read/1", {{"Key", "k"}});
    CHECK(bench.attempts() == 1);
    CHECK(bench.send("/read/1", {{"Key", "p1"}})->response->status == 401);
}

} // namespace jacinthshift
