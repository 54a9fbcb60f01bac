#include "core/hash.h"

namespace jacinthshift {

namespace {

constexpr std::uint64_t FnvOffsetBasis = 14695981039346656037ULL;
constexpr std::uint64_t FnvPrime = 1099511628211ULL;

// The SplitMix64 finaliser. FNV-1a alone leaves the high bits of short keys too regular for ranking
// by hash.
std::uint64_t finalMix(std::uint64_t value)
{
    value ^= value >> 30U;
    value *= 0xbf58476d1ce4e5b9ULL;
    value ^= value >> 27U;
    value *= 0x94d049bb133111ebULL;
    value ^= value >> 31U;
    return value;
}

} // namespace

std::uint64_t stableHash(std::string_view bytes, std::uint64_t seed)
{
    std::uint64_t hash = FnvOffsetBasis ^ finalMix(seed);
    for (const char byte : bytes) {
        hash ^= static_cast<unsigned char>(byte);
        hash *= FnvPrime;
    }
    return finalMix(hash);
}

std::uint64_t combineHash(std::uint64_t left, std::uint64_t right)
{
    return finalMix(left * FnvPrime + right);
}

std::uint64_t rendezvousWeight(std::string_view key, std::string_view candidate)
{
    return combineHash(stableHash(key), stableHash(candidate));
}

std::string formatHash(std::uint64_t hash)
{
    static constexpr std::string_view Digits = "0123456789abcdef";
    std::string text(16, '0');
    for (std::size_t i = 0; i < text.size(); ++i) {
        text[text.size() - 1 - i] = Digits[hash & 0xfU];
        hash >>= 4U;
    }
    return text;
}

} // namespace jacinthshift
