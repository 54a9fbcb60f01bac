#include "modules/routing/key_homes.h"

#include <algorithm>

#include "core/hash.h"

namespace jacinthshift {

namespace {

/** Returns the node with the highest rendezvous weight of those that joined by a time, or null. */
const KeyHolder *nodeWithHighestWeight(const std::vector<KeyHolder> &holders,
                                       const std::string &key, std::int64_t joinedBy)
{
    const KeyHolder *best = nullptr;
    std::uint64_t bestWeight = 0;
    for (const KeyHolder &holder : holders) {
        if (holder.joinedAt > joinedBy)
            continue;
        const std::uint64_t weight = rendezvousWeight(key, holder.node);
        if (best == nullptr || weight > bestWeight) {
            best = &holder;
            bestWeight = weight;
        }
    }
    return best;
}

/** Returns the home of a key at a time in milliseconds since the Unix epoch, or null. */
const KeyHolder *homeAt(const std::vector<KeyHolder> &holders, const std::string &key,
                        std::int64_t retention, std::int64_t time)
{
    const KeyHolder *established = nodeWithHighestWeight(holders, key, time - retention);
    return established != nullptr ? established : nodeWithHighestWeight(holders, key, time);
}

} // namespace

KeyHomes findKeyHomes(const std::vector<KeyHolder> &holders, const std::string &key,
                      std::chrono::milliseconds retention, std::int64_t nowMilliseconds)
{
    KeyHomes homes;
    const KeyHolder *home = homeAt(holders, key, retention.count(), nowMilliseconds);
    if (home == nullptr)
        return homes;
    homes.home = *home;
    // The home changes only when a node joins or has been a member for the retention time.
    std::vector<std::int64_t> changeTimes = {nowMilliseconds - retention.count()};
    for (const KeyHolder &holder : holders) {
        changeTimes.push_back(holder.joinedAt - 1);
        changeTimes.push_back(holder.joinedAt + retention.count() - 1);
    }
    std::vector<const KeyHolder *> seen = {home};
    for (const std::int64_t changeTime : changeTimes) {
        if (changeTime < nowMilliseconds - retention.count() || changeTime > nowMilliseconds)
            continue;
        const KeyHolder *former = homeAt(holders, key, retention.count(), changeTime);
        if (former == nullptr || std::find(seen.begin(), seen.end(), former) != seen.end())
            continue;
        seen.push_back(former);
        homes.former.push_back(*former);
    }
    return homes;
}

} // namespace jacinthshift
