#include <catch2/catch.hpp>

#include "modules/feed/table_follower.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/manual_boot_clock.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct FollowerFixture
{
    FakeKeyedLog log;
    ManualTimerService timers;
    OperatorTable table;
    TableFollower follower{TableFollowerOptions{.table = "t"}, log, timers, table};
};

} // namespace

TEST_CASE("a follower reads the whole table first and then the records that follow")
{
    FollowerFixture fixture;
    fixture.log.put("t", "config", "r1");
    fixture.follower.setActive(true);
    CHECK(fixture.table.end() == 1);
    fixture.log.put("t", "config", "r2");
    fixture.timers.advance(milliseconds(500));
    CHECK(fixture.table.end() == 2);
    CHECK(fixture.follower.isReachable());
}

TEST_CASE("after an outage a follower catches up within the maximum retry delay")
{
    FollowerFixture fixture;
    fixture.follower.setActive(true);
    fixture.log.unavailable = true;
    fixture.log.failPendingReads();
    fixture.timers.advance(milliseconds(20'000));
    CHECK_FALSE(fixture.follower.isReachable());
    fixture.log.put("t", "config", "r2");
    fixture.log.unavailable = false;
    fixture.timers.advance(milliseconds(1'000));
    CHECK(fixture.table.end() == 1);
    CHECK(fixture.follower.isReachable());
}

TEST_CASE("a follower reads the whole table again when the log has dropped its history")
{
    FollowerFixture fixture;
    fixture.log.put("t", "evacuate/a", "{}");
    fixture.follower.setActive(true);
    std::vector<std::string> removed;
    fixture.table.setListener([&](const KeyedRecord &record) {
        if (record.isRemoval())
            removed.push_back(record.key);
    });
    fixture.log.unavailable = true;
    fixture.log.failPendingReads();
    fixture.log.remove("t", "evacuate/a");
    fixture.log.dropAllRecords("t");
    fixture.log.put("t", "config", "r3");
    fixture.log.unavailable = false;
    fixture.timers.advance(milliseconds(2'000));
    CHECK(fixture.table.end() == 3);
    CHECK(removed == std::vector<std::string>{"evacuate/a"});
}

// Guards against configurations that are not in force in time because a reader waits on a
// connection that will carry no answer.
TEST_CASE("a follower whose long poll is never answered reads a change within two seconds")
{
    FollowerFixture fixture;
    fixture.log.put("t", "config", "r1");
    fixture.follower.setActive(true);
    fixture.timers.advance(milliseconds(700));
    fixture.log.losePendingReads();
    fixture.log.put("t", "config", "r2");
    fixture.timers.advance(milliseconds(2'000));
    CHECK(fixture.table.end() == 2);
}

// Guards against readers that are still waiting for an answer from before an outage of the store
// when nodes have to apply changes again, 3 s after its end.
TEST_CASE("a follower reads a change soon after the end of an outage without answers")
{
    FollowerFixture fixture;
    fixture.log.put("t", "config", "r1");
    fixture.follower.setActive(true);
    const milliseconds outage(GENERATE(900, 2'300, 4'000, 6'900, 12'000));
    fixture.timers.advance(milliseconds(700));
    fixture.log.losePendingReads();
    fixture.log.silent = true;
    fixture.timers.advance(outage);
    fixture.log.silent = false;
    fixture.log.put("t", "config", "r2");
    fixture.timers.advance(milliseconds(2'000));
    CHECK(fixture.table.end() == 2);
    CHECK(fixture.follower.isReachable());
}

TEST_CASE("a follower that starts during an outage without answers reads the table after its end")
{
    FollowerFixture fixture;
    fixture.log.put("t", "config", "r1");
    fixture.log.silent = true;
    fixture.follower.setActive(true);
    fixture.timers.advance(milliseconds(5'000));
    CHECK_FALSE(fixture.follower.isReachable());
    fixture.log.silent = false;
    fixture.timers.advance(milliseconds(2'000));
    CHECK(fixture.table.end() == 1);
}

// Guards against followers that wait for offsets beyond the end of a restored log, or read on from
// an offset that now holds another record.
TEST_CASE("a follower of a restored log reads the whole table and goes on from its end")
{
    FollowerFixture fixture;
    fixture.log.put("t", "config", "r1");
    fixture.log.put("t", "config", "r2");
    fixture.follower.setActive(true);
    fixture.timers.advance(milliseconds(700));
    fixture.log.silent = GENERATE(false, true);
    fixture.log.restoreWithout("t", 1);
    const std::uint64_t writtenSince = GENERATE(0U, 1U, 3U);
    for (std::uint64_t i = 0; i < writtenSince; ++i)
        fixture.log.put("t", "config", "r" + std::to_string(3 + i));
    fixture.timers.advance(milliseconds(600));
    fixture.log.silent = false;
    fixture.timers.advance(milliseconds(3'000));
    const std::uint64_t end = 1 + writtenSince;
    CHECK(fixture.table.position() == TablePosition{.era = 1, .offset = end});
    fixture.log.put("t", "config", "r9");
    fixture.timers.advance(milliseconds(1'500));
    CHECK(fixture.table.position() == TablePosition{.era = 1, .offset = end + 1});
}

TEST_CASE("an inactive follower does not call the log")
{
    FollowerFixture fixture;
    fixture.follower.setActive(true);
    fixture.follower.setActive(false);
    fixture.log.failPendingReads();
    const int calls = fixture.log.callCount;
    fixture.timers.advance(milliseconds(10'000));
    CHECK(fixture.log.callCount == calls);
}

// Guards against knowledge that counts from an answer although the store read the table earlier.
TEST_CASE("a follower reports an answered read with the time at which it was sent")
{
    FollowerFixture fixture;
    ManualBootClock clock;
    std::vector<BootTime> reported;
    fixture.follower.setReadListener(clock, [&](BootTime sentAt) {
        reported.push_back(sentAt);
        CHECK(fixture.table.end() == fixture.log.newest("t", "config").size());
    });
    fixture.log.put("t", "config", "1");
    const BootTime start = clock.now();
    fixture.follower.setActive(true);
    REQUIRE(reported.size() == 1);
    CHECK(reported[0] == start);
    clock.advance(milliseconds(500));
    fixture.timers.advance(milliseconds(500)); // The next read waits for a record.
    clock.advance(milliseconds(700));
    fixture.log.put("t", "config", "22");
    REQUIRE(reported.size() == 2);
    CHECK(reported[1] == start + milliseconds(500));
}

// Guards against a store that is away, or a page that was cut off, and counts as known.
TEST_CASE("a follower does not report a read that failed or did not reach the table's end")
{
    FollowerFixture fixture;
    ManualBootClock clock;
    int reported = 0;
    fixture.follower.setReadListener(clock, [&](BootTime) { ++reported; });
    fixture.log.unavailable = true;
    fixture.follower.setActive(true);
    fixture.timers.advance(milliseconds(3'000));
    CHECK(reported == 0);
    fixture.log.unavailable = false;
    fixture.log.cutsPages = true;
    fixture.log.put("t", "config", "1");
    fixture.timers.advance(milliseconds(1'000));
    CHECK(fixture.table.end() == 1);
    const int afterWholeTable = reported;
    fixture.log.put("t", "config", "2");
    fixture.timers.advance(milliseconds(10));
    CHECK(fixture.table.end() == 2);
    CHECK(reported == afterWholeTable);
}

} // namespace jacinthshift
