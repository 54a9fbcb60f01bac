#ifndef MODULES_ROUTING_KEY_HOMES_H
#define MODULES_ROUTING_KEY_HOMES_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace jacinthshift {

/** A node that may store idempotency keys of a service. */
struct KeyHolder
{
    std::string node;
    std::int64_t joinedAt = 0; ///< Milliseconds since the Unix epoch.
    bool lost = false;         ///< The node is gone, and its stored keys with it.
};

/** The nodes that have to be asked about an idempotency key. */
struct KeyHomes
{
    KeyHolder home;                ///< Decides on the key now; an empty node if there is none.
    std::vector<KeyHolder> former; ///< Decided on it within the retention time of keys.
};

/**
 * Returns the present home of a key and its former homes within the retention time.
 *
 * At any time the home is the node with the highest rendezvous weight among those that joined at
 * least the retention time before, or among all that have joined if there are none of those. A node
 * that was the home at any time within the retention time may still store the key, so the former
 * homes have to be asked as well; one that is lost cannot be asked.
 */
KeyHomes findKeyHomes(const std::vector<KeyHolder> &holders, const std::string &key,
                      std::chrono::milliseconds retention, std::int64_t nowMilliseconds);

} // namespace jacinthshift

#endif // MODULES_ROUTING_KEY_HOMES_H
