#include <catch2/catch.hpp>

#include "modules/feed/operator_table.h"

namespace jacinthshift {

namespace {

KeyedRecord record(const std::string &key, const std::string &value, std::uint64_t offset)
{
    return KeyedRecord{.key = key, .value = value, .offset = offset};
}

/** A table with a listener that records its calls. */
struct TableWithListener
{
    OperatorTable table;
    std::vector<std::string> received;

    TableWithListener()
    {
        table.setListener([this](const KeyedRecord &newer) {
            received.push_back(newer.key + "=" + newer.value);
        });
    }
};

} // namespace

TEST_CASE("records that arrive late or twice never replace a newer value")
{
    TableWithListener observed;
    observed.table.merge({.records = {record("config", "r7", 6)}, .endOffset = 7});
    observed.table.merge({.records = {record("config", "r5", 4)}, .endOffset = 5});
    observed.table.merge({.records = {record("config", "r7", 6)}, .endOffset = 7});
    CHECK(observed.received == std::vector<std::string>{"config=r7"});
    CHECK(observed.table.end() == 7);
}

TEST_CASE("the listener receives only the newest of several records of a key in one page")
{
    TableWithListener observed;
    observed.table.merge(
            {.records = {record("config", "r1", 0), record("config", "r2", 1)}, .endOffset = 2});
    CHECK(observed.received == std::vector<std::string>{"config=r2"});
}

TEST_CASE("replacing the table removes the keys that it lacks, even if their removal was missed")
{
    TableWithListener observed;
    observed.table.merge({.records = {record("evacuate/a", "{}", 3)}, .endOffset = 4});
    observed.table.replace({.records = {record("config", "r9", 8)}, .endOffset = 9});
    CHECK(observed.received
          == std::vector<std::string>{"evacuate/a={}", "config=r9", "evacuate/a="});
    SECTION("an older whole table does not restore a removed key")
    {
        observed.table.replace({.records = {record("evacuate/a", "{}", 3)}, .endOffset = 5});
        CHECK(observed.received.size() == 3);
    }
}

// Guards against a failure domain that stays out of service, or a server that is used again, on
// nodes that were cut off from the log while the key was removed.
TEST_CASE("a node that missed a removal learns of it from a node that read the table after it")
{
    TableWithListener cutOff;
    TableWithListener restarted;
    cutOff.table.replace({.records = {record("config", "r1", 0), record("evacuate/a", "{}", 1)},
                          .endOffset = 2});
    // Offset 2 removed the key; the whole table does not show that.
    restarted.table.replace({.records = {record("config", "r2", 3)}, .endOffset = 4});
    cutOff.table.apply(restarted.table.recordsFrom(cutOff.table.position()));
    CHECK(cutOff.received.back() == "evacuate/a=");
    CHECK(cutOff.table.end() == 4);
    SECTION("and passes the removal on")
    {
        TableWithListener third;
        third.table.replace({.records = {record("config", "r1", 0), record("evacuate/a", "{}", 1)},
                             .endOffset = 2});
        third.table.apply(cutOff.table.recordsFrom(third.table.position()));
        CHECK(third.received.back() == "evacuate/a=");
    }
    SECTION("later records travel alone again")
    {
        restarted.table.merge({.records = {record("config", "r3", 4)}, .endOffset = 5});
        const KeyedPage later = restarted.table.recordsFrom(cutOff.table.position());
        CHECK_FALSE(later.isWholeTable);
        CHECK(later.records.size() == 1);
    }
}

TEST_CASE("merging another node's records yields the same state, including removals")
{
    TableWithListener first;
    TableWithListener second;
    first.table.merge({.records = {record("config", "r1", 0), record("evacuate/a", "{}", 1),
                                   record("evacuate/a", "", 2)},
                       .endOffset = 3});
    second.table.merge({.records = {record("evacuate/a", "{}", 1)}, .endOffset = 2});
    second.table.merge(first.table.recordsFrom({}));
    CHECK(second.received.back() == "evacuate/a=");
    CHECK(second.table.end() == 3);
    CHECK(first.table.recordsFrom({.offset = 3}).records.empty());
}

namespace {

/** Returns the whole table of a log in an era. */
KeyedPage wholeTable(std::uint64_t era, std::uint64_t endOffset, std::vector<KeyedRecord> records)
{
    for (KeyedRecord &held : records)
        held.era = era;
    return {.records = std::move(records),
            .endOffset = endOffset,
            .era = era,
            .isWholeTable = true};
}

/** A table that has seen a failure domain taken out, brought back and taken out again. */
void readThreeOrders(OperatorTable &table)
{
    table.replace(wholeTable(0, 1, {record("config", "r1", 0)}));
    table.merge({.records = {record("evacuate/a", "{}", 1)}, .endOffset = 2});
    table.merge({.records = {record("evacuate/a", "", 2)}, .endOffset = 3});
    table.merge({.records = {record("evacuate/b", "{}", 3)}, .endOffset = 4});
}

} // namespace

// Guards against orders that come back, or end, because the store came back from an older copy.
TEST_CASE("a restored copy of the log changes nothing that is known to be newer")
{
    TableWithListener observed;
    readThreeOrders(observed.table);
    observed.received.clear();
    // The copy was made before the first domain was brought back and the second one taken out.
    observed.table.restore(
            wholeTable(1, 2, {record("config", "r1", 0), record("evacuate/a", "{}", 1)}));
    CHECK(observed.received.empty());
    CHECK(observed.table.position() == TablePosition{.era = 1, .offset = 2});
    SECTION("what the operator writes again is no change either")
    {
        observed.table.merge(
                {.records = {{.key = "evacuate/a", .offset = 2, .era = 1},
                             {.key = "evacuate/b", .value = "{}", .offset = 3, .era = 1}},
                 .endOffset = 4,
                 .era = 1});
        CHECK(observed.received.empty());
    }
    SECTION("a whole table of the same era does not end an order that it lacks")
    {
        observed.table.replace(wholeTable(1, 2, {record("config", "r1", 0)}));
        CHECK(observed.received.empty());
    }
}

// Guards against changes that are ignored because their offsets were used before the restore.
TEST_CASE("after a restore a record is newer whatever its offset")
{
    TableWithListener observed;
    readThreeOrders(observed.table);
    observed.received.clear();
    SECTION("read with the whole table, at an offset that held another record")
    {
        observed.table.restore(
                wholeTable(1, 3, {record("config", "r2", 2), record("evacuate/a", "{}", 1)}));
        CHECK(observed.received == std::vector<std::string>{"config=r2"});
    }
    SECTION("an order of another kind at the offset of a removal")
    {
        observed.table.restore(wholeTable(
                1, 4, {record("config", "r1", 0), record("evacuate/a", "{\"x\":1}", 2)}));
        CHECK(observed.received == std::vector<std::string>{"evacuate/a={\"x\":1}"});
    }
    SECTION("read later, twice in a row")
    {
        observed.table.restore(wholeTable(1, 1, {record("config", "r1", 0)}));
        observed.table.merge({.records = {{.key = "config", .value = "r2", .offset = 1, .era = 1}},
                              .endOffset = 2,
                              .era = 1});
        observed.table.restore(wholeTable(2, 1, {record("config", "r1", 0)}));
        observed.table.merge({.records = {{.key = "config", .value = "r3", .offset = 1, .era = 2}},
                              .endOffset = 2,
                              .era = 2});
        CHECK(observed.received == std::vector<std::string>{"config=r2", "config=r3"});
    }
}

// Guards against nodes that keep a state from before the restore, or pass it on as the newer one.
TEST_CASE("a node that missed the restore takes over the state of a node that saw it")
{
    TableWithListener missed;
    TableWithListener restored;
    readThreeOrders(missed.table);
    readThreeOrders(restored.table);
    restored.table.restore(wholeTable(1, 1, {record("config", "r1", 0)}));
    restored.table.merge({.records = {{.key = "config", .value = "r2", .offset = 1, .era = 1}},
                          .endOffset = 2,
                          .era = 1});
    missed.received.clear();
    int restores = 0;
    missed.table.setRestoreListener([&restores](std::uint64_t) { ++restores; });
    missed.table.apply(restored.table.recordsFrom(missed.table.position()));
    CHECK(missed.received == std::vector<std::string>{"config=r2"});
    CHECK(missed.table.position() == restored.table.position());
    CHECK(restores == 1);
    restored.table.apply(missed.table.recordsFrom({}));
    CHECK(restored.received.back() == "config=r2");
}

// Guards against a restarted node that serves with the older configuration of the copy.
TEST_CASE("a node that starts after a restore takes what the log has lost from another node")
{
    TableWithListener started;
    TableWithListener running;
    running.table.replace(wholeTable(0, 2, {record("config", "r2", 1)}));
    running.table.restore(wholeTable(1, 1, {record("config", "r1", 0)}));
    started.table.replace(wholeTable(1, 1, {record("config", "r1", 0)}));
    REQUIRE(started.table.mayLackRecords());
    started.table.apply(running.table.recordsFrom({}));
    CHECK(started.received == std::vector<std::string>{"config=r1", "config=r2"});
    CHECK_FALSE(started.table.mayLackRecords());
}

} // namespace jacinthshift
