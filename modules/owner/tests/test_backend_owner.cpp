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
                              .seal = "Seal"};

struct SilentObserver final : public OwnerObserver
{
    int changes = 0;
    std::vector<std::uint64_t> suspected;

    void ownerChanged() override { ++changes; }
    void requestSuspected(std::uint64_t fingerprint, const std::string &) override
    {
        suspected.push_back(fingerprint);
    }
    void requestCleared(std::uint64_t) override {}
};

struct OwnerBench
{
    FakeHttpClient http;
    ManualTimerService timers;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    SilentObserver observer;
    BackendOwner owner;
    std::vector<WorkResult> results;
    std::uint64_t sequence = 0;

    explicit OwnerBench(double coldFactor = 1.0)
        : owner(BackendOwnerOptions{.node = "n",
                                    .service = "s",
                                    .headers = headerNames,
                                    .coldFactor = coldFactor},
                http, timers, poison, observer)
    {
        owner.setPolicy(ServicePolicy{.coldRequestsPerSecond = 10.0});
        REQUIRE(beat().ok());
    }

    absl::Status beat(bool draining = false, std::uint64_t startedAt = 1,
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
                               .targetLeft = milliseconds(400)};
        return owner.run(work, [this](const WorkResult &result) { results.push_back(result); });
    }

    ArmEvidence counts() const
    {
        const std::vector<VersionEvidence> evidence = owner.evidence();
        return evidence.empty() ? ArmEvidence() : evidence[0].counts;
    }
};

} // namespace

TEST_CASE("a request reaches the backend server under its own id, with what the node vouches for")
{
    OwnerBench bench;
    bench.run("1");
    REQUIRE(bench.http.sent.size() == 1);
    const std::vector<HttpHeader> &headers = bench.http.sent[0].headers;
    CHECK(findHeader(headers, "Id") == "1");
    CHECK(findHeader(headers, "Expected") == "i-1");
    CHECK(findHeader(headers, "Caller") == "c");
    CHECK(findHeader(headers, "Left") == "990");
}

TEST_CASE("only what the backend server says it did not run is reported as not run")
{
    OwnerBench bench;
    bench.run("1");
    SECTION("its own word")
    {
        bench.http.answer(503, {{"Not-Run", "1"}});
        CHECK(bench.results[0].verdict == Verdict::NotRun);
    }
    SECTION("another backend server at the address")
    {
        bench.http.answer(421);
        CHECK(bench.results[0].verdict == Verdict::NotRun);
        CHECK(bench.owner.status().availability == BackendAvailability::Absent);
    }
    SECTION("no connection")
    {
        bench.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
        CHECK(bench.results[0].verdict == Verdict::NotRun);
        CHECK_FALSE(bench.results[0].reachedBackend);
    }
    SECTION("a plain 503 is its answer")
    {
        bench.http.answer(503, {{"Seal", "x"}});
        CHECK(bench.results[0].verdict == Verdict::Done);
    }
    SECTION("a lost connection leaves it open")
    {
        bench.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
        CHECK(bench.results[0].verdict == Verdict::MayHaveRun);
    }
}

TEST_CASE("an answer that is not the backend server's own whole body is not passed on")
{
    OwnerBench bench;
    bench.run("1");
    SECTION("encoded")
    {
        bench.http.answer(200, {{"Seal", "x"}, {"Content-Encoding", "gzip"}});
    }
    SECTION("a success without seal")
    {
        bench.http.answer(200);
    }
    CHECK(bench.results[0].verdict == Verdict::MayHaveRun);
    CHECK(bench.results[0].refusal == WorkRefusal::Malformed);
}

TEST_CASE("an acknowledged leaving stops new work and what waits, not what runs")
{
    OwnerBench bench;
    for (const char *id : {"1", "2", "3"})
        bench.run(id);
    CHECK(bench.http.open.size() == 2);
    REQUIRE(bench.beat(true).ok());
    REQUIRE(bench.results.size() == 1);
    CHECK(bench.results[0].refusal == WorkRefusal::Draining);
    bench.run("4");
    CHECK(bench.results[1].verdict == Verdict::NotRun);
    bench.http.answer(200, {{"Seal", "x"}});
    CHECK(bench.results[2].verdict == Verdict::Done);
    CHECK(bench.http.sent.size() == 2);
}

TEST_CASE("a backend server of another service is not registered")
{
    OwnerBench bench;
    CHECK_FALSE(bench.owner.heartbeat(BackendHeartbeat{.id = "x", .service = "other"}).ok());
    CHECK(bench.owner.status().id == "i-1");
}

TEST_CASE("after a crash the backend server gets nothing until it is heard of, and then little")
{
    OwnerBench bench;
    bench.run("1");
    bench.run("2");
    bench.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    bench.http.fail(HttpFailure::ConnectionLost, Verdict::MayHaveRun);
    bench.run("3");
    bench.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
    bench.timers.advance(milliseconds(200));
    bench.run("4");
    bench.http.fail(HttpFailure::ConnectFailed, Verdict::NotRun);
    CHECK(bench.owner.status().availability == BackendAvailability::Absent);
    CHECK(bench.observer.suspected.size() == 2);
    REQUIRE(bench.beat(false, 2, milliseconds(3'000)).ok());
    const std::size_t before = bench.http.sent.size();
    for (int i = 0; i < 100; ++i) {
        bench.run("again");
        while (!bench.http.open.empty())
            bench.http.answer(200, {{"Seal", "x"}});
        bench.timers.advance(milliseconds(10));
    }
    CHECK(bench.http.sent.size() - before >= 7);
    CHECK(bench.http.sent.size() - before <= 12);
}

TEST_CASE("slow version: requests that were cut at their time count as failures")
{
    OwnerBench bench;
    const std::uint64_t given = bench.run("1");
    const std::uint64_t early = bench.run("2");
    bench.timers.advance(milliseconds(100));
    bench.owner.cancel(early);
    CHECK(bench.counts().requests == 0);
    bench.timers.advance(milliseconds(600));
    bench.owner.cancel(given);
    CHECK(bench.counts().failures == 1);
    bench.run("3");
    bench.http.fail(HttpFailure::TimedOut, Verdict::MayHaveRun);
    CHECK(bench.counts().failures == 2);
    CHECK(bench.counts().requests == 2);
}

TEST_CASE("a sender that does not know of the rollout does not fill the new version")
{
    OwnerBench bench;
    bench.owner.setRolloutTarget("v1");
    bench.run("1");
    CHECK(bench.results[0].refusal == WorkRefusal::Braked);
    bench.run("2", "v1");
    CHECK(bench.http.sent.size() == 1);
}

TEST_CASE("a failure domain that is taken out gets nothing, and what waits goes elsewhere")
{
    OwnerBench bench;
    for (const char *id : {"1", "2", "3"})
        bench.run(id);
    bench.owner.setTakenOut(true);
    CHECK(bench.results.at(0).refusal == WorkRefusal::TakenOut);
    bench.run("4");
    CHECK(bench.results.at(1).refusal == WorkRefusal::TakenOut);
    bench.owner.setTakenOut(false);
    CHECK(bench.owner.status().startsPerSecond > 0);
    REQUIRE(bench.beat().ok());
    CHECK(bench.owner.status().startsPerSecond == 0);
}

TEST_CASE("cold return of everything: callers get most of what the operator allows, never more")
{
    constexpr double BornePerSecond = 10.0;
    constexpr double ColdFactor = 1.5;
    OwnerBench bench(ColdFactor);
    REQUIRE(bench.beat(false, 1, milliseconds(4'000)).ok());
    std::vector<std::size_t> startedBy; // Requests that were sent by the end of each 100 ms.
    for (int tick = 0; tick < 35; ++tick) {
        for (int request = 0; request < 10; ++request)
            bench.run(std::to_string(tick * 10 + request));
        bench.timers.advance(milliseconds(50));
        while (!bench.http.open.empty())
            bench.http.answer(200, {{"Seal", "x"}});
        bench.timers.advance(milliseconds(50));
        startedBy.push_back(bench.http.sent.size());
    }
    for (std::size_t end = 10; end < startedBy.size(); ++end) {
        const double inSecond = static_cast<double>(startedBy[end] - startedBy[end - 10]);
        CAPTURE(end, inSecond);
        CHECK(inSecond <= BornePerSecond * ColdFactor);
        CHECK(inSecond >= BornePerSecond);
    }
}

} // namespace jacinthshift
