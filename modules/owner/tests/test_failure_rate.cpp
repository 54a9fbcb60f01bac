#include <catch2/catch.hpp>

#include "modules/owner/failure_rate.h"

namespace jacinthshift {

using std::chrono::milliseconds;

TEST_CASE("failing minority: the failure rate is near the true rate after a second of requests",
          "[owner]")
{
    FailureRate rate{FailureRateOptions{}};
    SteadyTime now{std::chrono::hours(1)};
    for (int request = 0; request < 20; ++request) {
        now += milliseconds(50);
        rate.add(request % 2 == 0, now);
    }
    CHECK(rate.perThousand(now) > 300);
    CHECK(rate.perThousand(now) < 600);
}

TEST_CASE("failing minority: an avoided backend server is tried again after a few seconds",
          "[owner]")
{
    FailureRate rate{FailureRateOptions{}};
    const SteadyTime start{std::chrono::hours(1)};
    for (int request = 0; request < 100; ++request)
        rate.add(true, start);
    CHECK(rate.perThousand(start) > 950);
    CHECK(rate.perThousand(start + std::chrono::seconds(12)) < 100);
}

} // namespace jacinthshift
