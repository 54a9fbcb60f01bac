#ifndef MODULES_FLEET_CALL_KEY_H
#define MODULES_FLEET_CALL_KEY_H

#include <compare>
#include <cstdint>
#include <string>

namespace jacinthshift {

/** Identifies a call at its owner. The number alone is repeated by each process of a node. */
struct CallKey
{
    std::string node;          ///< The calling node.
    std::uint64_t process = 0; ///< Incarnation of its process that made the call.
    std::uint64_t number = 0;  ///< Id of the call in that process.

    auto operator<=>(const CallKey &) const = default;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_CALL_KEY_H
