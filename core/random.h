#ifndef CORE_RANDOM_H
#define CORE_RANDOM_H

#include <chrono>
#include <cstdint>
#include <random>

namespace jacinthshift {

/** A seeded pseudo-random number generator; the same seed gives the same sequence. */
class Random
{
    std::mt19937_64 m_engine;

public:
    explicit Random(std::uint64_t seed) : m_engine(seed) {}

    /** Returns an integer in the range [0, bound), or 0 if the bound is 0. */
    std::uint64_t below(std::uint64_t bound) { return bound == 0 ? 0 : m_engine() % bound; }

    /** Returns a uniformly distributed number in the range [0, 1). */
    double uniform() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_engine); }

    /** Returns a uniformly distributed delay in the range [0, cap] (full jitter). */
    std::chrono::milliseconds jitter(std::chrono::milliseconds cap)
    {
        return std::chrono::milliseconds(below(static_cast<std::uint64_t>(cap.count()) + 1));
    }
};

} // namespace jacinthshift

#endif // CORE_RANDOM_H
