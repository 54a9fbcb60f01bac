#include <catch2/catch.hpp>

#include "core/random.h"
#include "modules/cost/backend_pace.h"
#include "modules/cost/cost_model.h"
#include "modules/cost/load_header.h"

namespace jacinthshift {

using std::chrono::milliseconds;

// Guards against malformed load headers that would be taken as figures.
TEST_CASE("load header: three figures and an optional pace, anything else is ignored")
{
    const std::optional<ReportedLoad> load = parseLoadHeader("3,1,18");
    REQUIRE(load.has_value());
    CHECK(load->running == 3);
    CHECK(load->waiting == 1);
    CHECK(load->slots == 18);
    CHECK(load->pacePercent == 0);
    CHECK(parseLoadHeader("3, 1, 18, 140")->pacePercent == 140);
    for (const char *text : {"", "3", "3,1", "3,1,", "3,1,18,", "3,1,18,140,9", "-3,1,18", "a,1,18",
                             "3,1,18,0", "3,1,18,99999", "3,1,18,1.4", "3;1;18"}) {
        INFO(text);
        CHECK_FALSE(parseLoadHeader(text).has_value());
    }
}

// Load pattern: three in a hundred runs take seven times as long.
TEST_CASE("long runs: the mean stays that of usual runs and the high quantile is above them")
{
    CostModel model(CostModelOptions{});
    Random random(3);
    double lowest = 1e9;
    double highest = 0.0;
    for (int i = 0; i < 3'000; ++i) {
        const bool isLong = random.uniform() < 0.03;
        const auto time = milliseconds(200 + random.below(100)) * (isLong ? 7 : 1);
        model.record("r", "", time, 1.0);
        if (i < 200)
            continue;
        lowest = std::min(lowest, model.estimate("r", "")->mean);
        highest = std::max(highest, model.estimate("r", "")->mean);
    }
    CHECK(lowest >= 225.0);
    CHECK(highest <= 350.0);
    CHECK(model.estimate("r", "")->high >= 270.0);
}

// Load pattern: a machine shared with others works at changing pace.
TEST_CASE("changing pace: the work of a route is learned at normal pace")
{
    CostModel model(CostModelOptions{});
    for (int i = 0; i < 200; ++i) {
        const bool slow = i % 2 == 0;
        model.record("r", "", milliseconds(slow ? 400 : 200), slow ? 2.0 : 1.0);
    }
    CHECK(model.estimate("r", "")->mean == Approx(200.0));
}

TEST_CASE("a workspace with larger requests has an estimate of its own, others have the route's")
{
    CostModel model(CostModelOptions{.maxKinds = 1});
    for (int i = 0; i < 50; ++i) {
        model.record("r", "large", milliseconds(900), 1.0);
        model.record("r", "other", milliseconds(100), 1.0);
    }
    CHECK(model.estimate("r", "large")->mean == Approx(900.0));
    CHECK(model.estimate("r", "other")->mean < 700.0);
    CHECK_FALSE(model.estimate("unknown", "").has_value());
}

TEST_CASE("a run that exceeds the high quantile is expected to run on for long")
{
    const WorkEstimate estimate{.mean = 250.0, .high = 320.0};
    CHECK(CostModel::expectedRest(estimate, 0.0) == Approx(250.0));
    CHECK(CostModel::expectedRest(estimate, 200.0) == Approx(50.0));
    CHECK(CostModel::expectedRest(estimate, 300.0) == Approx(50.0));
    CHECK(CostModel::expectedRest(estimate, 1'000.0) == Approx(500.0));
}

// Guards against decisions based on a pace that was true some time ago.
TEST_CASE("changing pace: an old figure counts less than the long-term mean")
{
    BackendPace pace(BackendPaceOptions{});
    const SteadyTime start{std::chrono::hours(1)};
    CHECK(pace.factor(start) == Approx(1.0));
    for (int i = 0; i < 200; ++i)
        pace.record(100, start);
    for (int i = 0; i < 10; ++i)
        pace.record(300, start);
    CHECK(pace.factor(start) > 2.5);
    CHECK(pace.factor(start + milliseconds(2'000)) < 1.5);
}

} // namespace jacinthshift
