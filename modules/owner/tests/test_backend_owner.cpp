#include <catch2/catch.hpp>

#include "modules/owner/backend_owner.h"
#include "tests/support/fake_http_client.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const HeaderNames headerNames{.requestId = "Id",
                              .deadline = "Left",
                              .expectedInstance = "Expected",
                              .callerService = "Caller",
                              .notRun = "Not-Run",
                              .seal = "Seal",
                              .instance = "Instance",
                              .coldMilliseconds = "Cold",
                              .leaving = "Leaving"};

struct RecordingObserver final : public OwnerObserver
{
    int changes = 0;
    std::vector<std::uint64_t> suspected;

    void ownerStatusChanged() override { ++changes; }
    void requestSuspected(std::uint64_t fingerprint, const std::string &) override
    {
        suspected.push_back(fingerprint);
    }
    void requestCleared(std::uint64_t) override {}
};

struct OwnerFixture
{
    FakeHttpClient http;
    ManualTimerService timers;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    RecordingObserver observer;
    BackendOwner owner;
    std::vector<WorkResult> results;
    std::uint64_t sequence = 0;

    explicit OwnerFixture(double coldFactor = 1.0, std::size_t maxSuspects = 64)
        : owner(BackendOwnerOptions{.node = "n",
                                    .service = "s",
                                    .headers = headerNames,
                                    .maxSuspects = maxSuspects,
                                    .coldFactor = coldFactor},
                http, timers, poison, observer)
    {
        owner.setPolicy(ServicePolicy{.coldRequestsPerSecond = 10.0});
        REQUIRE(sendHeartbeat().ok());
    }

    absl::Status sendHeartbeat(bool draining = false, std::uint64_t startedAt = 1,
                               milliseconds cold = milliseconds(0))
    {
        return owner.heartbeat(BackendHeartbeat{.id = "i-1",
                                                .service = "s",
                                                .version = "v1",
                                                .endpoint = {"127.0.0.1", 80},
                                                .slots = 2,
                                                .draining = draining,
                                                .sequence = ++sequence,
                                                .startedAt = startedAt,
                                                .coldRemaining = cold});
    }

    std::uint64_t run(const std::string &id, const std::string &version = "")
    {
        const WorkRequest work{.request = {.method = "POST",
                                           .target = "/" + id,
                                           .headers = {{"Id", id}, {"Caller", "forged"}}},
                               .route = "r",
                               .service = "s",
                               .version = version,
                               .callerService = "c",
                               .timeLeft = milliseconds(1'000),
                               .targetTimeLeft = milliseconds(400)};
        return owner.run(work, [this](const WorkResult &result) { results.push_back(result); });
    }

    ArmEvidence counts() const
    {
        const std::vector<VersionEvidence> evidence = owner.evidence();
        return evidence.empty() ? ArmEvidence() : evidence[0].counts;
    }
};

} // namespace

TEST_CASE("a request is forwarded with its own id and the headers that the node sets")
{
    OwnerFixture fixture;
    fixture.run("1");
    REQUIRE(fixture.http.sentRequests.size() == 1);
    const std::vector<HttpHeader> &headers = fixture.http.sentRequests[0].headers;
    CHECK(findHeader(headers, "Id") == "1");
    CHECK(findHeader(headers, "Expected") == "i-1");
    CHECK(findHeader(headers, "Caller") == "c");
    CHECK(findHeader(headers, "Left") == "990");
}

// Guards against requests to a backend server whose leaving an ended process had acknowledged.
TEST_CASE("a backend server that left before this process started is not used after a late "
          "heartbeat")
{
    OwnerFixture fixture;
    SECTION("other nodes tell of it after the heartbeat")
    {
        fixture.owner.backendLeft({.id = "i-1", .startedAt = 1});
    }
    SECTION("other nodes tell of it first")
    {
        fixture.owner.backendLeft({.id = "i-1", .startedAt = 1});
        REQUIRE(fixture.sendHeartbeat().ok());
    }
    CHECK(fixture.owner.status().availability != BackendAvailability::Ready);
    CHECK(fixture.owner.status().leaving);
    fixture.run("1");
    CHECK(fixture.http.sentRequests.empty());
    // It starts again under its id; what is said of its earlier lifetime no longer matters.
    REQUIRE(fixture.sendHeartbeat(false, 2).ok());
    fixture.owner.backendLeft({.id = "i-1", .startedAt = 1});
    CHECK(fixture.owner.status().availability == BackendAvailability::Ready);
}

TEST_CASE("a request is reported as not run only if it certainly did not run")
{
    OwnerFixture fixture;
    fixture.run("1");
    SECTION("the backend server says that it did not run the request")
    {
        fixture.http.respond(503, {{"Not-Run", "1"}});
        CHECK(fixture.results[0].verdict == Verdict::NotRun);
    }
    SECTION("another backend server at the address")
    {
        fixture.http.respond(421);
        CHECK(fixture.results[0].verdict == Verdict::NotRun);
        CHECK(fixture.owner.status().availability == BackendAvailability::Absent);
    }
    SECTION("no connection")
    {
        fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
        CHECK(fixture.results[0].verdict == Verdict::NotRun);
        CHECK_FALSE(fixture.results[0].reachedBackend);
    }
    SECTION("a 503 without the not-run header is an answer")
    {
        fixture.http.respond(503, {{"Seal", "x"}});
        CHECK(fixture.results[0].verdict == Verdict::Done);
    }
    SECTION("after a lost connection the request may have run")
    {
        fixture.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
        CHECK(fixture.results[0].verdict == Verdict::MayHaveRun);
    }
}

TEST_CASE("an answer that may not be the backend server's own complete body is not forwarded")
{
    OwnerFixture fixture;
    fixture.run("1");
    SECTION("encoded")
    {
        fixture.http.respond(200, {{"Seal", "x"}, {"Content-Encoding", "gzip"}});
    }
    SECTION("a success without seal")
    {
        fixture.http.respond(200);
    }
    CHECK(fixture.results[0].verdict == Verdict::MayHaveRun);
    CHECK(fixture.results[0].refusal == WorkRefusal::Malformed);
}

// Guards against passing on a status that is none, and against one that does not count as a fault.
TEST_CASE("an answer whose status is not a final one of HTTP is malformed")
{
    const int status = GENERATE(0, 99, 101, 199, 600, 1000);
    CAPTURE(status);
    OwnerFixture fixture;
    fixture.run("1");
    fixture.http.respond(status, {{"Seal", "x"}});
    CHECK(fixture.results[0].verdict == Verdict::MayHaveRun);
    CHECK(fixture.results[0].refusal == WorkRefusal::Malformed);
    REQUIRE(fixture.owner.evidence().size() == 1);
    CHECK(fixture.owner.evidence()[0].counts.failures == 1);
}

TEST_CASE("draining refuses new and queued requests, not running ones")
{
    OwnerFixture fixture;
    for (const char *id : {"1", "2", "3"})
        fixture.run(id);
    CHECK(fixture.http.pendingExchanges.size() == 2);
    REQUIRE(fixture.sendHeartbeat(true).ok());
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].refusal == WorkRefusal::Draining);
    fixture.run("4");
    CHECK(fixture.results[1].verdict == Verdict::NotRun);
    fixture.http.respond(200, {{"Seal", "x"}});
    CHECK(fixture.results[2].verdict == Verdict::Done);
    CHECK(fixture.http.sentRequests.size() == 2);
}

// Guards against requests to a backend server whose answers say that it shuts down.
TEST_CASE("an answer that says the backend server leaves has the effect of draining")
{
    OwnerFixture fixture;
    for (const char *id : {"1", "2", "3"})
        fixture.run(id);
    const int status = GENERATE(200, 503);
    fixture.http.respond(status, {{"Seal", "x"}, {"Leaving", "1"}});
    REQUIRE(fixture.results.size() == 2);
    CHECK(fixture.results[0].refusal == WorkRefusal::Draining);
    CHECK(fixture.results[1].verdict == Verdict::Done);
    CHECK(fixture.owner.status().leaving);
    fixture.run("4");
    CHECK(fixture.results[2].refusal == WorkRefusal::Draining);
    SECTION("a later heartbeat of the same lifetime does not end it")
    {
        REQUIRE(fixture.sendHeartbeat().ok());
        fixture.run("5");
        CHECK(fixture.results[3].refusal == WorkRefusal::Draining);
        CHECK(fixture.http.sentRequests.size() == 2);
    }
    SECTION("a new lifetime is used, and an answer of the old one does not end it")
    {
        REQUIRE(fixture.sendHeartbeat(false, 2).ok());
        fixture.http.respond(200, {{"Seal", "x"}, {"Leaving", "1"}});
        CHECK(fixture.owner.status().availability == BackendAvailability::Ready);
        fixture.run("5");
        CHECK(fixture.http.sentRequests.size() == 3);
    }
}

TEST_CASE("the status tells which backend server left, also after its deregistration")
{
    OwnerFixture fixture;
    REQUIRE(fixture.sendHeartbeat(false, 7).ok());
    CHECK_FALSE(fixture.owner.status().leaving);
    fixture.owner.deregister("i-1", std::nullopt);
    const BackendStatus status = fixture.owner.status();
    CHECK(status.availability == BackendAvailability::Absent);
    CHECK(status.leaving);
    CHECK(status.id == "i-1");
    CHECK(status.startedAt == 7);
}

TEST_CASE("a backend server of another service is not registered")
{
    OwnerFixture fixture;
    CHECK_FALSE(fixture.owner.heartbeat(BackendHeartbeat{.id = "x", .service = "other"}).ok());
    CHECK(fixture.owner.status().id == "i-1");
}

TEST_CASE("after a crash requests start again with the next heartbeat, at the cold rate")
{
    OwnerFixture fixture;
    fixture.run("1");
    fixture.run("2");
    fixture.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    fixture.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    fixture.run("3");
    fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
    fixture.timers.advance(milliseconds(200));
    fixture.run("4");
    fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
    CHECK(fixture.owner.status().availability == BackendAvailability::Absent);
    CHECK(fixture.observer.suspected.size() == 2);
    REQUIRE(fixture.sendHeartbeat(false, 2, milliseconds(3'000)).ok());
    const std::size_t before = fixture.http.sentRequests.size();
    for (int i = 0; i < 100; ++i) {
        fixture.run("again");
        while (!fixture.http.pendingExchanges.empty())
            fixture.http.respond(200, {{"Seal", "x"}});
        fixture.timers.advance(milliseconds(10));
    }
    CHECK(fixture.http.sentRequests.size() - before >= 7);
    CHECK(fixture.http.sentRequests.size() - before <= 12);
}

// Guards against reports to the whole mesh that grow with the number of requests of one crash.
TEST_CASE("a bounded number of requests is reported for a crash")
{
    OwnerFixture fixture(1.0, 1);
    fixture.run("1");
    fixture.run("2");
    fixture.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    fixture.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    fixture.run("3");
    fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
    fixture.timers.advance(milliseconds(200));
    fixture.run("4");
    fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
    CHECK(fixture.owner.status().availability == BackendAvailability::Absent);
    CHECK(fixture.observer.suspected.size() == 1);
}

namespace {

/** An owner that may ask its backend server, which serves one request at a time. */
struct QuietOwner : OwnerFixture
{
    QuietOwner()
    {
        owner.setPolicy(ServicePolicy{.healthPath = "/health", .coldRequestsPerSecond = 10.0});
    }
    void loseRequest(const std::string &id)
    {
        run(id);
        http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    }
};

} // namespace

// Guards against a request that crashes a backend server each time it comes in a quiet hour.
TEST_CASE("a crash is recorded although no other request meets it")
{
    QuietOwner fixture;
    fixture.loseRequest("bad");
    REQUIRE(fixture.http.pendingExchanges.size() == 1);
    CHECK(fixture.http.sentRequests.back().target == "/health");
    SECTION("nothing listens any more")
    {
        fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
        CHECK(fixture.observer.suspected.size() == 1);
        CHECK(fixture.owner.status().availability == BackendAvailability::Absent);
    }
    SECTION("another backend server listens there")
    {
        fixture.http.respond(200, {{"Instance", "i-2"}});
        CHECK(fixture.observer.suspected.size() == 1);
    }
    SECTION("it restarts before it was asked")
    {
        fixture.http.fail(HttpFailure::TimedOut, Verdict::MayHaveRun);
        CHECK(fixture.observer.suspected.empty());
        fixture.timers.advance(milliseconds(3'000));
        REQUIRE(fixture.sendHeartbeat(false, 2).ok());
        CHECK(fixture.observer.suspected.size() == 1);
    }
    SECTION("it still runs")
    {
        fixture.http.respond(200, {{"Instance", "i-1"}, {"Cold", "0"}});
        REQUIRE(fixture.sendHeartbeat(false, 2).ok());
        CHECK(fixture.observer.suspected.empty());
    }
}

// Guards against a node that ends because a probe is answered after its target has deregistered.
TEST_CASE("a probe ends with the registration of its backend server")
{
    QuietOwner fixture;
    fixture.loseRequest("lost");
    REQUIRE(fixture.http.pendingExchanges.size() == 1);
    fixture.owner.deregister("i-1", std::nullopt);
    CHECK(fixture.http.pendingExchanges.empty());
    REQUIRE(fixture.sendHeartbeat(false, 2).ok());
    fixture.loseRequest("lost again");
    CHECK(fixture.http.pendingExchanges.size() == 1);
}

TEST_CASE("a request that crashes a backend server twice under one id is refused")
{
    QuietOwner fixture;
    for (const std::uint64_t startedAt : {2, 3}) {
        fixture.loseRequest("bad");
        fixture.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
        REQUIRE(fixture.sendHeartbeat(false, startedAt).ok());
    }
    const std::size_t before = fixture.http.sentRequests.size();
    fixture.run("bad");
    CHECK(fixture.results.back().refusal == WorkRefusal::Suspected);
    CHECK(fixture.results.back().verdict == Verdict::NotRun);
    CHECK(fixture.http.sentRequests.size() == before);
    fixture.run("other");
    CHECK(fixture.http.sentRequests.size() == before + 1);
}

TEST_CASE("a request whose connection is lost is not suspected without a crash")
{
    QuietOwner fixture;
    fixture.loseRequest("lost");
    fixture.http.fail(HttpFailure::TimedOut, Verdict::MayHaveRun);
    SECTION("a later request is answered")
    {
        fixture.timers.advance(milliseconds(10));
        fixture.run("next");
        fixture.http.respond(200, {{"Seal", "x"}});
        REQUIRE(fixture.sendHeartbeat(false, 2).ok());
    }
    SECTION("the backend server had said that it leaves")
    {
        REQUIRE(fixture.sendHeartbeat(true).ok());
        REQUIRE(fixture.sendHeartbeat(false, 2).ok());
    }
    SECTION("it deregisters")
    {
        fixture.owner.deregister("i-1", std::nullopt);
        REQUIRE(fixture.sendHeartbeat(false, 2).ok());
    }
    CHECK(fixture.observer.suspected.empty());
}

namespace {

constexpr double ColdRate = 30.0;
constexpr double ColdBound = ColdRate * 1.5;

/**
 * An owner under a steady load. Its backend server answers each request after 10 ms, and a probe at
 * once, with the time for which it is cold.
 */
struct BusyOwner : OwnerFixture
{
    milliseconds loadPeriod{13}; ///< About 77 requests per second.
    SteadyTime coldUntil;
    std::vector<SteadyTime> coldArrivals; ///< Arrivals at the cold backend server.
    std::size_t probes = 0;
    std::size_t seen = 0; ///< Sent requests that the backend server has looked at.

    BusyOwner() : OwnerFixture(1.5)
    {
        owner.setPolicy(ServicePolicy{.healthPath = "/health", .coldRequestsPerSecond = ColdRate});
    }

    void becomeCold(milliseconds time) { coldUntil = timers.now() + time; }

    void receive()
    {
        for (; seen < http.sentRequests.size(); ++seen) {
            if (http.sentRequests[seen].target == "/health")
                ++probes;
            else if (timers.now() < coldUntil)
                coldArrivals.push_back(timers.now());
        }
    }
    void answerAll()
    {
        while (!http.pendingExchanges.empty()) {
            if (http.pendingExchanges.begin()->second.request.target != "/health") {
                http.respond(200, {{"Seal", "x"}});
                continue;
            }
            const auto cold = std::chrono::duration_cast<milliseconds>(coldUntil - timers.now());
            http.respond(200, {{"Instance", "i-1"},
                               {"Cold", std::to_string(std::max(0L, long(cold.count())))}});
        }
    }
    void load(milliseconds time)
    {
        const SteadyTime end = timers.now() + time;
        for (int request = 0; timers.now() < end; ++request) {
            run(std::to_string(request));
            receive();
            timers.advance(milliseconds(10));
            answerAll();
            timers.advance(loadPeriod - milliseconds(10));
            receive();
        }
    }
    std::size_t mostInOneSecond() const
    {
        std::size_t most = 0;
        for (std::size_t first = 0; first < coldArrivals.size(); ++first) {
            std::size_t last = first;
            while (last < coldArrivals.size()
                   && coldArrivals[last] - coldArrivals[first] < std::chrono::seconds(1))
                ++last;
            most = std::max(most, last - first);
        }
        return most;
    }
};

} // namespace

// Guards against the warm load on a backend server that becomes cold between two heartbeats.
TEST_CASE("a backend server that becomes cold by itself gets no more than it can bear")
{
    BusyOwner fixture;
    const int moment = GENERATE(0, 70, 150, 290, 330);
    fixture.load(milliseconds(2'000 + moment));
    fixture.becomeCold(milliseconds(3'000));
    fixture.load(milliseconds(600));
    SECTION("its heartbeat from before arrives late")
    {
        REQUIRE(fixture.sendHeartbeat().ok());
    }
    SECTION("no heartbeat arrives") {}
    fixture.load(milliseconds(2'200));
    CHECK(static_cast<double>(fixture.mostInOneSecond()) <= ColdBound);
    CHECK(fixture.coldArrivals.size() >= std::size_t(ColdRate));
    const std::size_t before = fixture.http.sentRequests.size();
    fixture.load(milliseconds(1'200));
    CHECK(fixture.http.sentRequests.size() - before >= 70);
}

TEST_CASE("a backend server is asked whether it is cold only if a cold one could not bear its load")
{
    BusyOwner fixture;
    SECTION("low load")
    {
        fixture.loadPeriod = milliseconds(35);
        fixture.load(milliseconds(5'000));
        CHECK(fixture.probes == 0);
    }
    SECTION("high load")
    {
        fixture.load(milliseconds(5'000));
        CHECK(fixture.probes >= 5);
        CHECK(fixture.probes <= 20);
    }
    SECTION("the policy sets no rate")
    {
        fixture.owner.setPolicy(ServicePolicy{.healthPath = "/health"});
        fixture.load(milliseconds(2'000));
        CHECK(fixture.probes == 0);
    }
}

// Guards against an owner that runs out of memory because many nodes send it long requests.
TEST_CASE("an owner refuses requests whose bodies it cannot hold")
{
    OwnerFixture fixture;
    const auto runWithBody = [&fixture](std::size_t bytes) {
        return fixture.owner.run(
                WorkRequest{.request = {.method = "POST",
                                        .target = "/x",
                                        .headers = {{"Id", "1"}},
                                        .body = std::string(bytes, 'b')},
                            .route = "r",
                            .service = "s",
                            .timeLeft = milliseconds(1'000),
                            .targetTimeLeft = milliseconds(400)},
                [&fixture](const WorkResult &result) { fixture.results.push_back(result); });
    };
    constexpr std::size_t Megabyte = 1024 * 1024;
    const std::uint64_t first = runWithBody(7 * Megabyte);
    runWithBody(6 * Megabyte);
    REQUIRE(fixture.results.size() == 1);
    CHECK(fixture.results[0].verdict == Verdict::NotRun);
    CHECK(fixture.results[0].refusal == WorkRefusal::Overloaded);
    CHECK(runWithBody(1'000) != 0);
    fixture.owner.cancel(first);
    CHECK(runWithBody(6 * Megabyte) != 0);
}

TEST_CASE("slow version: requests cancelled after their target latency count as failures")
{
    OwnerFixture fixture;
    const std::uint64_t timedOut = fixture.run("1");
    const std::uint64_t cancelledEarly = fixture.run("2");
    fixture.timers.advance(milliseconds(100));
    fixture.owner.cancel(cancelledEarly);
    CHECK(fixture.counts().requests == 0);
    fixture.timers.advance(milliseconds(600));
    fixture.owner.cancel(timedOut);
    CHECK(fixture.counts().failures == 1);
    fixture.run("3");
    fixture.http.fail(HttpFailure::TimedOut, Verdict::MayHaveRun);
    CHECK(fixture.counts().failures == 2);
    CHECK(fixture.counts().requests == 2);
}

TEST_CASE("a request of a sender that does not know of the rollout is refused by the new version")
{
    OwnerFixture fixture;
    fixture.owner.setRolloutTarget("v1");
    fixture.run("1");
    CHECK(fixture.results[0].refusal == WorkRefusal::Braked);
    fixture.run("2", "v1");
    CHECK(fixture.http.sentRequests.size() == 1);
}

TEST_CASE("a failure domain that is taken out refuses new and queued requests")
{
    OwnerFixture fixture;
    for (const char *id : {"1", "2", "3"})
        fixture.run(id);
    fixture.owner.setDomainTakenOut(true);
    CHECK(fixture.results.at(0).refusal == WorkRefusal::TakenOut);
    fixture.run("4");
    CHECK(fixture.results.at(1).refusal == WorkRefusal::TakenOut);
    fixture.owner.setDomainTakenOut(false);
    CHECK(fixture.owner.status().startsPerSecond > 0);
    REQUIRE(fixture.sendHeartbeat().ok());
    CHECK(fixture.owner.status().startsPerSecond == 0);
}

TEST_CASE(
        "cold return of all backend servers: starts reach the cold rate and stay within its bound")
{
    constexpr double ColdRequestsPerSecond = 10.0;
    constexpr double ColdFactor = 1.5;
    OwnerFixture fixture(ColdFactor);
    REQUIRE(fixture.sendHeartbeat(false, 1, milliseconds(4'000)).ok());
    std::vector<std::size_t> startedBy; // Requests sent by the end of each 100 ms.
    for (int tick = 0; tick < 35; ++tick) {
        for (int request = 0; request < 10; ++request)
            fixture.run(std::to_string(tick * 10 + request));
        fixture.timers.advance(milliseconds(50));
        while (!fixture.http.pendingExchanges.empty())
            fixture.http.respond(200, {{"Seal", "x"}});
        fixture.timers.advance(milliseconds(50));
        startedBy.push_back(fixture.http.sentRequests.size());
    }
    for (std::size_t end = 10; end < startedBy.size(); ++end) {
        const double inSecond = static_cast<double>(startedBy[end] - startedBy[end - 10]);
        CAPTURE(end, inSecond);
        CHECK(inSecond <= ColdRequestsPerSecond * ColdFactor);
        CHECK(inSecond >= ColdRequestsPerSecond);
    }
}

} // namespace jacinthshift
