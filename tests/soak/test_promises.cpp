#include <catch2/catch.hpp>

#include "tests/soak/fault_plan.h"
#include "tests/soak/promises.h"

namespace jacinthshift {

namespace {

using Milliseconds = std::chrono::milliseconds;

const SteadyTime start{std::chrono::hours(1)};

SteadyTime at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

/** A ledger with one request that was served as it should be. */
class SmallLedger
{
public:
    Ledger ledger;

    SmallLedger()
    {
        ledger.sent(Attempt{.id = "r1",
                            .callerService = "a",
                            .service = "b",
                            .target = "/x/r1",
                            .idempotent = false,
                            .sentAt = at(0),
                            .timeout = Milliseconds(1'000),
                            .endedAt = at(50),
                            .status = 200,
                            .whole = true});
        arrive(at(5));
        ledger.runs.push_back(Run{.id = "r1",
                                  .backend = "i1",
                                  .domain = "d",
                                  .at = at(5),
                                  .endedAt = at(45),
                                  .end = RunEnd::Succeeded});
    }

    Attempt &attempt() { return ledger.attempts[0]; }
    void arrive(SteadyTime time)
    {
        ledger.arrivals.push_back(Arrival{.id = "r1",
                                          .backend = "i1",
                                          .domain = "d",
                                          .service = "b",
                                          .target = "/x/r1",
                                          .callerService = "a",
                                          .left = Milliseconds(990),
                                          .at = time});
    }
    /** Returns the name of the first promise that was broken. */
    std::string broken() const
    {
        const std::vector<std::string> lines = brokenPromises(ledger, PromiseBounds());
        return lines.empty() ? "none" : lines.front().substr(0, lines.front().find(':'));
    }
};

} // namespace

TEST_CASE("the soak finds every broken promise in a ledger and none in a good one")
{
    SmallLedger small;
    CHECK(small.broken() == "none");
    SECTION("a run too many")
    {
        small.ledger.runs.push_back(small.ledger.runs[0]);
        CHECK(small.broken() == "at most once");
    }
    SECTION("a refusal of what ran")
    {
        small.attempt().status = 503;
        CHECK(small.broken() == "not run");
    }
    SECTION("another request's answer")
    {
        small.attempt().whole = false;
        CHECK(small.broken() == "whole answer");
    }
    SECTION("another path")
    {
        small.ledger.arrivals[0].target = "/y";
        CHECK(small.broken() == "unasked");
    }
    SECTION("another service")
    {
        small.ledger.arrivals[0].service = "c";
        CHECK(small.broken() == "route");
    }
    SECTION("too much time")
    {
        small.ledger.arrivals[0].left = Milliseconds(1'600);
        CHECK(small.broken() == "deadline");
        small.ledger.arrivals[0].node = 1;
        small.ledger.disturbances.push_back(
                Disturbance{.kind = "freeze node", .from = at(-10), .until = at(3), .node = 2});
        CHECK(small.broken() == "deadline");
        for (const std::size_t node : {0U, 1U}) {
            small.ledger.disturbances.back().node = node;
            CHECK(small.broken() == "none");
        }
    }
    SECTION("work after leaving")
    {
        small.ledger.drainAcknowledged("i1", at(-2'500));
        CHECK(small.broken() == "drain");
    }
    SECTION("work in a domain that was taken out")
    {
        small.ledger.takeOuts.push_back(
                TakeOut{.domain = "d", .from = at(-5'500), .until = at(100)});
        CHECK(small.broken() == "taken out");
    }
    SECTION("too much for a cold backend server")
    {
        small.ledger.backendCold("i1", at(0), at(3'000));
        for (int i = 0; i < 40; ++i)
            small.arrive(at(6 + i));
        CHECK(small.broken() == "cold");
    }
    SECTION("too many repeats")
    {
        for (int i = 0; i < 62; ++i)
            small.arrive(at(6 + i));
        CHECK(small.broken() == "retry budget");
    }
    SECTION("a route of all configurations is denied")
    {
        small.ledger.sent(Attempt{.id = "r2", .sentAt = at(10), .status = 404});
        CHECK(small.broken() == "denied");
    }
    SECTION("a step back")
    {
        small.attempt().addedIn = 2;
        small.ledger.configs[1] = at(-9'000);
        small.ledger.disturbances.push_back(
                Disturbance{.kind = "store down", .from = at(-9'000), .until = at(9'000)});
        small.ledger.sent(Attempt{.id = "r2", .addedIn = 1, .sentAt = at(400), .status = 404});
        CHECK(small.broken() == "no way back");
    }
    SECTION("a configuration that comes late")
    {
        small.ledger.configs[3] = at(-2'100);
        small.ledger.sent(Attempt{.id = "r2", .addedIn = 3, .sentAt = at(0), .status = 404});
        CHECK(small.broken() == "in force");
    }
    SECTION("a request cut off by a planned stop")
    {
        small.attempt().status = 0;
        small.attempt().failure = HttpFailure::ConnectionLost;
        small.ledger.disturbances.push_back(Disturbance{
                .kind = "stop", .from = at(-10), .until = at(100), .node = 0, .planned = true});
        CHECK(small.broken() == "graceful stop");
    }
    SECTION("work for callers who have gone")
    {
        for (int i = 0; i < 8; ++i) {
            const std::string id = std::to_string(i);
            small.ledger.sent(Attempt{.id = id, .sentAt = at(0), .leftAt = at(30)});
            small.ledger.runs.push_back(Run{.id = id, .at = at(5), .endedAt = at(900)});
        }
        CHECK(small.broken() == "caller gone");
    }
}

TEST_CASE("the same seed draws the same faults, within the soak's length")
{
    const std::vector<Fault> first = drawFaults(7, Milliseconds(20'000));
    const std::vector<Fault> second = drawFaults(7, Milliseconds(20'000));
    REQUIRE(first.size() == second.size());
    CHECK(first.size() > 5);
    for (std::size_t i = 0; i < first.size(); ++i) {
        CHECK(first[i].at == second[i].at);
        CHECK(first[i].kind == second[i].kind);
        CHECK(first[i].at + first[i].duration <= Milliseconds(20'000));
    }
}

} // namespace jacinthshift
