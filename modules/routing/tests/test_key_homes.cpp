#include <catch2/catch.hpp>

#include <algorithm>

#include "core/random.h"
#include "modules/routing/key_homes.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds Retention{120'000};
constexpr std::uint64_t Seed = 7;

bool includesHome(const KeyHomes &now, const std::string &earlierHome)
{
    return now.home.node == earlierHome
           || std::any_of(now.former.begin(), now.former.end(),
                          [&](const KeyHolder &former) { return former.node == earlierHome; });
}

} // namespace

TEST_CASE("findKeyHomes returns all homes within the retention time for any join times")
{
    Random random(Seed);
    for (int round = 0; round < 2'000; ++round) {
        std::vector<KeyHolder> holders;
        const std::uint64_t count = 1 + random.below(6);
        for (std::uint64_t i = 0; i < count; ++i)
            holders.push_back(KeyHolder{
                    .node = "n" + std::to_string(i),
                    .joinedAt = static_cast<std::int64_t>(1'000'000 + random.below(500'000))});
        const std::string key = "k" + std::to_string(round);
        const std::int64_t earlier = static_cast<std::int64_t>(1'000'000 + random.below(600'000));
        const std::int64_t later = earlier + static_cast<std::int64_t>(random.below(120'000));
        std::vector<KeyHolder> earlierHolders;
        std::copy_if(holders.begin(), holders.end(), std::back_inserter(earlierHolders),
                     [earlier](const KeyHolder &holder) { return holder.joinedAt <= earlier; });
        const KeyHomes earlierHomes = findKeyHomes(earlierHolders, key, Retention, earlier);
        if (earlierHomes.home.node.empty())
            continue;
        INFO("round " << round);
        CHECK(includesHome(findKeyHomes(holders, key, Retention, later), earlierHomes.home.node));
    }
}

TEST_CASE("a lost node stays the home of its idempotency keys")
{
    const std::vector<KeyHolder> holders = {{.node = "a", .joinedAt = 0, .lost = true},
                                            {.node = "b", .joinedAt = 0}};
    int lost = 0;
    for (int i = 0; i < 100; ++i)
        lost += findKeyHomes(holders, "k" + std::to_string(i), Retention, 10'000'000).home.lost ? 1
                                                                                                : 0;
    CHECK(lost > 20);
    CHECK(lost < 80);
}

} // namespace jacinthshift
