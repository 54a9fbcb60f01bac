#ifndef MODULES_DISTRIBUTION_STATUS_COLLECTOR_H
#define MODULES_DISTRIBUTION_STATUS_COLLECTOR_H

#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "modules/distribution/distributor.h"
#include "modules/mesh/peer_network.h"

namespace jacinthshift {

/** Progress of a failure domain as reported by the roots of its distribution tree. */
struct DomainStatus
{
    std::string domain;
    std::uint32_t members = 0;          ///< Nodes that are reachable by this node's member table.
    std::uint32_t reportedNodes = 0;    ///< Nodes covered by the roots' replies; 0 if none replied.
    std::uint64_t oldestVersion = 0;    ///< Lowest applied version among those.
    std::vector<std::string> lateNodes; ///< Names of nodes that are behind.
};

/**
 * Collects the progress of all failure domains from the roots of their distribution trees, which
 * are the nodes that read the log.
 */
class StatusCollector final : public PeerObserver
{
public:
    using Callback = std::function<void(std::vector<DomainStatus>)>;

private:
    struct Query
    {
        std::map<std::string, DomainStatus> domains;
        std::size_t pendingReplies = 0;
        Callback callback;
        Timer timeout;
    };

    Distributor &m_distributor;
    PeerNetwork &m_network;
    MemberTable &m_members;
    ConfigStore &m_store;
    TimerService &m_timers;
    std::map<std::uint64_t, Query> m_queries;
    std::uint64_t m_lastQueryId = 0;

    void addReply(std::uint64_t id, const StatusReplyMessage &reply);
    void complete(std::uint64_t id);
    StatusReplyMessage ownReply(std::uint64_t id) const;

public:
    StatusCollector(Distributor &distributor, PeerNetwork &network, MemberTable &members,
                    ConfigStore &store, TimerService &timers);

    /** Queries all roots. The callback runs once, after one second at the latest. */
    void collect(Callback callback);

    void messageReceived(const std::string &peer, LinkId link, const Message &message) override;
};

} // namespace jacinthshift

#endif // MODULES_DISTRIBUTION_STATUS_COLLECTOR_H
