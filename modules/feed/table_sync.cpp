#include "modules/feed/table_sync.h"

#include <utility>
#include <vector>

#include "core/hash.h"
#include "core/logger.h"
#include "modules/fleet/message_codec.h"

namespace jacinthshift {

TableSync::TableSync(const TableSyncOptions &options, FleetNetwork &network, TimerService &timers,
                     OperatorTable &table, TableFollower &follower)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_table(table)
    , m_follower(follower)
    , m_startedAt(timers.now())
    , m_random(options.seed)
{
    network.addObserver(*this);
    m_check = Timer(timers, timers.startPeriodic(options.checkPeriod, [this] { check(); }));
}

bool TableSync::shouldRead() const
{
    if (!m_follower.hasRead() && m_timers.now() - m_startedAt < m_options.settleTime)
        return true;
    // The VMs with the most capacity read, so a small one does not relay for the others.
    const NodeContact &self = m_network.self();
    const auto rank = [&self](std::uint32_t capacity, const std::string &node) {
        return std::pair(capacity, rendezvousWeight(self.domain, node));
    };
    const auto own = rank(m_options.capacity, self.node);
    std::size_t better = 0;
    for (const auto &[node, peer] : m_network.peers()) {
        const bool reads = m_network.isReachable(peer) && peer.hasStatus && peer.status.readsLog
                           && !peer.status.leaving && m_network.isNear(peer);
        if (reads && rank(peer.status.capacity, node) > own)
            ++better;
    }
    return better < m_options.readersPerDomain;
}

void TableSync::check()
{
    m_follower.setActive(shouldRead());
    fetchIfBehind();
}

const FleetPeer *TableSync::fetchSource()
{
    std::vector<const FleetPeer *> near;
    std::vector<const FleetPeer *> far;
    for (const auto &[node, peer] : m_network.peers()) {
        const bool ahead = m_network.isReachable(peer) && peer.status.tableEnd > m_table.end();
        if (ahead)
            (m_network.isNear(peer) ? near : far).push_back(&peer);
    }
    // Any near node that is ahead will do, so what one has learnt spreads without a hot spot.
    const std::vector<const FleetPeer *> &sources = near.empty() ? far : near;
    if (sources.empty()) {
        m_behindSince = SteadyTime();
        return nullptr;
    }
    if (m_behindSince == SteadyTime())
        m_behindSince = m_timers.now();
    const bool early = m_timers.now() - m_behindSince < m_options.otherDomainDelay;
    if (near.empty() && m_table.end() > 0 && early)
        return nullptr;
    return sources[m_random.below(sources.size())];
}

void TableSync::fetchIfBehind()
{
    const SteadyTime::duration since = m_timers.now() - m_fetchedAt;
    if (m_fetching && since >= m_options.fetchTimeout)
        m_fetching = false;
    if (m_fetching || since < m_options.fetchPause)
        return;
    const FleetPeer *source = fetchSource();
    if (source == nullptr)
        return;
    m_fetching = true;
    m_fetchedAt = m_timers.now();
    m_network.send(source->contact.node, TableFetchMessage{.from = m_table.end()});
}

const std::string &TableSync::packedSince(std::uint64_t offset)
{
    const bool known = m_packedFrom == offset && m_packedEnd == m_table.end() && !m_packed.empty();
    if (!known) {
        m_packed = packPage(m_table.since(offset));
        m_packedFrom = offset;
        m_packedEnd = m_table.end();
    }
    return m_packed;
}

void TableSync::fleetMessage(const std::string &node, const FleetMessage &message)
{
    if (std::holds_alternative<StatusMessage>(message)) {
        fetchIfBehind();
        return;
    }
    if (const TableFetchMessage *fetch = std::get_if<TableFetchMessage>(&message)) {
        m_network.send(node, TableRecordsMessage{.packedPage = packedSince(fetch->from)});
        return;
    }
    if (const TableRecordsMessage *news = std::get_if<TableRecordsMessage>(&message)) {
        m_fetching = false;
        const absl::StatusOr<KeyedPage> page = unpackPage(news->packedPage);
        if (page.ok())
            m_table.merge(*page);
        else
            logEvent(Event::FrameRefused,
                     {{"peer", node}, {"reason", std::string(page.status().message())}});
    }
}

void TableSync::fleetLinksChanged(const std::string &)
{
    fetchIfBehind();
}

} // namespace jacinthshift
