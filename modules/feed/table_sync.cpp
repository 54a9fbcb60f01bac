#include "modules/feed/table_sync.h"

#include "core/hash.h"

namespace jacinthshift {

TableSync::TableSync(const TableSyncOptions &options, FleetNetwork &network, TimerService &timers,
                     OperatorTable &table, TableFollower &follower)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_table(table)
    , m_follower(follower)
    , m_startedAt(timers.now())
{
    network.addObserver(*this);
    m_check = Timer(timers, timers.startPeriodic(options.checkPeriod, [this] { check(); }));
}

bool TableSync::shouldRead() const
{
    if (m_timers.now() - m_startedAt < m_options.settleTime)
        return true;
    const NodeContact &self = m_network.self();
    const std::uint64_t own = rendezvousWeight(self.domain, self.node);
    std::size_t better = 0;
    for (const auto &[node, peer] : m_network.peers()) {
        const bool reads = m_network.isReachable(peer) && peer.hasStatus && peer.status.readsLog
                           && !peer.status.leaving && peer.contact.domain == self.domain;
        if (reads && rendezvousWeight(self.domain, node) > own)
            ++better;
    }
    return better < m_options.readersPerDomain;
}

void TableSync::check()
{
    m_follower.setActive(shouldRead());
    fetchIfBehind();
}

void TableSync::fetchIfBehind()
{
    const SteadyTime now = m_timers.now();
    const FleetPeer *best = nullptr;
    bool bestIsNear = false;
    for (const auto &[node, peer] : m_network.peers()) {
        if (!m_network.isReachable(peer) || peer.status.tableEnd <= m_table.end())
            continue;
        const bool near = peer.contact.domain == m_network.self().domain;
        const bool failed = m_fetching && node == m_fetchedFrom;
        const bool better = best == nullptr || (near && !bestIsNear)
                            || (near == bestIsNear && peer.status.tableEnd > best->status.tableEnd);
        if (failed || !better)
            continue;
        best = &peer;
        bestIsNear = near;
    }
    if (best == nullptr) {
        m_behindSince = SteadyTime();
        m_fetching = m_fetching && now - m_fetchedAt < m_options.fetchTimeout;
        return;
    }
    if (m_behindSince == SteadyTime())
        m_behindSince = now;
    if (!bestIsNear && m_table.end() > 0 && now - m_behindSince < m_options.otherDomainDelay)
        return;
    if (m_fetching && now - m_fetchedAt < m_options.fetchTimeout)
        return;
    m_fetching = true;
    m_fetchedAt = now;
    m_fetchedFrom = best->contact.node;
    m_network.send(m_fetchedFrom, TableFetchMessage{.from = m_table.end()});
}

void TableSync::fleetMessage(const std::string &node, const FleetMessage &message)
{
    if (std::holds_alternative<StatusMessage>(message)) {
        fetchIfBehind();
        return;
    }
    if (const TableFetchMessage *fetch = std::get_if<TableFetchMessage>(&message)) {
        m_network.send(node, TableNewsMessage{.page = m_table.since(fetch->from)});
        return;
    }
    if (const TableNewsMessage *news = std::get_if<TableNewsMessage>(&message)) {
        m_fetching = false;
        m_table.merge(news->page);
    }
}

void TableSync::fleetLinksChanged(const std::string &)
{
    fetchIfBehind();
}

} // namespace jacinthshift
