#ifndef MODULES_TRAFFIC_ROUTE_TABLE_H
#define MODULES_TRAFFIC_ROUTE_TABLE_H

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>

#include "modules/traffic/traffic_config.h"

namespace jacinthshift {

/** A route in force, with the state that divides its requests among its parts. */
class ActiveRoute
{
    TrafficRoute m_route;
    std::vector<std::int64_t> m_credits; ///< One per part, for smooth weighted round robin.
    std::int64_t m_totalWeight = 0;

public:
    /** The seed spreads the first choices of different nodes over the parts. */
    ActiveRoute(TrafficRoute route, std::uint64_t seed);

    const TrafficRoute &settings() const { return m_route; }
    /** Returns the service that takes the next request. Empty if no part has a weight. */
    const std::string &nextService();
};

/** Finds the route of a request by host and longest path prefix. */
class RouteTable
{
    // Prefixes of a host by their text; a lookup tries the path's own prefixes, longest first.
    using Prefixes = std::unordered_map<std::string, ActiveRoute>;

    std::unordered_map<std::string, Prefixes> m_hosts;

public:
    RouteTable() = default;
    RouteTable(const TrafficConfig &config, std::uint64_t seed);

    /** Returns the route, or null. The target may carry a query; the host may carry a port. */
    ActiveRoute *find(std::string_view host, std::string_view target);
    std::size_t size() const;
};

} // namespace jacinthshift

#endif // MODULES_TRAFFIC_ROUTE_TABLE_H
