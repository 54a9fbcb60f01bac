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
    cutOff.table.apply(restarted.table.recordsFrom(cutOff.table.end()));
    CHECK(cutOff.received.back() == "evacuate/a=");
    CHECK(cutOff.table.end() == 4);
    SECTION("and passes the removal on")
    {
        TableWithListener third;
        third.table.replace({.records = {record("config", "r1", 0), record("evacuate/a", "{}", 1)},
                             .endOffset = 2});
        third.table.apply(cutOff.table.recordsFrom(third.table.end()));
        CHECK(third.received.back() == "evacuate/a=");
    }
    SECTION("later records travel alone again")
    {
        restarted.table.merge({.records = {record("config", "r3", 4)}, .endOffset = 5});
        const KeyedPage later = restarted.table.recordsFrom(cutOff.table.end());
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
    second.table.merge(first.table.recordsFrom(0));
    CHECK(second.received.back() == "evacuate/a=");
    CHECK(second.table.end() == 3);
    CHECK(first.table.recordsFrom(3).records.empty());
}

} // namespace jacinthshift
