#include <catch2/catch.hpp>

#include "modules/owner/failure_share.h"

namespace jacinthshift {

using std::chrono::milliseconds;

TEST_CASE("Failing minority: the share of failures is measured after a second of requests",
          "[owner]")
{
    FailureShare share{FailureShareOptions{}};
    SteadyTime now{std::chrono::hours(1)};
    for (int request = 0; request < 20; ++request) {
        now += milliseconds(50);
        share.add(request % 2 == 0, now);
    }
    CHECK(share.perThousand(now) > 300);
    CHECK(share.perThousand(now) < 600);
}

TEST_CASE("Failing minority: an avoided backend server is tried again after a few seconds",
          "[owner]")
{
    FailureShare share{FailureShareOptions{}};
    const SteadyTime start{std::chrono::hours(1)};
    for (int request = 0; request < 100; ++request)
        share.add(true, start);
    CHECK(share.perThousand(start) > 950);
    CHECK(share.perThousand(start + std::chrono::seconds(12)) < 100);
}

} // namespace jacinthshift
