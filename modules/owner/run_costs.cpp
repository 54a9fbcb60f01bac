#include "modules/owner/run_costs.h"

#include <algorithm>
#include <cmath>

#include "modules/cost/load_header.h"

namespace jacinthshift {

namespace {

constexpr double PerCent = 100.0;

std::chrono::milliseconds rounded(double milliseconds)
{
    return std::chrono::milliseconds(std::llround(milliseconds));
}

} // namespace

void RunCosts::recordLoad(std::string_view header, SteadyTime now)
{
    const std::optional<ReportedLoad> load = parseLoadHeader(header);
    if (!load)
        return;
    m_hasLoad = true;
    if (load->pacePercent > 0)
        m_pace.record(load->pacePercent, now);
}

void RunCosts::recordRun(const std::string &route, const std::string &workspace,
                         std::chrono::microseconds serviceTime, SteadyTime now)
{
    m_model.record(route, workspace, serviceTime, m_pace.factor(now));
}

void RunCosts::added(std::uint64_t id, const std::string &route, const std::string &workspace)
{
    std::optional<WorkEstimate> estimate = m_model.estimate(route, workspace);
    if (!estimate)
        estimate = m_model.overall();
    if (estimate)
        m_remaining.add(id, *estimate);
}

void RunCosts::reset()
{
    m_model.clear();
    m_pace = BackendPace(BackendPaceOptions{});
    m_hasLoad = false;
}

std::optional<std::chrono::milliseconds>
RunCosts::expectedTime(const std::string &route, const std::string &workspace, SteadyTime now) const
{
    const std::optional<WorkEstimate> estimate = m_model.estimate(route, workspace);
    if (!m_hasLoad || !estimate)
        return std::nullopt;
    return rounded(estimate->mean * m_pace.factor(now));
}

std::chrono::milliseconds RunCosts::meanTime(SteadyTime now) const
{
    const std::optional<WorkEstimate> overall = m_model.overall();
    if (!m_hasLoad || !overall)
        return std::chrono::milliseconds(0);
    return rounded(overall->mean * m_pace.factor(now));
}

double RunCosts::remainingMilliseconds(SteadyTime now) const
{
    if (m_sumAt == SteadyTime() || now - m_sumAt >= MaxSumAge) {
        m_sum = m_remaining.total(now, m_pace.factor(now));
        m_sumAt = now;
    }
    return m_sum;
}

void RunCosts::fill(BackendStatus &status, SteadyTime now) const
{
    const std::optional<WorkEstimate> overall = m_model.overall();
    if (!m_hasLoad || !overall)
        return;
    status.remainingWork = rounded(remainingMilliseconds(now));
    status.normalRunTime = std::max(std::chrono::milliseconds(1), rounded(overall->mean));
    if (m_pace.isKnown())
        status.pacePercent = static_cast<std::uint32_t>(std::lround(m_pace.factor(now) * PerCent));
}

} // namespace jacinthshift
