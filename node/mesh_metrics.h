#ifndef NODE_MESH_METRICS_H
#define NODE_MESH_METRICS_H

#include <cstdint>
#include <map>
#include <string>

#include "modules/feed/operator_table.h"
#include "modules/feed/table_follower.h"
#include "modules/fleet/fleet_network.h"
#include "modules/forwarding/traffic_metrics.h"

namespace jacinthshift {

/** What the metrics of a mesh node are taken from. */
struct MeshMetricsSources
{
    const TrafficMetrics &traffic;
    const FleetNetwork &network;
    const OperatorTable &table;
    const TableFollower &follower;
    BackendStatus backend;
    std::uint64_t configVersion = 0;
    std::size_t callerConnections = 0;
    std::size_t openRequests = 0;
    const std::map<std::string, std::uint64_t> &storeCalls; ///< By outcome.
};

/** Writes a mesh node's metrics in the text exposition format. */
std::string meshMetricsText(const MeshMetricsSources &sources);

} // namespace jacinthshift

#endif // NODE_MESH_METRICS_H
