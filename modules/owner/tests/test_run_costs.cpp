#include <catch2/catch.hpp>

#include "modules/owner/run_costs.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const SteadyTime start{std::chrono::hours(1)};

BackendStatus statusOf(const RunCosts &costs, SteadyTime now)
{
    BackendStatus status;
    costs.fill(status, now);
    return status;
}

RunCosts costsOf(const char *loadHeader)
{
    RunCosts costs;
    costs.recordLoad(loadHeader, start);
    for (int i = 0; i < 20; ++i)
        costs.recordRun("r", "", milliseconds(200), start);
    return costs;
}

} // namespace

// Guards against changed decisions where backend servers do not send their load.
TEST_CASE("without a load header an owner reports and estimates no costs")
{
    RunCosts costs = costsOf("");
    costs.added(1, "r", "");
    const BackendStatus status = statusOf(costs, start);
    CHECK(status.normalRunTime == milliseconds(0));
    CHECK(status.remainingWork == milliseconds(0));
    CHECK(status.pacePercent == 0);
    CHECK_FALSE(costs.expectedTime("r", "", start).has_value());
}

TEST_CASE("pace is reported only where the load header has the fourth figure")
{
    CHECK(statusOf(costsOf("1,0,18"), start).pacePercent == 0);
    const RunCosts slow = costsOf("1,0,18,200");
    CHECK(statusOf(slow, start).pacePercent == 200);
    CHECK(statusOf(slow, start).normalRunTime == milliseconds(100));
    CHECK(slow.expectedTime("r", "", start) == milliseconds(200));
}

// Load pattern: a backend server with few long runs has more work left than one with many short
// ones that are nearly done.
TEST_CASE("the remaining work counts down while requests run and ends with them")
{
    RunCosts costs = costsOf("1,0,18");
    costs.added(1, "r", "");
    costs.added(2, "r", "");
    costs.started(1, start);
    CHECK(statusOf(costs, start).remainingWork == milliseconds(400));
    CHECK(statusOf(costs, start + milliseconds(150)).remainingWork == milliseconds(250));
    CHECK(statusOf(costs, start + milliseconds(1'000)).remainingWork == milliseconds(700));
    costs.ended(1);
    CHECK(statusOf(costs, start + milliseconds(1'010)).remainingWork == milliseconds(200));
    costs.ended(2);
    CHECK(statusOf(costs, start + milliseconds(1'020)).remainingWork == milliseconds(0));
}

TEST_CASE("a new backend server is measured anew")
{
    RunCosts costs = costsOf("1,0,18,200");
    costs.reset();
    CHECK(statusOf(costs, start).normalRunTime == milliseconds(0));
}

} // namespace jacinthshift
