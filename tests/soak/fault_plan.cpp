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
/** The kinds that a plan is drawn from: those before KillAllAfterDeparture. */
constexpr int DrawnKindCount = static_cast<int>(FaultKind::KillAllAfterDeparture);

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
        {"kill all after departure"},
        {"stop under load"},
}};

/** Draws a plan of faults of some of these kinds. */
std::vector<Fault> drawPlan(std::uint64_t seed, std::chrono::milliseconds injectionDuration,
                            const std::vector<FaultKind> &choices)
{
    Random random(seed);
    std::array<FaultKind, KindsPerSoak> kinds{};
    for (FaultKind &kind : kinds)
        kind = choices[random.below(choices.size())];
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

} // namespace

std::string_view faultName(FaultKind kind)
{
    return TraitsByKind[static_cast<std::size_t>(kind)].name;
}

bool isPlanned(FaultKind kind)
{
    return TraitsByKind[static_cast<std::size_t>(kind)].planned;
}

std::vector<Fault> drawDepartureFaults(std::uint64_t seed,
                                       std::chrono::milliseconds injectionDuration)
{
    constexpr std::uint64_t Stream = 0x6465706172740000; // Apart from the other plan.
    constexpr std::chrono::milliseconds MaxInterval{12'000};
    Random random(seed ^ Stream);
    std::vector<Fault> faults;
    if (random.below(2) == 0)
        return faults;
    std::chrono::milliseconds at{0};
    while ((at += random.jitter(MaxInterval)) < injectionDuration)
        faults.push_back(Fault{.kind = FaultKind::KillAllAfterDeparture,
                               .at = at,
                               .duration = std::chrono::milliseconds(1'000),
                               .target = random.below(1'000)});
    return faults;
}

std::vector<Fault> drawStopsUnderLoad(std::uint64_t seed,
                                      std::chrono::milliseconds injectionDuration)
{
    constexpr std::uint64_t Stream = 0x6c6f61645f730000; // Apart from the other plans.
    constexpr std::chrono::milliseconds MinInterval{6'000};
    constexpr std::chrono::milliseconds MaxFurtherInterval{4'000};
    constexpr std::chrono::milliseconds MaxTimeBeforeStop{3'000};
    Random random(seed ^ Stream);
    std::vector<Fault> faults;
    std::chrono::milliseconds at = random.jitter(MaxFurtherInterval);
    for (; at < injectionDuration; at += MinInterval + random.jitter(MaxFurtherInterval))
        faults.push_back(Fault{.kind = FaultKind::StopUnderLoad,
                               .at = at,
                               .duration = random.jitter(MaxTimeBeforeStop),
                               .target = random.below(1'000)});
    return faults;
}

std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds injectionDuration)
{
    std::vector<FaultKind> kinds(DrawnKindCount);
    for (int kind = 0; kind < DrawnKindCount; ++kind)
        kinds[static_cast<std::size_t>(kind)] = static_cast<FaultKind>(kind);
    return drawPlan(seed, injectionDuration, kinds);
}

std::vector<Fault> drawPlannedOperations(std::uint64_t seed,
                                         std::chrono::milliseconds injectionDuration)
{
    std::vector<FaultKind> kinds;
    for (int kind = 0; kind < DrawnKindCount; ++kind) {
        if (isPlanned(static_cast<FaultKind>(kind)))
            kinds.push_back(static_cast<FaultKind>(kind));
    }
    return drawPlan(seed, injectionDuration, kinds);
}

} // namespace jacinthshift
