#include "modules/traffic/route_table.h"

#include <algorithm>
#include <cctype>

#include "core/hash.h"

namespace jacinthshift {

namespace {

std::string lowerCase(std::string_view text)
{
    std::string lower(text);
    std::transform(lower.begin(), lower.end(), lower.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return lower;
}

/** Returns a host without its port, in lower case. */
std::string hostName(std::string_view host)
{
    return lowerCase(host.substr(0, host.find(':')));
}

} // namespace

ActiveRoute::ActiveRoute(TrafficRoute route, std::uint64_t randomSeed) : m_route(std::move(route))
{
    for (const SplitPart &part : m_route.parts)
        m_totalWeight += part.weight;
    const std::uint64_t hash = combineHash(randomSeed, stableHash(m_route.name));
    for (std::size_t i = 0; i < m_route.parts.size(); ++i) {
        const std::int64_t range = m_totalWeight > 0 ? m_totalWeight : 1;
        m_currentWeights.push_back(static_cast<std::int64_t>(combineHash(hash, i) % range));
    }
}

const std::string &ActiveRoute::nextService()
{
    static const std::string noService;
    std::size_t best = m_route.parts.size();
    for (std::size_t i = 0; i < m_route.parts.size(); ++i) {
        if (m_route.parts[i].weight == 0)
            continue;
        m_currentWeights[i] += m_route.parts[i].weight;
        if (best == m_route.parts.size() || m_currentWeights[i] > m_currentWeights[best])
            best = i;
    }
    if (best == m_route.parts.size())
        return noService;
    m_currentWeights[best] -= m_totalWeight;
    return m_route.parts[best].service;
}

RouteTable::RouteTable(const TrafficConfig &config, std::uint64_t randomSeed)
{
    for (const TrafficRoute &route : config.routes)
        m_routesByHost[hostName(route.host)].insert_or_assign(route.prefix,
                                                              ActiveRoute(route, randomSeed));
}

ActiveRoute *RouteTable::find(std::string_view host, std::string_view target)
{
    const auto routes = m_routesByHost.find(hostName(host));
    if (routes == m_routesByHost.end())
        return nullptr;
    std::string_view path = target.substr(0, target.find_first_of("?#"));
    while (!path.empty()) {
        const std::size_t slash = path.rfind('/');
        if (slash == std::string_view::npos)
            return nullptr;
        const auto found = routes->second.find(std::string(path.substr(0, slash + 1)));
        if (found != routes->second.end())
            return &found->second;
        path = path.substr(0, slash);
    }
    return nullptr;
}

std::size_t RouteTable::size() const
{
    std::size_t count = 0;
    for (const auto &[host, routes] : m_routesByHost)
        count += routes.size();
    return count;
}

} // namespace jacinthshift
