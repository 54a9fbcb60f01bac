#ifndef MODULES_TRAFFIC_TRAFFIC_CONFIG_H
#define MODULES_TRAFFIC_TRAFFIC_CONFIG_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace jacinthshift {

/** One service in the traffic split of a route. */
struct SplitPart
{
    std::string service;
    std::uint32_t weight = 1; ///< Relative to the other parts of the route.
};

/** Settings for the requests of one host below one path prefix. */
struct TrafficRoute
{
    std::string name;
    std::string host;
    std::string prefix; ///< Begins and ends with a slash.
    bool idempotent = false;
    bool isPublic = false; ///< Requests need no workspace key.
    /** Maximum time until the caller is answered; zero for the default. */
    std::chrono::milliseconds timeout{0};
    /** Time after which a response loses most of its use; zero if not configured. */
    std::chrono::milliseconds targetLatency{0};
    std::uint32_t priority = 0;    ///< 0 is the most urgent.
    std::uint32_t maxAttempts = 1; ///< Backend servers that a request may reach.
    std::vector<SplitPart> parts;
};

/** The operator's settings for the backend servers of one service. */
struct ServicePolicy
{
    std::string healthPath;
    std::uint32_t maxConnections = 0;
    std::chrono::milliseconds coldPeriod{0}; ///< How long a started backend server stays cold.
    double coldRequestsPerSecond = 0.0;      ///< Request rate a cold backend server can sustain.
};

/** Limits on the size and duration of callers' requests. */
struct CallerLimits
{
    std::size_t maxHeaderBytes = 16 * 1024;
    std::size_t maxBodyBytes = 64 * 1024 * 1024;
    std::chrono::milliseconds headerTimeout{3'000}; ///< Time limit for the head of a request.
    std::chrono::milliseconds idleTimeout{15'000};  ///< Idle connections are closed after this.
};

/** A customer of the deployment. */
struct Workspace
{
    std::string name;
    std::vector<std::string> keys; ///< Each identifies the workspace in requests.
    /** Priority of its requests in place of the route's; 0 is the most urgent. */
    std::optional<std::uint32_t> priority;
};

/** The operator's complete traffic configuration, at one version. */
struct TrafficConfig
{
    std::uint64_t version = 0;
    std::vector<TrafficRoute> routes;
    std::map<std::string, ServicePolicy> services;
    CallerLimits limits;
    /** Absent if requests carry no workspace keys. */
    std::optional<std::vector<Workspace>> workspaces;
};

/** The operator's request to move a service to another version of its software. */
struct RolloutOrder
{
    std::string service;
    std::string targetVersion;
    std::chrono::milliseconds duration{0}; ///< Time within which it has to be completed.

    bool operator==(const RolloutOrder &) const = default;
};

} // namespace jacinthshift

#endif // MODULES_TRAFFIC_TRAFFIC_CONFIG_H
