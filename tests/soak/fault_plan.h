#ifndef TESTS_SOAK_FAULT_PLAN_H
#define TESTS_SOAK_FAULT_PLAN_H

#include <chrono>
#include <cstdint>
#include <string_view>
#include <vector>

namespace jacinthshift {

/** The kinds of faults and planned operations that a soak injects. */
enum class FaultKind {
    KillNode,
    KillDomain,
    KillAll,
    FreezeNode, ///< Suspends a node with SIGSTOP until the fault ends.
    StopNode,   ///< Stops a node gracefully, with SIGTERM.
    StopInTurn, ///< Stops all nodes one after the other.
    Reload,     ///< Makes a node reload its settings, with SIGHUP.
    StoreDown,
    StoreSlow,
    StoreLosesAnswers,    ///< Appends take effect but are not answered.
    StoreDiscardsHistory, ///< Discards all records; the newest value of each key stays readable.
    StoreCutFromNode,     ///< Closes and refuses connections between a node and the store.
    CutDomain,            ///< Closes and refuses connections between two failure domains.
    HoldDomain,           ///< Withholds the bytes of both directions until the fault ends.
    HoldOneWay,           ///< As HoldDomain, in one direction.
    SilenceLinks,         ///< Connections open at that time carry nothing more; new ones work.
    ResetLinks,           ///< Closes the connections open at that time.
    DelayLinks,
    BackendCrash,
    BackendFails,
    BackendSlow,
    BackendHangs,
    BackendCold,
    BackendDrains,
    DrainInTurn,
    ChangeConfig,
    ConfigStorm,           ///< Publishes eight configurations in quick succession.
    TakeOutDomain,         ///< Takes a failure domain out of service, and brings it back later.
    Burst,                 ///< Multiplies the request rate.
    KillAllAfterDeparture, ///< Kills all nodes right after a backend server's leaving was
                           ///< acknowledged.
    StopUnderLoad, ///< Stops nodes with little processor time, which callers keep busy until their
                   ///< processes have ended.
};

constexpr int FaultKindCount = static_cast<int>(FaultKind::StopUnderLoad) + 1;

/** Returns the name of the fault in reports and records. */
std::string_view faultName(FaultKind kind);

/** Returns whether it is a planned operation, which must not affect callers or backend servers. */
bool isPlanned(FaultKind kind);

/** One scheduled fault of a soak. */
struct Fault
{
    FaultKind kind = FaultKind::KillNode;
    std::chrono::milliseconds at{0}; ///< Start, counted from the start of fault injection.
    std::chrono::milliseconds duration{0};
    std::uint64_t target = 0; ///< Taken modulo the number of nodes, domains or backend servers.
};

/**
 * Draws departures of backend servers after which all nodes are killed, for half of the seeds.
 * Apart from drawFaults(), so that the plans of seeds that have failed stay as they were.
 */
std::vector<Fault> drawDepartureFaults(std::uint64_t seed,
                                       std::chrono::milliseconds injectionDuration);

/**
 * Draws a plan of single, repeated and overlapping faults. Each ends within the injection duration,
 * except that operations on all nodes in turn may take longer. The same seed and duration give the
 * same plan.
 */
std::vector<Fault> drawFaults(std::uint64_t seed, std::chrono::milliseconds injectionDuration);

/** The same with planned operations alone, which must affect no caller. */
std::vector<Fault> drawPlannedOperations(std::uint64_t seed,
                                         std::chrono::milliseconds injectionDuration);

/** Draws stops of nodes that are kept busy by callers, alone. */
std::vector<Fault> drawStopsUnderLoad(std::uint64_t seed,
                                      std::chrono::milliseconds injectionDuration);

} // namespace jacinthshift

#endif // TESTS_SOAK_FAULT_PLAN_H
