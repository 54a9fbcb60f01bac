#include <catch2/catch.hpp>

#include "modules/feed/operator_table.h"

namespace jacinthshift {

namespace {

KeyedRecord record(const std::string &key, const std::string &value, std::uint64_t offset)
{
    return KeyedRecord{.key = key, .value = value, .offset = offset};
}

/** A table that writes down what its listener hears. */
struct ListenedTable
{
    OperatorTable table;
    std::vector<std::string> heard;

    ListenedTable()
    {
        table.setListener(
                [this](const KeyedRecord &news) { heard.push_back(news.key + "=" + news.value); });
    }
};

} // namespace

TEST_CASE("records that arrive late or twice never put an older value in force")
{
    ListenedTable listened;
    listened.table.merge({.records = {record("config", "r7", 6)}, .end = 7});
    listened.table.merge({.records = {record("config", "r5", 4)}, .end = 5});
    listened.table.merge({.records = {record("config", "r7", 6)}, .end = 7});
    CHECK(listened.heard == std::vector<std::string>{"config=r7"});
    CHECK(listened.table.end() == 7);
}

TEST_CASE("of several records of a key in one page only the newest is told")
{
    ListenedTable listened;
    listened.table.merge(
            {.records = {record("config", "r1", 0), record("config", "r2", 1)}, .end = 2});
    CHECK(listened.heard == std::vector<std::string>{"config=r2"});
}

TEST_CASE("a key that a whole table lacks was removed, also if its removal was never seen")
{
    ListenedTable listened;
    listened.table.merge({.records = {record("evacuate/a", "{}", 3)}, .end = 4});
    listened.table.replace({.records = {record("config", "r9", 8)}, .end = 9});
    CHECK(listened.heard == std::vector<std::string>{"evacuate/a={}", "config=r9", "evacuate/a="});
    SECTION("and an older whole table does not bring it back")
    {
        listened.table.replace({.records = {record("evacuate/a", "{}", 3)}, .end = 5});
        CHECK(listened.heard.size() == 3);
    }
}

TEST_CASE("what one node tells another brings it to the same state, removals included")
{
    ListenedTable first;
    ListenedTable second;
    first.table.merge({.records = {record("config", "r1", 0), record("evacuate/a", "{}", 1),
                                   record("evacuate/a", "", 2)},
                       .end = 3});
    second.table.merge({.records = {record("evacuate/a", "{}", 1)}, .end = 2});
    second.table.merge(first.table.since(0));
    CHECK(second.heard.back() == "evacuate/a=");
    CHECK(second.table.end() == 3);
    CHECK(first.table.since(3).records.empty());
}

} // namespace jacinthshift
