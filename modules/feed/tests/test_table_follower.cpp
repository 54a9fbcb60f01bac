#include <catch2/catch.hpp>

#include "modules/feed/table_follower.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct Following
{
    FakeKeyedLog log;
    ManualTimerService timers;
    OperatorTable table;
    TableFollower follower{TableFollowerOptions{.table = "t"}, log, timers, table};
};

} // namespace

TEST_CASE("a follower reads the whole table first and then the records that follow")
{
    Following f;
    f.log.put("t", "config", "r1");
    f.follower.setActive(true);
    CHECK(f.table.end() == 1);
    f.log.put("t", "config", "r2");
    f.timers.advance(milliseconds(500));
    CHECK(f.table.end() == 2);
    CHECK(f.follower.isReachable());
}

TEST_CASE("after an outage a follower catches up within the maximum retry delay")
{
    Following f;
    f.follower.setActive(true);
    f.log.unavailable = true;
    f.log.failPendingReads();
    f.timers.advance(milliseconds(20'000));
    CHECK_FALSE(f.follower.isReachable());
    f.log.put("t", "config", "r2");
    f.log.unavailable = false;
    f.timers.advance(milliseconds(1'000));
    CHECK(f.table.end() == 1);
    CHECK(f.follower.isReachable());
}

TEST_CASE("a follower reads the whole table again when the log has dropped its history")
{
    Following f;
    f.log.put("t", "evacuate/a", "{}");
    f.follower.setActive(true);
    std::vector<std::string> removed;
    f.table.setListener([&](const KeyedRecord &record) {
        if (record.isRemoval())
            removed.push_back(record.key);
    });
    f.log.unavailable = true;
    f.log.failPendingReads();
    f.log.remove("t", "evacuate/a");
    f.log.dropOldRecords("t");
    f.log.put("t", "config", "r3");
    f.log.unavailable = false;
    f.timers.advance(milliseconds(2'000));
    CHECK(f.table.end() == 3);
    CHECK(removed == std::vector<std::string>{"evacuate/a"});
}

TEST_CASE("an inactive follower does not call the log")
{
    Following f;
    f.follower.setActive(true);
    f.follower.setActive(false);
    f.log.failPendingReads();
    const int calls = f.log.callCount;
    f.timers.advance(milliseconds(10'000));
    CHECK(f.log.callCount == calls);
}

} // namespace jacinthshift
