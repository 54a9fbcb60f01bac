#include "modules/distribution/distributor.h"

#include <algorithm>

#include "core/hash.h"
#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr const char *ConfigStream = "config";
constexpr const char *SnapshotStream = "snapshots";
constexpr std::size_t MaxBatchRecords = 256;
constexpr std::size_t MaxLateNodes = 5;
// How long a peer may be ahead before this node fetches from it, so the tree can deliver first.
constexpr std::chrono::milliseconds CatchUpDelay{600};
constexpr std::chrono::milliseconds InitialRetryDelay{100};

/** Sorts nodes by their rendezvous weight for a key, the highest first. */
std::vector<std::string> rankByWeight(std::vector<std::string> nodes, const std::string &key)
{
    std::sort(nodes.begin(), nodes.end(), [&key](const std::string &a, const std::string &b) {
        const std::uint64_t weightA = rendezvousWeight(key, a);
        const std::uint64_t weightB = rendezvousWeight(key, b);
        return weightA != weightB ? weightA > weightB : a < b;
    });
    return nodes;
}

} // namespace

Distributor::Distributor(const DistributorOptions &options, ConfigStore &store,
                         PeerNetwork &network, MemberTable &members, LogClient &log,
                         TimerService &timers)
    : m_options(options)
    , m_store(store)
    , m_network(network)
    , m_members(members)
    , m_log(log)
    , m_timers(timers)
    , m_random(options.randomSeed)
    , m_nextRead(timers.now())
    , m_upstreamReceivedAt(timers.now())
    , m_subscriptionRenewedAt(timers.now() - options.subscriptionRenewPeriod)
    , m_checkTimer(timers, timers.startPeriodic(options.checkPeriod, [this] { check(); }))
    , m_snapshotTimer(timers, timers.startPeriodic(options.snapshotCheckPeriod,
                                                   [this] { writeSnapshotIfDue(); }))
{
    network.addObserver(*this);
}

std::vector<std::string> Distributor::readersOf(const std::string &domain) const
{
    std::vector<std::string> nodes = rankByWeight(m_members.reachableNodes(domain), domain);
    if (nodes.size() > m_options.readersPerDomain)
        nodes.resize(m_options.readersPerDomain);
    return nodes;
}

void Distributor::check()
{
    updateTreePosition();
    decideFloor();
    dropExpiredSubscribers();
    renewSubscription();
    catchUpWithPeers();
    readLogIfDue();
}

void Distributor::decideFloor()
{
    if (m_store.isFloorKnown())
        return;
    // Either source alone may be behind what this node applied before a restart, so wait for both
    // until floorTimeout.
    const bool timedOut = m_timers.now() - m_startedAt > m_options.floorTimeout;
    const bool isDecided =
            timedOut ? m_hasLogHead || m_hasPeerFloor : m_hasLogHead && m_hasPeerFloor;
    if (isDecided)
        m_store.raiseFloor(std::max(m_logHead, m_peerFloor));
}

void Distributor::updateTreePosition()
{
    if (m_positionGeneration == m_members.generation())
        return;
    m_positionGeneration = m_members.generation();
    const std::vector<std::string> nodes =
            rankByWeight(m_members.reachableNodes(m_options.domain), m_options.domain);
    const auto self = std::find(nodes.begin(), nodes.end(), m_options.node);
    const std::size_t rank = static_cast<std::size_t>(self - nodes.begin());
    m_isReader = rank < m_options.readersPerDomain || self == nodes.end();
    std::string upstream;
    if (!m_isReader)
        upstream = nodes[(rank - m_options.readersPerDomain) / m_options.fanOut];
    if (upstream == m_upstream)
        return;
    m_upstream = upstream;
    m_upstreamReceivedAt = m_timers.now();
    m_subscriptionRenewedAt = m_timers.now() - m_options.subscriptionRenewPeriod;
    logEvent(Event::UpstreamChosen, {{"upstream", m_isReader ? "log" : m_upstream},
                                     {"rank", rank},
                                     {"nodes", nodes.size()}});
}

DomainProgress Distributor::progress() const
{
    DomainProgress total{.nodes = 1, .oldest = m_store.version()};
    for (const auto &[peer, subscriber] : m_subscribers) {
        const DomainProgress &part = subscriber.progress;
        total.nodes += part.nodes;
        total.oldest = std::min(total.oldest, part.oldest);
        if (m_network.appliedVersionOf(peer) < m_store.version()
            && total.late.size() < MaxLateNodes)
            total.late.push_back(peer);
        for (const std::string &late : part.late) {
            if (total.late.size() < MaxLateNodes)
                total.late.push_back(late);
        }
    }
    return total;
}

void Distributor::renewSubscription()
{
    const SteadyTime now = m_timers.now();
    if (m_upstream.empty() || now - m_subscriptionRenewedAt < m_options.subscriptionRenewPeriod)
        return;
    m_network.connectPeer(m_upstream);
    if (m_network.linkTo(m_upstream) == LinkId::None)
        return;
    m_subscriptionRenewedAt = now;
    fetchFrom(m_upstream, true);
}

void Distributor::fetchFrom(const std::string &peer, bool subscribe)
{
    FetchMessage fetch{.from = m_store.version() + 1, .subscribe = subscribe};
    if (subscribe) {
        DomainProgress subtree = progress();
        fetch.subtreeNodes = subtree.nodes;
        fetch.subtreeOldest = subtree.oldest;
        fetch.subtreeLate = std::move(subtree.late);
    }
    m_network.send(peer, fetch);
}

void Distributor::dropExpiredSubscribers()
{
    const SteadyTime now = m_timers.now();
    std::erase_if(m_subscribers, [this, now](const auto &pair) {
        return now - pair.second.renewedAt > m_options.subscriptionLease;
    });
}

void Distributor::catchUpWithPeers()
{
    std::string source;
    std::uint64_t highestVersion = m_store.version();
    for (const std::string &peer : m_network.connectedPeers()) {
        const std::uint64_t applied = m_network.appliedVersionOf(peer);
        if (applied > highestVersion && m_network.linkTo(peer) != LinkId::None) {
            highestVersion = applied;
            source = peer;
        }
    }
    const SteadyTime now = m_timers.now();
    if (source.empty()) {
        m_behind = false;
        return;
    }
    if (!m_behind) {
        m_behind = true;
        m_behindSince = now;
    }
    // A node that does not serve yet does not wait for the tree.
    const bool waitsForTree = m_store.mayServe() && now - m_behindSince < CatchUpDelay;
    if (waitsForTree)
        return;
    m_behindSince = now;
    fetchFrom(source, false);
}

void Distributor::readLogIfDue()
{
    const SteadyTime now = m_timers.now();
    if (m_logReadPending || now < m_nextRead)
        return;
    // A node without a working upstream reads the log itself, at a low rate, so that it never
    // stalls.
    const bool isolated = now - m_upstreamReceivedAt > m_options.upstreamTimeout;
    // A node that has not received its floor from peers in time reads the head of the log.
    const bool needsFloor = !m_store.isFloorKnown() && now - m_startedAt > m_options.floorTimeout;
    if (m_isReader || isolated || needsFloor)
        readLog();
}

void Distributor::readLog()
{
    m_logReadPending = true;
    const LogReadRequest request{.stream = ConfigStream,
                                 .fromOffset = m_store.version() + 1,
                                 .maxRecords = MaxBatchRecords,
                                 .maxWait = m_isReader && m_store.isFloorKnown()
                                                    ? m_options.longPollWait
                                                    : std::chrono::milliseconds(0)};
    m_log.read(request, [this](const absl::StatusOr<LogPage> &page) {
        m_logReadPending = false;
        logReadFinished(page);
    });
}

void Distributor::logReadFinished(const absl::StatusOr<LogPage> &page)
{
    const SteadyTime now = m_timers.now();
    if (!page.ok()) {
        m_readFailures = std::min(m_readFailures + 1, 16);
        std::chrono::milliseconds maxDelay = InitialRetryDelay * (1 << std::min(m_readFailures, 8));
        maxDelay = std::min(maxDelay, m_options.maxRetryDelay);
        m_nextRead = now + m_random.jitter(maxDelay);
        logEvent(Event::LogReadFailed,
                 {{"reason", std::string(page.status().message())}, {"failures", m_readFailures}});
        return;
    }
    m_readFailures = 0;
    m_nextRead = now;
    const std::uint64_t head = page->nextOffset - 1;
    if (head < m_logHead || head < m_store.version()) {
        // The log ends before records that it has returned or that were applied: ignore the page.
        logEvent(Event::LogWentBack,
                 {{"head", head}, {"seen", std::max(m_logHead, m_store.version())}});
        m_nextRead = now + m_random.jitter(m_options.maxRetryDelay);
        return;
    }
    m_logHead = head;
    m_hasLogHead = true;
    decideFloor();
    if (page->firstOffset > m_store.version() + 1) {
        // The log no longer retains the next record, so install a snapshot.
        logEvent(Event::LogRetentionPassed,
                 {{"version", m_store.version()}, {"first", page->firstOffset}});
        m_nextRead = now + m_random.jitter(m_options.maxRetryDelay);
        if (!m_snapshotReadPending)
            readSnapshotStream(0);
        return;
    }
    const absl::Status status = m_store.applyRecords(page->records);
    if (!status.ok())
        logEvent(Event::LogReadFailed, {{"reason", std::string(status.message())}});
    pushToSubscribers();
    if (m_isReader && m_store.isFloorKnown())
        readLog();
    else if (!m_isReader)
        m_nextRead = now + m_options.upstreamTimeout + m_random.jitter(m_options.upstreamTimeout);
}

void Distributor::readSnapshotStream(std::uint64_t fromOffset)
{
    // The first read, with offset 0, only finds the end of the stream; the second one reads its
    // last record.
    m_snapshotReadPending = true;
    const bool findsEnd = fromOffset == 0;
    const LogReadRequest request{
            .stream = SnapshotStream, .fromOffset = findsEnd ? 1 : fromOffset, .maxRecords = 1};
    m_log.read(request, [this, findsEnd](const absl::StatusOr<LogPage> &page) {
        m_snapshotReadPending = false;
        if (!page.ok() || page->nextOffset <= 1)
            return;
        if (findsEnd)
            readSnapshotStream(page->nextOffset - 1);
        else if (!page->records.empty()
                 && m_store.installSnapshot(page->records.back().payload).ok())
            pushToSubscribers();
    });
}

void Distributor::writeSnapshotIfDue()
{
    const bool due =
            m_store.version() >= m_snapshotWrittenVersion + m_options.snapshotIntervalRecords;
    if (!due || !m_isReader || m_snapshotWritePending || !m_store.mayServe())
        return;
    // Any reader may write a snapshot, since it is a pure function of the log's prefix. To save
    // appends, only the first-ranked node of the whole mesh does.
    const std::vector<std::string> rankedNodes =
            rankByWeight(m_members.reachableNodes(""), "snapshot");
    if (rankedNodes.empty() || rankedNodes.front() != m_options.node)
        return;
    m_snapshotWritePending = true;
    const std::uint64_t version = m_store.version();
    m_log.append(SnapshotStream, m_store.snapshot(),
                 [this, version](const absl::StatusOr<std::uint64_t> &offset) {
                     m_snapshotWritePending = false;
                     if (!offset.ok()) {
                         logEvent(Event::AppendFailed,
                                  {{"stream", SnapshotStream},
                                   {"reason", std::string(offset.status().message())}});
                         return;
                     }
                     m_snapshotWrittenVersion = version;
                     logEvent(Event::SnapshotWritten, {{"version", version}});
                 });
}

void Distributor::recordPeerVersion(std::uint64_t version, bool serving)
{
    m_peerFloor = std::max(m_peerFloor, version);
    // A peer that does not serve yet knows no more about the floor than this node does.
    m_hasPeerFloor = m_hasPeerFloor || serving;
    decideFloor();
}

void Distributor::handleFetch(const std::string &peer, LinkId link, const FetchMessage &fetch)
{
    if (fetch.from <= m_store.version())
        sendRecordsFrom(peer, link, fetch.from);
    if (!fetch.subscribe)
        return;
    Subscriber &subscriber = m_subscribers[peer];
    subscriber.renewedAt = m_timers.now();
    subscriber.sentUpTo = m_store.version();
    subscriber.progress = DomainProgress{
            .nodes = fetch.subtreeNodes, .oldest = fetch.subtreeOldest, .late = fetch.subtreeLate};
}

bool Distributor::sendRecordsFrom(const std::string &peer, LinkId link, std::uint64_t offset)
{
    if (!m_store.hasRecordsFrom(offset))
        return m_network.sendOnLink(link, SnapshotMessage{.snapshot = m_store.snapshot()});
    while (offset <= m_store.version()) {
        RecordsMessage batch{.records = m_store.recordsFrom(offset, MaxBatchRecords)};
        if (batch.records.empty())
            return false;
        const std::uint64_t last = batch.records.back().offset;
        batch.chainHash = m_store.chainHashAt(last);
        if (!m_network.sendOnLink(link, batch)) {
            m_subscribers.erase(peer);
            return false;
        }
        offset = last + 1;
    }
    return true;
}

void Distributor::pushToSubscribers()
{
    std::vector<std::string> peers;
    for (const auto &[peer, subscriber] : m_subscribers) {
        if (subscriber.sentUpTo < m_store.version())
            peers.push_back(peer);
    }
    for (const std::string &peer : peers) {
        const LinkId link = m_network.linkTo(peer);
        const std::uint64_t from = m_subscribers[peer].sentUpTo + 1;
        m_subscribers[peer].sentUpTo = m_store.version();
        if (link == LinkId::None || !sendRecordsFrom(peer, link, from))
            m_subscribers.erase(peer);
    }
}

void Distributor::handleRecords(const std::string &peer, LinkId, const RecordsMessage &message)
{
    const absl::Status status = m_store.applyPeerRecords(message.records, message.chainHash);
    if (!status.ok()) {
        logEvent(Event::FrameRefused, {{"peer", peer}, {"reason", std::string(status.message())}});
        return;
    }
    pushToSubscribers();
}

void Distributor::messageReceived(const std::string &peer, LinkId link, const Message &message)
{
    if (peer == m_upstream)
        m_upstreamReceivedAt = m_timers.now();
    if (const HelloMessage *hello = std::get_if<HelloMessage>(&message)) {
        recordPeerVersion(std::max(hello->applied, hello->witnessed), hello->serving);
    } else if (const PingMessage *ping = std::get_if<PingMessage>(&message)) {
        recordPeerVersion(ping->applied, ping->serving);
    } else if (const FetchMessage *fetch = std::get_if<FetchMessage>(&message)) {
        handleFetch(peer, link, *fetch);
    } else if (const RecordsMessage *records = std::get_if<RecordsMessage>(&message)) {
        handleRecords(peer, link, *records);
    } else if (const SnapshotMessage *snapshot = std::get_if<SnapshotMessage>(&message)) {
        if (m_store.installSnapshot(snapshot->snapshot).ok())
            pushToSubscribers();
    }
}

} // namespace jacinthshift
