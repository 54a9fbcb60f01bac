#include <catch2/catch.hpp>

#include "modules/cost/called_routes.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const SteadyTime epoch{std::chrono::hours(1)};

SteadyTime at(int millisecond)
{
    return epoch + milliseconds(millisecond);
}

/** Lets "payouts" run for 300 ms of each second and call "ledger" twice during each run. */
int runWithCalls(CalledRoutes &routes, int from, int seconds, bool refused = false)
{
    for (int second = 0; second < seconds; ++second) {
        const int now = from + second * 1'000;
        routes.runStarted("payouts", at(now));
        for (const int offset : {100, 200}) {
            routes.requestArrived("ledger", at(now + offset));
            routes.requestEnded("ledger", refused, milliseconds(400), at(now + offset + 5));
        }
        routes.runEnded("payouts", at(now + 300));
    }
    return from + seconds * 1'000;
}

} // namespace

TEST_CASE("a route that is requested only while the backend server runs another is called by it")
{
    CalledRoutes routes(CalledRoutesOptions{.startupTime = milliseconds(0)}, at(0));
    runWithCalls(routes, 0, 5);
    CHECK_FALSE(routes.isCalled("ledger"));
    runWithCalls(routes, 5'000, 60);
    CHECK(routes.isCalled("ledger"));
    CHECK_FALSE(routes.isCalled("payouts"));
}

// Guards against treating callers' requests as calls: these must stay requests in doubt.
TEST_CASE(
        "a route is not called if it is requested while nothing runs, or if something always runs")
{
    CalledRoutes routes(CalledRoutesOptions{.startupTime = milliseconds(0)}, at(0));
    SECTION("a single request outside of all runs")
    {
        routes.requestArrived("ledger", at(900));
        runWithCalls(routes, 1'000, 200);
    }
    SECTION("the backend server is never idle")
    {
        routes.runStarted("payouts", at(0));
        runWithCalls(routes, 1'000, 200);
    }
    CHECK_FALSE(routes.isCalled("ledger"));
}

// Guards against wrong conclusions while runs of an ended process of this node still make calls.
TEST_CASE("requests soon after the start say nothing")
{
    CalledRoutes routes(CalledRoutesOptions{}, at(0));
    routes.requestArrived("ledger", at(500));
    runWithCalls(routes, 20'000, 100);
    CHECK(routes.isCalled("ledger"));
}

// Load pattern: the called service refuses everything; runs were begun that could only fail.
TEST_CASE("a run whose calls are refused is refused, with probes, until the calls succeed again")
{
    CalledRoutes routes(CalledRoutesOptions{.startupTime = milliseconds(0)}, at(0));
    int now = runWithCalls(routes, 0, 100);
    CHECK_FALSE(routes.refusal("payouts", at(now)).has_value());
    now = runWithCalls(routes, now, 4, true) - 700;
    int refused = 0;
    for (int i = 0; i < 80; ++i) {
        const std::optional<milliseconds> after = routes.refusal("payouts", at(now));
        refused += after ? 1 : 0;
        if (after)
            CHECK(*after == milliseconds(400));
    }
    CHECK(refused == 70);
    CHECK_FALSE(routes.refusal("browse", at(now)).has_value());
    now = runWithCalls(routes, now, 3);
    CHECK_FALSE(routes.refusal("payouts", at(now)).has_value());
}

TEST_CASE("old refusals of calls do not keep runs away")
{
    CalledRoutes routes(CalledRoutesOptions{.startupTime = milliseconds(0)}, at(0));
    const int now = runWithCalls(routes, runWithCalls(routes, 0, 100), 4, true);
    CHECK_FALSE(routes.refusal("payouts", at(now + 3'000)).has_value());
}

} // namespace jacinthshift
