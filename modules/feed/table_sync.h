#ifndef MODULES_FEED_TABLE_SYNC_H
#define MODULES_FEED_TABLE_SYNC_H

#include <string>

#include "core/random.h"
#include "modules/feed/operator_table.h"
#include "modules/feed/table_follower.h"
#include "modules/fleet/fleet_network.h"

namespace jacinthshift {

struct TableSyncOptions
{
    /** Nodes of a failure domain that read the log for the others. */
    std::size_t readersPerDomain = 2;
    std::chrono::milliseconds checkPeriod{100};
    /** A fetch that has no answer by then is sent to another node. */
    std::chrono::milliseconds fetchTimeout{300};
    /** Nodes of other failure domains are asked only after this time, as bytes there cost more. */
    std::chrono::milliseconds otherDomainDelay{150};
    /** Between two fetches: of versions in quick succession only the newest matters. */
    std::chrono::milliseconds fetchPause{350};
    std::uint32_t capacity = 0; ///< What this VM can do for others, as it tells them.
    std::uint64_t seed = 0;
    /** A node that starts reads the log once itself, whoever else does, unless that takes longer.
     */
    std::chrono::milliseconds settleTime{3'000};
};

/**
 * Spreads the operator's table among the nodes: a few of each failure domain read the log, the
 * others fetch from them. Whoever is behind any other node fetches, so a node without the log keeps
 * up.
 */
class TableSync final : public FleetObserver
{
    TableSyncOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    OperatorTable &m_table;
    TableFollower &m_follower;
    SteadyTime m_startedAt;
    SteadyTime m_behindSince;
    SteadyTime m_fetchedAt;
    Random m_random;
    std::uint64_t m_packedFrom = 0; ///< What m_packed was packed for.
    std::uint64_t m_packedEnd = 0;
    std::string m_packed;
    bool m_fetching = false;
    Timer m_check;

    void check();
    void fetchIfBehind();
    bool shouldRead() const;
    const FleetPeer *fetchSource();
    const std::string &packedSince(std::uint64_t offset);

public:
    TableSync(const TableSyncOptions &options, FleetNetwork &network, TimerService &timers,
              OperatorTable &table, TableFollower &follower);

    void fleetMessage(const std::string &node, const FleetMessage &message) override;
    void fleetLinksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_FEED_TABLE_SYNC_H
