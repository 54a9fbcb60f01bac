#ifndef TESTS_SOAK_FAULT_PLAN_H
#define TESTS_SOAK_FAULT_PLAN_H

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jacinthshift {

enum class FaultKind {
    KillNode,
    KillDomain,
    KillAll,
    FreezeNode,
    StopNode,
    StopInTurn,
    Reload,
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,
    StoreForgets,
    StoreCutFromNode,
    CutDomain,
    HoldDomain, ///< Bytes of both directions wait until the end.
    HoldOneWay,
    SilenceLinks,
    ResetLinks,
    DelayLinks,
    BackendCrash,
    BackendFails,
    BackendSlow,
    BackendHangs,
    BackendCold,
    BackendDrains,
    DrainInTurn,
    ChangeConfig,
    ConfigStorm,
    TakeOutDomain,
    Burst,
};

constexpr int FaultKindCount = static_cast<int>(FaultKind::Burst) + 1;

std::string_view faultName(FaultKind kind);

/** Returns whether it is planned work, during which callers and backend servers lose nothing. */
bool isPlanned(FaultKind kind);

/** One fault of a soak. */
struct Fault
{
    FaultKind kind = FaultKind::KillNode;
    std::chrono::milliseconds at{0};
    std::chrono::milliseconds duration{0};
    std::uint64_t target = 0; ///< Taken modulo the number of nodes, domains or backend servers.
};

/** Draws faults that come in series and overlap; the same seed gives the same plan. */
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds length);

} // namespace jacinthshift

#endif // TESTS_SOAK_FAULT_PLAN_H
