#ifndef CORE_HASH_H
#define CORE_HASH_H

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthshift {

/** Returns a 64-bit hash of the bytes; the same on every node and in every build. */
std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed = 0);

/** Combines two hashes into one; the order of the arguments matters. */
std::uint64_t combineHash(std::uint64_t left, std::uint64_t right);

/** Returns the rendezvous weight of a candidate for a key; the highest weight wins. */
std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate);

/** Formats a hash as 16 hexadecimal digits. */
std::string formatHash(std::uint64_t hash);

} // namespace jacinthshift

#endif // CORE_HASH_H
