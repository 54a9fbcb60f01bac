#ifndef NODE_MESH_METRICS_H
#define NODE_MESH_METRICS_H

#include <cstdint>
#include <map>
#include <string>

#include "modules/feed/operator_table.h"
#include "modules/feed/table_follower.h"
#include "modules/fleet/fleet_network.h"
#include "modules/forwarding/traffic_metrics.h"
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
    BackendStatus backend;
    std::uint32_t refusedRuns = 0; ///< Runs refused because their calls would be.
    std::uint64_t configVersion = 0;
    std::size_t callerConnections = 0;
    std::uint64_t abandonedRequests = 0;
    std::size_t openRequests = 0;
    std::uint64_t orphanedCalls = 0;
    std::size_t crashSuspects = 0;
    /** Calls to the platform's store, by outcome. */
    const std::map<std::string, std::uint64_t> &storeCalls;
};

/** Returns a mesh node's metrics in the text exposition format. */
std::string meshMetricsText(const MeshMetricsSources &sources);

} // namespace jacinthshift

#endif // NODE_MESH_METRICS_H
