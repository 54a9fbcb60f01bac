#include <catch2/catch.hpp>

#include "core/byte_account.h"

namespace jacinthshift {

namespace {

using std::chrono::seconds;

struct Holder final : ByteHolder
{
    bool evicted = false;

    void evict() override { evicted = true; }
};

const std::chrono::steady_clock::time_point start{};

} // namespace

// Guards against memory use without bound, and against evicting a peer that reads as it should.
TEST_CASE("a full byte account evicts the holder that is furthest behind")
{
    ByteAccount account({.limit = 1'000, .expectedBytesPerSecond = 10.0});
    Holder reader;
    Holder stalled;
    Holder newest;
    account.hold(reader, {.bytes = 500, .progress = 200, .since = start}, start + seconds(10));
    account.hold(stalled, {.bytes = 400, .since = start + seconds(5)}, start + seconds(10));
    CHECK(account.bytes() == 900);
    account.hold(newest, {.bytes = 300, .since = start + seconds(10)}, start + seconds(10));
    CHECK(stalled.evicted);
    CHECK_FALSE(reader.evicted);
    CHECK_FALSE(newest.evicted);
    CHECK(account.bytes() == 800);
    CHECK(account.evictions() == 1);
}

TEST_CASE("of equally slow holders the largest is evicted")
{
    ByteAccount account({.limit = 100});
    Holder small;
    Holder large;
    account.hold(small, {.bytes = 40, .since = start}, start);
    account.hold(large, {.bytes = 70, .since = start}, start);
    CHECK(large.evicted);
    CHECK_FALSE(small.evicted);
    CHECK(account.bytes() == 40);
}

TEST_CASE("a holder above the limit is evicted although it is the only one")
{
    ByteAccount account({.limit = 100});
    Holder holder;
    account.hold(holder, {.bytes = 101, .since = start}, start);
    CHECK(holder.evicted);
    CHECK(account.bytes() == 0);
    account.release(holder);
    CHECK(account.bytes() == 0);
}

TEST_CASE("a holder's newer figures replace its earlier ones")
{
    ByteAccount account({.limit = 100});
    Holder holder;
    account.hold(holder, {.bytes = 80, .since = start}, start);
    account.hold(holder, {.bytes = 60, .progress = 20, .since = start}, start);
    CHECK(account.bytes() == 60);
    account.release(holder);
    CHECK(account.bytes() == 0);
    CHECK(account.evictions() == 0);
}

} // namespace jacinthshift
