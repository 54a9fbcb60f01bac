#ifndef MODULES_DISTRIBUTION_DISTRIBUTOR_H
#define MODULES_DISTRIBUTION_DISTRIBUTOR_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/distribution/config_store.h"
#include "modules/mesh/peer_network.h"
#include "servers/log_client.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct DistributorOptions
{
    std::string node;
    std::string domain;
    std::uint64_t randomSeed = 0;     ///< Seeds the random numbers for retry delays.
    std::size_t readersPerDomain = 2; ///< Nodes per failure domain that read the log.
    std::size_t fanOut = 4;           ///< Subscribers per node in the distribution tree.
    std::chrono::milliseconds longPollWait{2'000};  ///< How long the log waits for new records.
    std::chrono::milliseconds maxRetryDelay{2'000}; ///< Maximum backoff between log reads.
    std::chrono::milliseconds subscriptionRenewPeriod{1'000};
    /** A subscription that is not renewed for longer expires. */
    std::chrono::milliseconds subscriptionLease{4'000};
    std::chrono::milliseconds checkPeriod{250};
    /** How long to wait for the floor from both the log and a peer; then one suffices. */
    std::chrono::milliseconds floorTimeout{1'500};
    /** A node that has received nothing from an upstream for longer reads the log itself. */
    std::chrono::milliseconds upstreamTimeout{3'000};
    std::uint64_t snapshotIntervalRecords = 500; ///< Records between two written snapshots.
    /** How often a reader checks whether a snapshot is due. */
    std::chrono::milliseconds snapshotCheckPeriod{5'000};
};

/** Versions applied by a node and the nodes of its subtree, all in one failure domain. */
struct DomainProgress
{
    std::uint32_t nodes = 0;
    std::uint64_t oldest = 0;      ///< The lowest applied version.
    std::vector<std::string> late; ///< Names of a few nodes that are behind their upstream.
};

/**
 * Fetches the records of the configuration stream and forwards them to other nodes.
 *
 * In each failure domain the nodes are ranked by rendezvous hash. The first few read the log; each
 * other node subscribes to one that ranks before it, which forms a tree of constant fan-out. A node
 * that is behind a peer for a while fetches from that peer directly, independent of the tree.
 */
class Distributor final : public PeerObserver
{
    struct Subscriber
    {
        SteadyTime renewedAt;
        std::uint64_t sentUpTo = 0; ///< Version up to which it has been sent records.
        DomainProgress progress;
    };

    DistributorOptions m_options;
    ConfigStore &m_store;
    PeerNetwork &m_network;
    MemberTable &m_members;
    LogClient &m_log;
    TimerService &m_timers;
    Random m_random;
    std::map<std::string, Subscriber> m_subscribers;
    std::uint64_t m_positionGeneration = 0; ///< Member table generation of the tree position.
    std::string m_upstream; ///< Node that this one subscribes to; empty for readers.
    bool m_isReader = false;
    bool m_logReadPending = false;
    bool m_snapshotReadPending = false;
    int m_readFailures = 0;      ///< Consecutive failed reads of the log, counted to 16.
    std::uint64_t m_logHead = 0; ///< The highest head offset that the log has returned.
    SteadyTime m_startedAt;
    std::uint64_t m_peerFloor = 0; ///< The highest version that a peer has reported.
    bool m_hasPeerFloor = false;
    bool m_hasLogHead = false;
    SteadyTime m_nextRead;
    SteadyTime m_upstreamReceivedAt;
    SteadyTime m_subscriptionRenewedAt;
    SteadyTime m_behindSince; ///< When a peer got ahead, or when this node last fetched from one.
    bool m_behind = false;
    std::uint64_t m_snapshotWrittenVersion = 0;
    bool m_snapshotWritePending = false;
    Timer m_checkTimer;
    Timer m_snapshotTimer;

    void check();
    void updateTreePosition();
    void decideFloor();
    void renewSubscription();
    void dropExpiredSubscribers();
    void catchUpWithPeers();
    void readLogIfDue();
    void readLog();
    void logReadFinished(const absl::StatusOr<LogPage> &page);
    void readSnapshotStream(std::uint64_t fromOffset);
    void writeSnapshotIfDue();
    void recordPeerVersion(std::uint64_t version, bool serving);
    void handleFetch(const std::string &peer, LinkId link, const FetchMessage &fetch);
    void handleRecords(const std::string &peer, LinkId link, const RecordsMessage &message);
    /** Requests the records that follow the applied version, once or as a subscription. */
    void fetchFrom(const std::string &peer, bool subscribe);
    void pushToSubscribers();
    /**
     * Sends the records from an offset on, or a snapshot if they are no longer all stored. Returns
     * whether everything was sent.
     */
    bool sendRecordsFrom(const std::string &peer, LinkId link, std::uint64_t offset);

public:
    Distributor(const DistributorOptions &options, ConfigStore &store, PeerNetwork &network,
                MemberTable &members, LogClient &log, TimerService &timers);

    /** Returns the progress of this node and of the nodes in its subtree. */
    DomainProgress progress() const;
    /** Returns whether this node reads the log for its failure domain. */
    bool isReader() const { return m_isReader; }
    /** Returns the node that this one subscribes to; empty for readers. */
    const std::string &upstream() const { return m_upstream; }
    /** Returns the nodes that read the log for a failure domain, by this node's member table. */
    std::vector<std::string> readersOf(const std::string &domain) const;

    void messageReceived(const std::string &peer, LinkId link, const Message &message) override;
};

} // namespace jacinthshift

#endif // MODULES_DISTRIBUTION_DISTRIBUTOR_H
