#include "modules/cost/cost_model.h"

#include <algorithm>

namespace jacinthshift {

namespace {

// Rest of a run that has exceeded the mean but not the high quantile, as a fraction of the mean.
constexpr double MinRestFraction = 0.2;
// Rest of a run beyond the high quantile, as a fraction of its work so far. Long runs take three to
// seven times as long as usual ones.
constexpr double LongRunRestFraction = 0.5;

} // namespace

std::string CostModel::kindKey(const std::string &route, const std::string &workspace)
{
    std::string key = route;
    key.push_back('\0');
    key += workspace;
    return key;
}

void CostModel::update(Learned &learned, double work) const
{
    ++learned.runs;
    WorkEstimate &estimate = learned.estimate;
    if (learned.runs == 1) {
        estimate = WorkEstimate{.mean = work, .high = work};
        return;
    }
    // The first runs count alike, so that the very first does not dominate.
    const double weight = std::max(m_options.newestWeight, 1.0 / learned.runs);
    // With few runs, the mean itself may be wrong.
    const bool settled = learned.runs > m_options.minRuns;
    const double counted = settled ? std::min(work, estimate.mean * m_options.maxOutlier) : work;
    estimate.mean += weight * (counted - estimate.mean);
    const double step = m_options.quantileStep * estimate.high;
    estimate.high += work > estimate.high ? step * m_options.highQuantile
                                          : -step * (1.0 - m_options.highQuantile);
    estimate.high = std::max(estimate.high, estimate.mean);
}

void CostModel::record(const std::string &route, const std::string &workspace,
                       std::chrono::microseconds serviceTime, double pace)
{
    const double milliseconds = std::chrono::duration<double, std::milli>(serviceTime).count();
    if (milliseconds <= 0.0 || pace <= 0.0)
        return;
    const double work = milliseconds / pace;
    update(m_all, work);
    update(m_routes[route], work);
    if (workspace.empty())
        return;
    const std::string key = kindKey(route, workspace);
    const auto known = m_kinds.find(key);
    if (known != m_kinds.end())
        update(known->second, work);
    else if (m_kinds.size() < m_options.maxKinds)
        update(m_kinds[key], work);
}

std::optional<WorkEstimate> CostModel::estimate(const std::string &route,
                                                const std::string &workspace) const
{
    if (!workspace.empty()) {
        const auto kind = m_kinds.find(kindKey(route, workspace));
        if (kind != m_kinds.end() && kind->second.runs >= m_options.minRuns)
            return kind->second.estimate;
    }
    const auto found = m_routes.find(route);
    if (found == m_routes.end() || found->second.runs < m_options.minRuns)
        return std::nullopt;
    return found->second.estimate;
}

std::optional<WorkEstimate> CostModel::overall() const
{
    if (m_all.runs < m_options.minRuns)
        return std::nullopt;
    return m_all.estimate;
}

void CostModel::clear()
{
    m_routes.clear();
    m_kinds.clear();
    m_all = Learned();
}

double CostModel::expectedRest(const WorkEstimate &estimate, double done)
{
    if (done > estimate.high)
        return std::max(done * LongRunRestFraction, estimate.mean * MinRestFraction);
    return std::max(estimate.mean - done, estimate.mean * MinRestFraction);
}

} // namespace jacinthshift
