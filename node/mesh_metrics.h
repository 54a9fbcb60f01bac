#ifndef NODE_MESH_METRICS_H
#define NODE_MESH_METRICS_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "core/byte_account.h"
#include "drivers/epoll/epoll_loop.h"
#include "modules/feed/operator_table.h"
#include "modules/feed/table_follower.h"
#include "modules/fleet/fleet_network.h"
#include "modules/forwarding/traffic_metrics.h"
#include "modules/owner/crash_exchange.h"
#include "node/graceful_shutdown.h"
#include "node/loop_monitor.h"

namespace jacinthshift {

/** The values and components from which a mesh node's metrics are written. */
struct MeshMetricsSources
{
    const TrafficMetrics &traffic;
    const FleetNetwork &network;
    const OperatorTable &table;
    const TableFollower &follower;
    const LoopMonitor &loop;
    bool keysEnabled = false;  ///< Whether requests carry workspace keys.
    bool keysVerified = false; ///< Whether keyed requests are accepted.
    /** Time since the configuration in force was known to be the newest, if ever. */
    std::optional<std::chrono::milliseconds> knowledgeAge;
    BackendStatus backend;
    std::uint64_t configVersion = 0;
    std::size_t callerConnections = 0;
    std::uint64_t abandonedRequests = 0;
    std::uint64_t requestsRunAhead = 0;
    std::size_t bufferedResponseBytes = 0;
    std::size_t openRequests = 0;
    std::uint64_t orphanedCalls = 0;
    std::size_t crashSuspects = 0;
    const CrashExchange &crashes;
    std::size_t pendingDepartures = 0; ///< Of backend servers, not in the store yet.
    bool reportsUsage = false;         ///< Whether this node holds the duty of reporting usage.
    const LongestIterationParts &loopParts;
    const GracefulShutdown &shutdown;
    const ByteAccount &account;
    /** Calls to the platform's store, by outcome. */
    const std::map<std::string, std::uint64_t> &storeCalls;
};

/** Returns a mesh node's metrics in the text exposition format. */
std::string meshMetricsText(const MeshMetricsSources &sources);

} // namespace jacinthshift

#endif // NODE_MESH_METRICS_H
