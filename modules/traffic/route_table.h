#ifndef MODULES_TRAFFIC_ROUTE_TABLE_H
#define MODULES_TRAFFIC_ROUTE_TABLE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "modules/traffic/traffic_config.h"

namespace jacinthshift {

/** A configured route with the state of its traffic split. */
class ActiveRoute
{
    TrafficRoute m_route;
    /** State of the smooth weighted round robin, one per part of the split. */
    std::vector<std::int64_t> m_currentWeights;
    std::int64_t m_totalWeight = 0;

public:
    /** The random seed makes different nodes start at different parts of the split. */
    ActiveRoute(TrafficRoute route, std::uint64_t randomSeed);

    const TrafficRoute &settings() const { return m_route; }
    /** Returns the service for the next request, or an empty string if all weights are zero. */
    const std::string &nextService();
};

/** Finds the route of a request by host and longest path prefix. */
class RouteTable
{
    // Routes of a host by path prefix. A lookup tries the prefixes of the path, longest first.
    using RoutesByPrefix = std::unordered_map<std::string, ActiveRoute>;

    std::unordered_map<std::string, RoutesByPrefix> m_routesByHost;

public:
    RouteTable() = default;
    RouteTable(const TrafficConfig &config, std::uint64_t randomSeed);

    /** Returns the route or null. The target may include a query, and the host a port. */
    ActiveRoute *find(std::string_view host, std::string_view target);
    /** Returns the number of routes of all hosts. */
    std::size_t size() const;
};

} // namespace jacinthshift

#endif // MODULES_TRAFFIC_ROUTE_TABLE_H
