#ifndef MODULES_TRAFFIC_TRAFFIC_CONFIG_H
#define MODULES_TRAFFIC_TRAFFIC_CONFIG_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace jacinthshift {

/** One service that takes a share of a route's requests. */
struct SplitPart
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other parts of the route.
};

/** What is in force for the requests of one host below one path. */
struct TrafficRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false;
    std::chrono::milliseconds timeout{0};       ///< The longest a caller is kept waiting.
    std::chrono::milliseconds targetLatency{0}; ///< Zero if the operator named none.
    std::uint32_t priority = 0;                 ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1;              ///< Backend servers that one request may reach.
    std::vector<SplitPart> parts;
};

/** What the operator says of one service's backend servers. */
struct ServicePolicy
{
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    std::chrono::milliseconds coldPeriod{0}; ///< How long a started backend server stays cold.
    double coldRequestsPerSecond = 0.0;      ///< What a cold backend server bears.
};

/** What callers may send, and how long they may take. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3'000};
    std::chrono::milliseconds idleTimeout{15'000};
};

/** The operator's whole configuration of the traffic, at one version. */
struct TrafficConfig
{
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::map<std::string, ServicePolicy> services;
    CallerLimits limits;
};

/** The operator's request to move a service to another version of its software. */
struct RolloutOrder
{
    std::string service;
    std::string targetVersion;
    std::chrono::milliseconds duration{0}; ///< The time in which it has to be finished.
};

} // namespace jacinthshift

#endif // MODULES_TRAFFIC_TRAFFIC_CONFIG_H
