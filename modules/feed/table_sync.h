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
    /** Number of nodes per failure domain that read the log for the others. */
    std::size_t readersPerDomain = 2;
    /**
     * A reader counts while its last status is at most this many heartbeat periods old. A link
     * counts as silent later than that, which is too late for a change to be in force in time.
     */
    double maxReaderStatusAge = 2.5;
    std::chrono::milliseconds checkPeriod{100};
    /** An unanswered fetch is abandoned after this time; the next may go to another node. */
    std::chrono::milliseconds fetchTimeout{300};
    /**
     * How long a node must be behind before it fetches from another failure domain, as traffic
     * there is more expensive. A node with an empty table does not wait.
     */
    std::chrono::milliseconds otherDomainDelay{150};
    /** Minimum time between fetches: of versions in quick succession only the newest matters. */
    std::chrono::milliseconds minFetchInterval{350};
    /**
     * After a restore of the log, a peer's whole table is fetched at most this often. It is large,
     * and when all nodes have restarted, repeated fetches would fill the links of small VMs.
     */
    std::uint32_t maxCopyFetches = 2;
    std::chrono::milliseconds copyFetchInterval{3'000};
    std::uint32_t relayCapacity = 0; ///< Of this VM, see StatusMessage::relayCapacity.
    std::uint64_t randomSeed = 0;    ///< Seeds the random choice of the peer to fetch from.
    /**
     * A starting node reads the log once itself, even if enough other nodes do, until the read
     * succeeds or this time has passed.
     */
    std::chrono::milliseconds firstReadTimeout{3'000};
};

/**
 * Distributes the operator table among the nodes: a few of each failure domain read the log, the
 * others fetch from them. Any node that is behind a reachable peer fetches from it, so a node that
 * cannot reach the log stays up to date.
 */
class TableSync final : public FleetObserver
{
    TableSyncOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    OperatorTable &m_table;
    TableFollower &m_follower;
    SteadyTime m_startedAt;
    SteadyTime m_behindSince; ///< Zero while no reachable peer is ahead.
    SteadyTime m_fetchedAt;   ///< When the last fetch was sent.
    Random m_random;
    TablePosition m_packedFrom; ///< From where m_packed was packed.
    TablePosition m_packedEnd;  ///< Table end when m_packed was packed.
    std::string m_packed;       ///< Last packed page, reused for fetches from the same offset.
    bool m_fetchPending = false;
    std::uint32_t m_copyFetches = 0; ///< Fetches of a whole table since the log was restored.
    SteadyTime m_copyFetchedAt;
    Timer m_checkTimer;

    void check();
    void fetchIfBehind();
    /**
     * Returns whether this node must read the log: it starts, or too few readers rank before it.
     */
    bool shouldRead() const;
    /** Returns whether a peer's whole table is to be fetched, see OperatorTable::mayLackRecords().
     */
    bool wantsCopy() const;
    /** Returns a random peer to fetch from, or nullptr if none is ahead or allowed yet. */
    const FleetPeer *chooseFetchSource();
    /** Returns whether a node of the own failure domain reads the log and was heard of lately. */
    bool isReader(const FleetPeer &peer) const;
    const std::string &packedRecordsFrom(TablePosition from);

public:
    TableSync(const TableSyncOptions &options, FleetNetwork &network, TimerService &timers,
              OperatorTable &table, TableFollower &follower);

    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_FEED_TABLE_SYNC_H
