#include "modules/config/service_spec.h"

#include <algorithm>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::hours MaxRouteTimeout{1};
constexpr std::chrono::hours MaxReleaseDuration{24 * 30};

bool matchesPrefix(const std::string &path, const std::string &prefix)
{
    if (path.compare(0, prefix.size(), prefix) != 0)
        return false;
    // "/chairs" matches "/chairs" and "/chairs/7" but not "/chairstand".
    return prefix.back() == '/' || path.size() == prefix.size() || path[prefix.size()] == '/'
           || path[prefix.size()] == '?';
}

bool allowsMethod(const RouteSpec &route, const std::string &method)
{
    return route.methods.empty()
           || std::find(route.methods.begin(), route.methods.end(), method) != route.methods.end();
}

absl::Status validateRoute(const ServiceSpec &spec, const RouteSpec &route)
{
    if (route.prefix.empty() || route.prefix.front() != '/')
        return absl::InvalidArgumentError(
                joinText("service ", spec.name, ": a route's path must start with '/'"));
    if (route.timeout <= std::chrono::milliseconds(0) || route.timeout > MaxRouteTimeout)
        return absl::InvalidArgumentError(joinText("service ", spec.name, ", route ", route.prefix,
                                                   ": the timeout must be from 1ms to 1h"));
    return absl::OkStatus();
}

} // namespace

const RouteSpec *ServiceSpec::findRoute(const std::string &method, const std::string &path) const
{
    const RouteSpec *best = nullptr;
    for (const RouteSpec &route : routes) {
        if (!matchesPrefix(path, route.prefix) || !allowsMethod(route, method))
            continue;
        if (best == nullptr || route.prefix.size() > best->prefix.size())
            best = &route;
    }
    return best;
}

bool isValidName(const std::string &name)
{
    if (name.empty() || name.size() > MaxNameLength)
        return false;
    return std::all_of(name.begin(), name.end(), [](char c) {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '-' || c == '.';
    });
}

absl::Status validateServiceSpec(const ServiceSpec &spec)
{
    if (!isValidName(spec.name))
        return absl::InvalidArgumentError(joinText("service name '", spec.name,
                                                   "' must be 1 to 63 of a-z, 0-9, '-' and '.'"));
    if (!isValidName(spec.version))
        return absl::InvalidArgumentError(joinText("service ", spec.name, ": version '",
                                                   spec.version,
                                                   "' must be 1 to 63 of a-z, 0-9, '-' and '.'"));
    if (spec.routes.empty() || spec.routes.size() > MaxRoutesPerService)
        return absl::InvalidArgumentError(joinText("service ", spec.name, " must have from 1 to ",
                                                   MaxRoutesPerService, " routes"));
    if (spec.needs.size() > MaxNeedsPerService)
        return absl::InvalidArgumentError(joinText("service ", spec.name, " needs more than ",
                                                   MaxNeedsPerService, " services"));
    for (const RouteSpec &route : spec.routes) {
        const absl::Status status = validateRoute(spec, route);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

absl::Status validateReleasePlan(const ReleasePlan &plan)
{
    if (plan.stages.empty())
        return absl::OkStatus();
    std::uint32_t previousShare = 0;
    std::chrono::milliseconds totalBakeTime{0};
    for (const ReleaseStage &stage : plan.stages) {
        if (stage.share <= previousShare || stage.share > FullShare)
            return absl::InvalidArgumentError("the shares of a release must grow up to 1000");
        if (stage.bakeTime < std::chrono::milliseconds(0) || stage.bakeTime > MaxReleaseDuration)
            return absl::InvalidArgumentError("a stage's bake time is out of range");
        previousShare = stage.share;
        totalBakeTime += stage.bakeTime;
    }
    if (previousShare != FullShare)
        return absl::InvalidArgumentError("the last stage of a release must take all traffic");
    if (plan.finishWithin <= totalBakeTime || plan.finishWithin > MaxReleaseDuration)
        return absl::InvalidArgumentError("a release must have more time than its stages' bakes");
    if (plan.watchPeriod < std::chrono::milliseconds(0) || plan.watchPeriod > MaxReleaseDuration)
        return absl::InvalidArgumentError("a release's watch time is out of range");
    return absl::OkStatus();
}

} // namespace jacinthshift
