#include <catch2/catch.hpp>

#include "tests/soak/fault_plan.h"
#include "tests/soak/invariants.h"

namespace jacinthshift {

namespace {

using Milliseconds = std::chrono::milliseconds;

const SteadyTime start{std::chrono::hours(1)};

SteadyTime at(int milliseconds)
{
    return start + Milliseconds(milliseconds);
}

/** An observation log with one request that was served correctly. */
class SmallObservationLog
{
public:
    ObservationLog observations;

    SmallObservationLog()
    {
        observations.requestSent(CallerRequest{.id = "r1",
                                               .callerService = "a",
                                               .service = "b",
                                               .target = "/x/r1",
                                               .idempotent = false,
                                               .sentAt = at(0),
                                               .timeout = Milliseconds(1'000),
                                               .endedAt = at(50),
                                               .status = 200,
                                               .responseValid = true});
        addArrival(at(5));
        observations.runs.push_back(Run{.id = "r1",
                                        .backend = "i1",
                                        .domain = "d",
                                        .startedAt = at(5),
                                        .endedAt = at(45),
                                        .outcome = RunOutcome::Succeeded});
    }

    CallerRequest &request() { return observations.requests[0]; }
    void addArrival(SteadyTime time)
    {
        observations.arrivals.push_back(Arrival{.id = "r1",
                                                .backend = "i1",
                                                .domain = "d",
                                                .service = "b",
                                                .target = "/x/r1",
                                                .callerService = "a",
                                                .remaining = Milliseconds(990),
                                                .at = time});
    }
    /** Adds a stop of the request's node, with the SIGTERM at that time. */
    void stopUnderLoad(int milliseconds)
    {
        observations.disturbances.push_back(
                Disturbance{.kind = std::string(faultName(FaultKind::StopUnderLoad)),
                            .from = at(milliseconds),
                            .until = at(100),
                            .node = 0});
    }
    /** Returns the name of the first violated invariant, or "none". */
    std::string firstViolation() const
    {
        const std::vector<std::string> lines = violatedInvariants(observations, InvariantBounds());
        return lines.empty() ? "none" : lines.front().substr(0, lines.front().find(':'));
    }
};

} // namespace

TEST_CASE("the checks report each violated invariant in an observation log and nothing in a "
          "correct one")
{
    SmallObservationLog small;
    CHECK(small.firstViolation() == "none");
    SECTION("a non-idempotent request runs twice")
    {
        small.observations.runs.push_back(small.observations.runs[0]);
        CHECK(small.firstViolation() == "at most once");
    }
    SECTION("a request that ran is answered 503")
    {
        small.request().status = 503;
        CHECK(small.firstViolation() == "not run");
    }
    SECTION("a response does not match its request")
    {
        small.request().responseValid = false;
        CHECK(small.firstViolation() == "valid response");
    }
    SECTION("a path that was not sent reaches a backend server")
    {
        small.observations.arrivals[0].target = "/y";
        CHECK(small.firstViolation() == "unasked");
    }
    SECTION("a backend server of another service is reached")
    {
        small.observations.arrivals[0].service = "c";
        CHECK(small.firstViolation() == "route");
    }
    SECTION("a deadline is later than the caller's, unless the caller's or owner's node was frozen")
    {
        small.observations.arrivals[0].remaining = Milliseconds(1'600);
        CHECK(small.firstViolation() == "deadline");
        small.observations.arrivals[0].node = 1;
        small.observations.disturbances.push_back(
                Disturbance{.kind = "freeze node", .from = at(-10), .until = at(3), .node = 2});
        CHECK(small.firstViolation() == "deadline");
        for (const std::size_t node : {0U, 1U}) {
            small.observations.disturbances.back().node = node;
            CHECK(small.firstViolation() == "none");
        }
    }
    SECTION("a request arrives after an acknowledged drain")
    {
        small.observations.drainAcknowledged("i1", at(-2'500));
        CHECK(small.firstViolation() == "drain");
    }
    SECTION("a request arrives in a failure domain that was taken out")
    {
        small.observations.takeOuts.push_back(
                TakeOut{.domain = "d", .from = at(-5'500), .until = at(100)});
        CHECK(small.firstViolation() == "taken out");
    }
    SECTION("a cold backend server gets more requests than its bound")
    {
        small.observations.backendCold("i1", at(0), at(3'000));
        for (int i = 0; i < 40; ++i)
            small.addArrival(at(6 + i));
        CHECK(small.firstViolation() == "cold");
    }
    SECTION("retries exceed the retry budget")
    {
        for (int i = 0; i < 62; ++i)
            small.addArrival(at(6 + i));
        CHECK(small.firstViolation() == "retry budget");
    }
    SECTION("a route of all configurations is not found")
    {
        small.observations.requestSent(CallerRequest{.id = "r2", .sentAt = at(10), .status = 404});
        CHECK(small.firstViolation() == "denied");
    }
    SECTION("an older route is not found after a newer one was served")
    {
        small.request().addedInVersion = 2;
        small.observations.configs[1] = at(-9'000);
        small.observations.disturbances.push_back(
                Disturbance{.kind = "store down", .from = at(-9'000), .until = at(9'000)});
        small.observations.requestSent(
                CallerRequest{.id = "r2", .addedInVersion = 1, .sentAt = at(400), .status = 404});
        CHECK(small.firstViolation() == "no rollback");
    }
    SECTION("a configuration is not in force after its time limit")
    {
        small.observations.configs[3] = at(-2'100);
        small.observations.requestSent(
                CallerRequest{.id = "r2", .addedInVersion = 3, .sentAt = at(0), .status = 404});
        CHECK(small.firstViolation() == "in force");
    }
    SECTION("a planned stop cuts a request off")
    {
        small.request().status = 0;
        small.request().failure = HttpFailure::ConnectionLost;
        small.observations.disturbances.push_back(Disturbance{
                .kind = "stop", .from = at(-10), .until = at(100), .node = 0, .planned = true});
        CHECK(small.firstViolation() == "graceful stop");
    }
    SECTION("a stop under load cuts a request off that ran")
    {
        small.request().status = 0;
        small.request().failure = HttpFailure::ConnectionLost;
        small.stopUnderLoad(-10);
        CHECK(small.firstViolation() == "lost response");
        small.observations.runs.clear();
        CHECK(small.firstViolation() == "none");
    }
    SECTION("a node passes a request on that was sent long after its SIGTERM")
    {
        small.stopUnderLoad(-3'300);
        CHECK(small.firstViolation() == "none");
        small.stopUnderLoad(-3'500);
        CHECK(small.firstViolation() == "late request");
    }
    SECTION("a request is answered 502 with time left although it succeeds, unless a node was "
            "killed")
    {
        small.request().status = 502;
        CHECK(small.firstViolation() == "given up");
        small.stopUnderLoad(-10);
        CHECK(small.firstViolation() == "given up");
        small.request().endedAt = at(800);
        CHECK(small.firstViolation() == "none");
        small.request().endedAt = at(50);
        small.observations.disturbances.push_back(
                Disturbance{.kind = "kill node", .from = at(-10), .until = at(3), .node = 1});
        CHECK(small.firstViolation() == "none");
    }
    SECTION("runs continue after their callers have cancelled")
    {
        for (int i = 0; i < 8; ++i) {
            const std::string id = std::to_string(i);
            small.observations.requestSent(
                    CallerRequest{.id = id, .sentAt = at(0), .cancelledAt = at(30)});
            small.observations.runs.push_back(
                    Run{.id = id, .startedAt = at(5), .endedAt = at(900)});
        }
        CHECK(small.firstViolation() == "caller gone");
    }
}

TEST_CASE("the same seed draws the same faults, which end within the injection duration")
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
