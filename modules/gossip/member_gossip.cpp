#include "modules/gossip/member_gossip.h"

#include <algorithm>

#include "core/hash.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxRecordsPerMessage = 512;

/** Returns up to `count` nodes that follow this one on the hash ring. */
std::vector<std::string> successors(std::vector<std::string> nodes, const std::string &self,
                                    std::size_t count)
{
    const std::uint64_t start = stableHash(self);
    std::erase(nodes, self);
    std::sort(nodes.begin(), nodes.end(), [start](const std::string &a, const std::string &b) {
        return stableHash(a) - start < stableHash(b) - start;
    });
    if (nodes.size() > count)
        nodes.resize(count);
    return nodes;
}

} // namespace

MemberGossip::MemberGossip(const MemberGossipOptions &options, MemberTable &members,
                           PeerNetwork &network, TimerService &timers)
    : m_options(options)
    , m_members(members)
    , m_network(network)
    , m_random(options.randomSeed)
    , m_flushTimer(timers, timers.startPeriodic(options.flushPeriod, [this] { flush(); }))
    , m_overlayTimer(timers,
                     timers.startPeriodic(options.overlayPeriod, [this] { maintainOverlay(); }))
    , m_digestTimer(timers, timers.startPeriodic(options.digestPeriod,
                                                 [this] { sendDigestToRandomPeer(); }))
    , m_reconnectTimer(timers, timers.startPeriodic(options.reconnectPeriod,
                                                    [this] { reconnectDownMember(); }))
    , m_seedTimer(timers,
                  timers.startPeriodic(options.seedRetryPeriod, [this] { connectNextSeed(); }))
{
    network.addObserver(*this);
    for (const Endpoint &seed : options.seeds)
        network.connectEndpoint(seed);
}

void MemberGossip::broadcast(const Message &message, const std::string &except)
{
    for (const std::string &peer : m_network.connectedPeers()) {
        if (peer != except)
            m_network.send(peer, message);
    }
}

void MemberGossip::flush()
{
    std::vector<MemberRecord> changed = m_members.takeChangedRecords();
    while (!changed.empty()) {
        const std::size_t count = std::min(changed.size(), MaxRecordsPerMessage);
        MembersMessage message;
        message.records.assign(changed.end() - static_cast<std::ptrdiff_t>(count), changed.end());
        changed.resize(changed.size() - count);
        broadcast(message);
    }
}

void MemberGossip::chooseOverlay()
{
    const std::vector<std::string> inDomain = m_members.reachableNodes(m_options.domain);
    std::vector<std::string> inOtherDomains;
    for (const std::string &node : m_members.reachableNodes("")) {
        if (m_members.find(node)->domain != m_options.domain)
            inOtherDomains.push_back(node);
    }
    std::set<std::string> overlay;
    for (const std::string &node : successors(inDomain, m_options.node, m_options.peersInDomain))
        overlay.insert(node);
    for (const std::string &node :
         successors(inOtherDomains, m_options.node, m_options.peersInOtherDomains))
        overlay.insert(node);
    m_overlay = std::move(overlay);
    m_network.setPersistentPeers(m_overlay);
}

void MemberGossip::maintainOverlay()
{
    // Sorting all members is the most expensive step in a large mesh, so it runs after changes
    // only.
    if (m_overlayGeneration != m_members.generation()) {
        m_overlayGeneration = m_members.generation();
        chooseOverlay();
    }
    for (const std::string &peer : m_overlay)
        m_network.connectPeer(peer);
}

void MemberGossip::sendDigestToRandomPeer()
{
    const std::vector<std::string> peers = m_network.connectedPeers();
    if (peers.empty())
        return;
    const MemberDigest &digest = m_members.digest();
    m_network.send(peers[m_random.below(peers.size())],
                   DigestMessage{.buckets = {digest.begin(), digest.end()}});
}

void MemberGossip::reconnectDownMember()
{
    // After a network partition, the nodes of each side have marked those of the other as down.
    // They reconnect only if some node keeps trying.
    const std::vector<std::string> down = m_members.downNodes();
    if (!down.empty())
        m_network.connectPeer(down[m_random.below(down.size())]);
}

void MemberGossip::connectNextSeed()
{
    if (m_options.seeds.empty() || !m_network.connectedPeers().empty())
        return;
    m_network.connectEndpoint(m_options.seeds[m_nextSeed++ % m_options.seeds.size()]);
}

void MemberGossip::handleDigest(const std::string &peer, LinkId link, const DigestMessage &digest)
{
    if (digest.buckets.size() != MemberBucketCount)
        return;
    const MemberDigest &localDigest = m_members.digest();
    MembersMessage difference;
    bool differs = false;
    for (std::size_t bucket = 0; bucket < MemberBucketCount; ++bucket) {
        if (localDigest[bucket] == digest.buckets[bucket])
            continue;
        differs = true;
        for (MemberRecord &record : m_members.recordsInBucket(bucket))
            difference.records.push_back(std::move(record));
    }
    if (!difference.records.empty())
        m_network.sendOnLink(link, difference);
    if (differs && !digest.reply)
        m_network.send(peer, DigestMessage{.buckets = {localDigest.begin(), localDigest.end()},
                                           .reply = true});
}

void MemberGossip::linkEstablished(const std::string &peer)
{
    m_linkFailures.erase(peer);
    const MemberDigest &digest = m_members.digest();
    m_network.send(peer, DigestMessage{.buckets = {digest.begin(), digest.end()}});
}

void MemberGossip::linkLost(const std::string &peer, LinkId)
{
    if (!m_overlay.contains(peer) || m_network.linkTo(peer) != LinkId::None)
        return;
    // Reconnects before the peer is marked as suspect.
    if (++m_linkFailures[peer] < m_options.failuresBeforeSuspicion) {
        m_network.connectPeer(peer);
        return;
    }
    m_linkFailures.erase(peer);
    m_members.markSuspect(peer);
}

void MemberGossip::messageReceived(const std::string &peer, LinkId link, const Message &message)
{
    if (const MembersMessage *members = std::get_if<MembersMessage>(&message)) {
        for (const MemberRecord &record : members->records)
            m_members.merge(record);
    } else if (const DigestMessage *digest = std::get_if<DigestMessage>(&message)) {
        handleDigest(peer, link, *digest);
    }
}

} // namespace jacinthshift
