#include <catch2/catch.hpp>

#include "modules/membership/member_table.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

namespace {

MemberRecord member(const std::string &node, std::uint64_t incarnation, std::uint64_t sequence)
{
    return MemberRecord{.node = node,
                        .domain = "riga",
                        .links = {"127.0.0.1", 7000},
                        .incarnation = incarnation,
                        .sequence = sequence};
}

} // namespace

TEST_CASE("the newest record is kept regardless of the order of arrival")
{
    ManualTimerService timers;
    MemberTable table({.self = "self"}, timers);
    CHECK(table.merge(member("a", 10, 5)));
    CHECK_FALSE(table.merge(member("a", 10, 4)));
    CHECK_FALSE(table.merge(member("a", 9, 99)));
    CHECK(table.merge(member("a", 11, 0)));
    CHECK(table.find("a")->incarnation == 11);
}

TEST_CASE("a node refutes a record that marks it as down, as after a pause of its process")
{
    ManualTimerService timers;
    MemberTable table({.self = "self"}, timers);
    table.setSelf(member("self", 10, 0));
    MemberRecord markedDown = *table.self();
    markedDown.status = MemberStatus::Down;
    CHECK(table.merge(markedDown));
    CHECK(table.self()->status == MemberStatus::Alive);
    CHECK(table.self()->isNewerThan(markedDown));
}

TEST_CASE("a suspect is marked down after the suspicion timeout and only a newer record revives it")
{
    ManualTimerService timers;
    MemberTable table({.self = "self"}, timers);
    table.merge(member("a", 10, 5));
    table.markSuspect("a");
    timers.advance(std::chrono::seconds(5));
    CHECK(table.find("a")->status == MemberStatus::Down);
    CHECK_FALSE(table.merge(member("a", 10, 5)));
    CHECK(table.merge(member("a", 10, 6)));
    CHECK(table.find("a")->status == MemberStatus::Alive);
}

TEST_CASE("a replacement VM at the same address marks the former node as down")
{
    ManualTimerService timers;
    MemberTable table({.self = "self"}, timers);
    table.merge(member("old", 10, 5));
    table.merge(member("new", 20, 0));
    CHECK(table.find("old")->status == MemberStatus::Down);
    CHECK(table.find("new")->isReachable());
    MemberRecord stale = member("old", 10, 6);
    table.merge(stale);
    CHECK(table.find("new")->isReachable());
    CHECK_FALSE(table.find("old")->isReachable());
}

TEST_CASE("tables with equal records have equal digests, regardless of the order of arrival")
{
    ManualTimerService timers;
    MemberTable left({.self = "l"}, timers);
    MemberTable right({.self = "r"}, timers);
    for (int i = 0; i < 50; ++i) {
        MemberRecord record = member("n" + std::to_string(i), 1, 1);
        record.links.port = static_cast<std::uint16_t>(7000 + i);
        left.merge(record);
        record = member("n" + std::to_string(49 - i), 1, 1);
        record.links.port = static_cast<std::uint16_t>(7000 + 49 - i);
        right.merge(record);
    }
    CHECK(left.digest() == right.digest());
}

} // namespace jacinthshift
