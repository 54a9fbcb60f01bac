#include "tests/soak/fault_plan.h"

#include <algorithm>
#include <array>
#include <cmath>

#include "core/random.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds MeanFaultInterval{1'300};
constexpr std::chrono::milliseconds MinFaultDuration{300};
constexpr std::chrono::milliseconds MaxFaultDuration{5'000};
// One fault in this many repeats the kind of the fault before it, after a quarter of the usual
// interval.
constexpr std::uint64_t RepeatOneIn = 4;

// Each soak uses only a few kinds, so that the same kinds overlap several times.
constexpr std::size_t KindsPerSoak = 8;

struct KindTraits
{
    std::string_view name;
    bool planned = false;
};

constexpr std::array<KindTraits, FaultKindCount> TraitsByKind{{
        {"kill node"},
        {"kill domain"},
        {"kill all"},
        {"freeze node"},
        {"stop", true},
        {"stop in turn", true},
        {"reload", true},
        {"store down"},
        {"store slow"},
        {"store loses answers"},
        {"store discards history"},
        {"store cut from node"},
        {"cut domain"},
        {"hold domain"},
        {"hold one way"},
        {"silence links"},
        {"reset links"},
        {"delay links"},
        {"backend crash"},
        {"backend fails"},
        {"backend slow"},
        {"backend hangs"},
        {"backend cold"},
        {"backend drains", true},
        {"drain in turn", true},
        {"change config", true},
        {"config storm", true},
        {"take out domain", true},
        {"burst"},
}};

} // namespace

std::string_view faultName(FaultKind kind)
{
    return TraitsByKind[static_cast<std::size_t>(kind)].name;
}

bool isPlanned(FaultKind kind)
{
    return TraitsByKind[static_cast<std::size_t>(kind)].planned;
}

std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds injectionDuration)
{
    Random random(seed);
    std::array<FaultKind, KindsPerSoak> kinds{};
    for (FaultKind &kind : kinds)
        kind = static_cast<FaultKind>(random.below(FaultKindCount));
    std::vector<Fault> faults;
    std::chrono::milliseconds at{0};
    while (true) {
        const bool repeatsKind = !faults.empty() && random.below(RepeatOneIn) == 0;
        const double relativeInterval = -std::log(1.0 - random.uniform());
        at += std::chrono::duration_cast<std::chrono::milliseconds>(
                MeanFaultInterval * (repeatsKind ? relativeInterval / 4.0 : relativeInterval));
        if (at >= injectionDuration)
            return faults;
        const FaultKind kind = repeatsKind ? faults.back().kind : kinds[random.below(kinds.size())];
        const std::chrono::milliseconds duration =
                MinFaultDuration + random.jitter(MaxFaultDuration - MinFaultDuration);
        faults.push_back(Fault{.kind = kind,
                               .at = at,
                               .duration = std::min(duration, injectionDuration - at),
                               .target = random.below(1'000)});
    }
}

} // namespace jacinthshift
