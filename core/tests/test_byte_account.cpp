#include <catch2/catch.hpp>

#include <memory>

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

namespace {

struct LeasedHolder final : ByteHolder
{
    ByteLease lease;
    bool evicted = false;

    void evict() override { evicted = true; }
};

} // namespace

// Guards against memory that is used before there is room for it.
TEST_CASE("a lease waits until the holders that were evicted for it are gone")
{
    const auto account =
            std::make_shared<ByteAccount>(ByteAccountOptions{.limit = 100, .reservedShare = 0.0});
    LeasedHolder slow;
    REQUIRE(account->extend(slow.lease, 80, {.since = start}, start) == LeaseResult::Granted);
    account->hold(slow, {.leasedBytes = 80, .since = start}, start);
    ByteLease lease;
    const auto later = start + seconds(2);
    CHECK(account->extend(lease, 50, {.since = later}, later) == LeaseResult::Evicting);
    CHECK(slow.evicted);
    CHECK(account->extend(lease, 50, {.since = later}, later) == LeaseResult::Evicting);
    slow.lease.reset();
    account->release(slow);
    CHECK(account->extend(lease, 50, {.since = later}, later) == LeaseResult::Granted);
    CHECK(account->bytes() == 50);
    CHECK(account->evictions() == 1);
    lease.reset();
    CHECK(account->bytes() == 0);
}

TEST_CASE("a lease evicts no holder that is ahead of the requester")
{
    const auto account = std::make_shared<ByteAccount>(
            ByteAccountOptions{.limit = 100, .expectedBytesPerSecond = 10.0});
    LeasedHolder holder;
    REQUIRE(account->extend(holder.lease, 80, {.since = start}, start) == LeaseResult::Granted);
    account->hold(holder, {.leasedBytes = 80, .progress = 30, .since = start}, start + seconds(2));
    ByteLease lease;
    const auto later = start + seconds(2);
    CHECK(account->extend(lease, 50, {.since = later}, later) == LeaseResult::Refused);
    CHECK_FALSE(holder.evicted);
    CHECK(account->refusals() == 1);
    account->release(holder);
}

// The kernel takes megabytes at once for a peer that then reads nothing.
TEST_CASE("a holder that has stopped is behind, however much its peer has taken before")
{
    const auto account = std::make_shared<ByteAccount>(ByteAccountOptions{.limit = 100});
    LeasedHolder stalled;
    account->hold(stalled, {.bytes = 90, .progress = 5'000'000, .since = start}, start);
    ByteLease lease;
    const auto soon = start + std::chrono::milliseconds(100);
    CHECK(account->extend(lease, 50, {.since = soon}, soon) == LeaseResult::Refused);
    const auto later = start + seconds(1);
    CHECK(account->extend(lease, 50, {.since = later}, later) != LeaseResult::Refused);
    CHECK(stalled.evicted);
    account->release(stalled);
}

TEST_CASE("large leases leave a part of the room to small ones")
{
    const auto account = std::make_shared<ByteAccount>(
            ByteAccountOptions{.limit = 1'000, .smallLeaseBytes = 100, .reservedShare = 0.2});
    CHECK(account->canGrant(800));
    CHECK_FALSE(account->canGrant(801));
    ByteLease large;
    ByteLease small;
    CHECK(account->extend(large, 801, {.since = start}, start) == LeaseResult::Refused);
    CHECK(account->extend(large, 800, {.since = start}, start) == LeaseResult::Granted);
    CHECK(account->extend(small, 100, {.since = start}, start) == LeaseResult::Granted);
}

} // namespace jacinthshift
