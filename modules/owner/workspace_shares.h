#ifndef MODULES_OWNER_WORKSPACE_SHARES_H
#define MODULES_OWNER_WORKSPACE_SHARES_H

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

#include "servers/timer_service.h"

namespace jacinthshift {

struct WorkspaceSharesOptions
{
    /** Time constant of the exponential decay of all counts. */
    std::chrono::milliseconds timeConstant{20'000};
    /**
     * A workspace is underserved while the share of its requests that start is less than this part
     * of the share of all requests. The bound for a whole deployment is a quarter; the rest is
     * margin, as an owner counts only the requests that reach it.
     */
    double guaranteedPart = 0.4;
    /** Number of workspaces that are tracked at once; those without recent requests are dropped. */
    std::size_t maxWorkspaces = 4'096;
};

/**
 * Tracks how many requests of each workspace were offered to a backend server and started on it,
 * and how much service time they received. All counts decay.
 */
class WorkspaceShares
{
    struct Share
    {
        double offered = 0.0;
        double started = 0.0;
        double service = 0.0; ///< Service time in milliseconds.
    };

    WorkspaceSharesOptions m_options;
    // Counts are stored multiplied by the growth since the epoch, so that they decay relative to
    // newer ones without being updated.
    std::unordered_map<std::string, Share> m_shares;
    Share m_total;
    SteadyTime m_epoch;
    SteadyTime m_purgedAt;

    double growth(SteadyTime now) const;
    void moveEpoch(SteadyTime now);
    /** Removes the workspaces without recent requests. */
    void purge(SteadyTime now);
    /** Returns the counts of a workspace, or null if too many workspaces have recent requests. */
    Share *share(const std::string &workspace, SteadyTime now);
    const Share *find(const std::string &workspace) const;

public:
    explicit WorkspaceShares(const WorkspaceSharesOptions &options) : m_options(options) {}

    /** Counts a request that asked for admission. Requests without a workspace are not counted. */
    void offered(const std::string &workspace, SteadyTime now);
    /** Counts a request that was started and is expected to take a time. */
    void started(const std::string &workspace, double serviceMilliseconds, SteadyTime now);

    /**
     * Returns the recent service of a workspace in an unspecified unit, for comparison with others
     * at the same time.
     */
    double recentService(const std::string &workspace) const;
    /** Returns whether a workspace receives less than its guaranteed part. */
    bool isUnderserved(const std::string &workspace, SteadyTime now) const;
    std::size_t size() const { return m_shares.size(); }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_WORKSPACE_SHARES_H
