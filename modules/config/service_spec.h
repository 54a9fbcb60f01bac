#ifndef MODULES_CONFIG_SERVICE_SPEC_H
#define MODULES_CONFIG_SERVICE_SPEC_H

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include <absl/status/status.h>

namespace jacinthshift {

constexpr std::size_t MaxNameLength = 63; ///< In characters.
constexpr std::size_t MaxRoutesPerService = 64;
constexpr std::size_t MaxNeedsPerService = 64;
constexpr std::uint32_t FullShare = 1000; ///< All traffic, in thousandths.

/** One route of a service: which requests it matches and how they are handled. */
struct RouteSpec
{
    std::string prefix = "/";
    std::vector<std::string> methods; ///< Empty for any method.
    bool idempotent = false;          ///< Whether a request may safely run twice.
    std::chrono::milliseconds timeout{1000};

    bool operator==(const RouteSpec &) const = default;
};

/** The configuration of one service in the mesh. */
struct ServiceSpec
{
    std::string name;
    std::string version;            ///< The label that its backend servers announce.
    std::vector<std::string> needs; ///< The services that it calls.
    std::vector<RouteSpec> routes;

    bool operator==(const ServiceSpec &) const = default;

    /** Returns the route with the longest prefix among those that match the request, or null. */
    const RouteSpec *findRoute(const std::string &method, const std::string &path) const;
};

/** One stage of a release. */
struct ReleaseStage
{
    std::uint32_t share = FullShare;       ///< In thousandths of the traffic.
    std::chrono::milliseconds bakeTime{0}; ///< Planned minimum duration of the stage.
    std::uint32_t minSamples = 0;          ///< Requests to the candidate before the stage may end.

    bool operator==(const ReleaseStage &) const = default;
};

/** What happens at the deadline to a release with too few requests to judge it. */
enum class ThinEvidence { Finish, Withdraw };

/** How a change is released to callers. Without stages it takes effect immediately. */
struct ReleasePlan
{
    std::vector<ReleaseStage> stages;
    std::chrono::milliseconds finishWithin{0}; ///< From publication to the deadline.
    std::chrono::milliseconds watchPeriod{0};  ///< How long the old version is retained afterwards.
    ThinEvidence thinEvidence = ThinEvidence::Finish;

    bool operator==(const ReleasePlan &) const = default;
};

/**
 * Returns whether a name of a service, version or failure domain has 1 to MaxNameLength characters
 * of a-z, 0-9, '-' and '.'.
 */
bool isValidName(const std::string &name);

/** Checks a service without regard to other services. Returns InvalidArgument with the reason. */
absl::Status validateServiceSpec(const ServiceSpec &spec);

/** Checks a plan: shares must increase up to FullShare and durations must be in range. */
absl::Status validateReleasePlan(const ReleasePlan &plan);

} // namespace jacinthshift

#endif // MODULES_CONFIG_SERVICE_SPEC_H
