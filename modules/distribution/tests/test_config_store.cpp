#include <catch2/catch.hpp>

#include "modules/config/config_codec.h"
#include "modules/distribution/config_store.h"

namespace jacinthshift {

namespace {

std::vector<LogRecord> makeRecords(std::uint64_t from, std::uint64_t to)
{
    std::vector<LogRecord> records;
    for (std::uint64_t offset = from; offset <= to; ++offset)
        records.push_back(
                LogRecord{.offset = offset, .payload = "record " + std::to_string(offset)});
    return records;
}

} // namespace

TEST_CASE("the version does not change when an old snapshot, old records or a gap are offered")
{
    ConfigStore old;
    ConfigStore store;
    REQUIRE(old.applyRecords(makeRecords(1, 3)).ok());
    REQUIRE(store.applyRecords(makeRecords(1, 5)).ok());
    CHECK_FALSE(store.installSnapshot(old.snapshot()).ok());
    CHECK(store.applyRecords(makeRecords(1, 2)).ok());
    CHECK(store.version() == 5);
    CHECK_FALSE(store.applyRecords(makeRecords(7, 8)).ok());
    CHECK(store.version() == 5);
}

TEST_CASE("records of a peer are applied only if the hash over the log matches")
{
    ConfigStore source;
    ConfigStore store;
    REQUIRE(source.applyRecords(makeRecords(1, 4)).ok());
    std::vector<LogRecord> tampered = source.recordsFrom(1, 10);
    tampered[1].payload = "something else";
    CHECK_FALSE(store.applyPeerRecords(tampered, source.chainHashAt(4)).ok());
    CHECK(store.version() == 0);
    CHECK(store.applyPeerRecords(source.recordsFrom(1, 10), source.chainHashAt(4)).ok());
    CHECK(store.state().chainHash() == source.state().chainHash());
    CHECK(store.applyPeerRecords(source.recordsFrom(2, 2), source.chainHashAt(3)).ok());
    CHECK(store.version() == 4);
}

TEST_CASE("a node serves only after its floor is known and its version has reached it")
{
    ConfigStore store;
    CHECK_FALSE(store.mayServe());
    store.raiseFloor(3);
    REQUIRE(store.applyRecords(makeRecords(1, 2)).ok());
    CHECK_FALSE(store.mayServe());
    REQUIRE(store.applyRecords(makeRecords(3, 3)).ok());
    CHECK(store.mayServe());
    store.raiseFloor(1);
    CHECK(store.floor() == 3);
}

} // namespace jacinthshift
