#include "modules/owner/workspace_shares.h"

#include <cmath>

namespace jacinthshift {

namespace {

// The stored counts are rescaled after this many time constants, well before they overflow.
constexpr double MaxGrowthExponent = 30.0;
// A workspace whose offered requests have decayed below this is dropped.
constexpr double NegligibleRequests = 0.05;

} // namespace

double WorkspaceShares::growth(SteadyTime now) const
{
    return std::exp(std::chrono::duration<double>(now - m_epoch)
                    / std::chrono::duration<double>(m_options.timeConstant));
}

void WorkspaceShares::moveEpoch(SteadyTime now)
{
    if (now - m_epoch < m_options.timeConstant * static_cast<int>(MaxGrowthExponent))
        return;
    purge(now);
    const double factor = 1.0 / growth(now);
    const auto scale = [factor](Share &share) {
        share.offered *= factor;
        share.started *= factor;
        share.service *= factor;
    };
    for (auto &[workspace, share] : m_shares)
        scale(share);
    scale(m_total);
    m_epoch = now;
}

void WorkspaceShares::purge(SteadyTime now)
{
    const double negligible = NegligibleRequests * growth(now);
    std::erase_if(m_shares,
                  [negligible](const auto &entry) { return entry.second.offered < negligible; });
    m_purgedAt = now;
}

const WorkspaceShares::Share *WorkspaceShares::find(const std::string &workspace) const
{
    const auto found = m_shares.find(workspace);
    return found == m_shares.end() ? nullptr : &found->second;
}

WorkspaceShares::Share *WorkspaceShares::share(const std::string &workspace, SteadyTime now)
{
    moveEpoch(now);
    const auto found = m_shares.find(workspace);
    if (found != m_shares.end())
        return &found->second;
    if (m_shares.size() >= m_options.maxWorkspaces) {
        // A full table is searched rarely, as that takes time in proportion to its size.
        if (now - m_purgedAt < m_options.timeConstant / 10)
            return nullptr;
        purge(now);
        if (m_shares.size() >= m_options.maxWorkspaces)
            return nullptr;
    }
    return &m_shares[workspace];
}

void WorkspaceShares::offered(const std::string &workspace, SteadyTime now)
{
    if (workspace.empty())
        return;
    Share *counts = share(workspace, now);
    if (counts == nullptr)
        return;
    counts->offered += growth(now);
    m_total.offered += growth(now);
}

void WorkspaceShares::started(const std::string &workspace, double serviceMilliseconds,
                              SteadyTime now)
{
    if (workspace.empty())
        return;
    Share *counts = share(workspace, now);
    if (counts == nullptr)
        return;
    counts->started += growth(now);
    counts->service += growth(now) * serviceMilliseconds;
    m_total.started += growth(now);
}

double WorkspaceShares::recentService(const std::string &workspace) const
{
    const Share *counts = workspace.empty() ? nullptr : find(workspace);
    return counts == nullptr ? 0.0 : counts->service;
}

bool WorkspaceShares::isUnderserved(const std::string &workspace, SteadyTime now) const
{
    const Share *counts = workspace.empty() ? nullptr : find(workspace);
    if (counts == nullptr || m_total.offered <= 0.0)
        return false;
    // One request may wait or have been refused by chance, so it is not evidence.
    const double evidence = counts->offered - growth(now);
    return counts->started
           < evidence * m_options.guaranteedPart * m_total.started / m_total.offered;
}

} // namespace jacinthshift
