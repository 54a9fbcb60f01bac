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
    , m_random(options.randomSeed)
{
    network.addObserver(*this);
    m_checkTimer = Timer(timers, timers.startPeriodic(options.checkPeriod, [this] { check(); }));
}

bool TableSync::isReader(const FleetPeer &peer) const
{
    const std::chrono::duration<double> maxAge =
            m_network.heartbeatPeriod() * m_options.maxReaderStatusAge;
    return m_network.isReachable(peer) && m_network.isInOwnDomain(peer) && peer.hasStatus
           && peer.status.readsLog && !peer.status.leaving
           && m_timers.now() - peer.statusReceivedAt <= maxAge;
}

bool TableSync::shouldRead() const
{
    if (!m_follower.hasRead() && m_timers.now() - m_startedAt < m_options.firstReadTimeout)
        return true;
    // The VMs with the most capacity read, so that a small one does not relay for the others.
    const NodeContact &self = m_network.self();
    const auto rank = [&self](std::uint32_t relayCapacity, const std::string &node) {
        return std::pair(relayCapacity, rendezvousWeight(self.domain, node));
    };
    const auto ownRank = rank(m_options.relayCapacity, self.node);
    std::size_t readersAhead = 0;
    for (const auto &[node, peer] : m_network.peers()) {
        if (isReader(peer) && rank(peer.status.relayCapacity, node) > ownRank)
            ++readersAhead;
    }
    return readersAhead < m_options.readersPerDomain;
}

void TableSync::check()
{
    m_follower.setActive(shouldRead());
    fetchIfBehind();
}

bool TableSync::wantsCopy() const
{
    return m_table.mayLackRecords() && m_copyFetches < m_options.maxCopyFetches
           && m_timers.now() - m_copyFetchedAt >= m_options.copyFetchInterval;
}

const FleetPeer *TableSync::chooseFetchSource()
{
    const bool copyWanted = wantsCopy();
    std::vector<const FleetPeer *> ownDomain;
    std::vector<const FleetPeer *> otherDomains;
    for (const auto &[node, peer] : m_network.peers()) {
        if (!m_network.isReachable(peer) || !peer.hasStatus)
            continue;
        const bool mayKnowMore = copyWanted && peer.status.tableEnd.era > 0;
        if (peer.status.tableEnd > m_table.position() || mayKnowMore)
            (m_network.isInOwnDomain(peer) ? ownDomain : otherDomains).push_back(&peer);
    }
    // A random node of the own failure domain among those that are ahead, so that new records
    // spread without a hot spot.
    const std::vector<const FleetPeer *> &sources = ownDomain.empty() ? otherDomains : ownDomain;
    if (sources.empty()) {
        m_behindSince = SteadyTime();
        return nullptr;
    }
    if (m_behindSince == SteadyTime())
        m_behindSince = m_timers.now();
    const bool mustWait = m_timers.now() - m_behindSince < m_options.otherDomainDelay;
    if (ownDomain.empty() && m_table.position() != TablePosition() && mustWait)
        return nullptr;
    return sources[m_random.below(sources.size())];
}

void TableSync::fetchIfBehind()
{
    const SteadyTime::duration sinceFetch = m_timers.now() - m_fetchedAt;
    if (m_fetchPending && sinceFetch >= m_options.fetchTimeout)
        m_fetchPending = false;
    if (m_fetchPending || sinceFetch < m_options.minFetchInterval)
        return;
    const FleetPeer *source = chooseFetchSource();
    if (source == nullptr)
        return;
    m_fetchPending = true;
    m_fetchedAt = m_timers.now();
    TableFetchMessage fetch{.from = m_table.position()};
    if (wantsCopy()) {
        fetch.from = TablePosition();
        ++m_copyFetches;
        m_copyFetchedAt = m_timers.now();
    }
    m_network.send(source->contact.node, fetch);
}

const std::string &TableSync::packedRecordsFrom(TablePosition from)
{
    const bool isCached =
            m_packedFrom == from && m_packedEnd == m_table.position() && !m_packed.empty();
    if (!isCached) {
        m_packed = packPage(m_table.recordsFrom(from));
        m_packedFrom = from;
        m_packedEnd = m_table.position();
    }
    return m_packed;
}

void TableSync::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (std::holds_alternative<StatusMessage>(message)) {
        fetchIfBehind();
        return;
    }
    if (const TableFetchMessage *fetch = std::get_if<TableFetchMessage>(&message)) {
        m_network.send(node, TableRecordsMessage{.packedPage = packedRecordsFrom(fetch->from)});
        return;
    }
    if (const TableRecordsMessage *records = std::get_if<TableRecordsMessage>(&message)) {
        m_fetchPending = false;
        const absl::StatusOr<KeyedPage> page = unpackPage(records->packedPage);
        if (page.ok())
            m_table.apply(*page);
        else
            logEvent(Event::FrameRefused,
                     {{"peer", node}, {"reason", std::string(page.status().message())}});
    }
}

void TableSync::linksChanged(const std::string &)
{
    fetchIfBehind();
}

} // namespace jacinthshift
