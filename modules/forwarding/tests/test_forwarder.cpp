#include <catch2/catch.hpp>

#include <optional>

#include "modules/forwarding/forwarder.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const HeaderNames headerNames{.requestId = "Id", .deadline = "Left", .retryAfter = "Retry-After"};

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

    static TrafficRoute route(const std::string &name, const std::string &prefix, bool idempotent)
    {
        return TrafficRoute{.name = name,
                            .host = "h",
                            .prefix = prefix,
                            .idempotent = idempotent,
                            .timeout = milliseconds(800),
                            .targetLatency = milliseconds(400),
                            .maxAttempts = 2,
                            .parts = {{.service = "s", .weight = 1}}};
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

    std::shared_ptr<CapturedAnswer> send(const std::string &target)
    {
        const std::shared_ptr<CapturedAnswer> answer = std::make_shared<CapturedAnswer>();
        forwarder.forward({.target = target, .headers = {{"Host", "h"}, {"Id", "r1"}}}, answer);
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

// Guards against a frame that the other end refuses by closing the link, with all calls on it.
TEST_CASE("a body that is too long for a link is only sent to the owner on the same VM")
{
    ForwarderBench bench;
    const std::string body(8 * 1024 * 1024, 'b');
    const auto sendLong = [&] {
        const std::shared_ptr<CapturedAnswer> answer = std::make_shared<CapturedAnswer>();
        bench.forwarder.forward({.method = "POST",
                                 .target = "/write/1",
                                 .headers = {{"Host", "h"}, {"Id", "r1"}},
                                 .body = body},
                                answer);
        bench.timers.advance(milliseconds(20));
        return answer;
    };
    SECTION("it has the service")
    {
        bench.local.answers = {done(200)};
        CHECK(sendLong()->response->status == 200);
    }
    SECTION("it has not")
    {
        bench.local.state.service = "other";
        const std::shared_ptr<CapturedAnswer> answer = sendLong();
        REQUIRE(answer->response.has_value());
        CHECK(answer->response->status == 503);
        CHECK(bench.local.requests.empty());
    }
    CHECK(bench.remoteOwner.requests.empty());
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

} // namespace jacinthshift
