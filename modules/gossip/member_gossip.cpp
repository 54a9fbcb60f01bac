#include "modules/gossip/member_gossip.h"

#include <algorithm>

#include "core/hash.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxRecordsPerMessage = 512;

/** Returns the first nodes after this one on the ring of hashes. */
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
    , m_random(options.seed)
    , m_flusher(timers, timers.startPeriodic(options.flushPeriod, [this] { flush(); }))
    , m_overlayTimer(timers,
                     timers.startPeriodic(options.overlayPeriod, [this] { maintainOverlay(); }))
    , m_digestTimer(timers,
                    timers.startPeriodic(options.digestPeriod, [this] { compareWithSomebody(); }))
    , m_contactTimer(timers,
                     timers.startPeriodic(options.contactPeriod, [this] { contactTheLost(); }))
    , m_seedTimer(timers, timers.startPeriodic(options.seedPeriod, [this] { contactNextSeed(); }))
{
    network.addObserver(*this);
    for (const Endpoint &seed : options.seeds)
        network.connectEndpoint(seed);
}

void MemberGossip::flood(const Message &message, const std::string &except)
{
    for (const std::string &peer : m_network.connectedPeers()) {
        if (peer != except)
            m_network.send(peer, message);
    }
}

void MemberGossip::flush()
{
    std::vector<MemberRecord> fresh = m_members.takeFresh();
    while (!fresh.empty()) {
        const std::size_t count = std::min(fresh.size(), MaxRecordsPerMessage);
        MembersMessage message;
        message.records.assign(fresh.end() - static_cast<std::ptrdiff_t>(count), fresh.end());
        fresh.resize(fresh.size() - count);
        flood(message);
    }
}

void MemberGossip::chooseOverlay()
{
    const std::vector<std::string> near = m_members.reachable(m_options.domain);
    std::vector<std::string> elsewhere;
    for (const std::string &node : m_members.reachable("")) {
        if (m_members.find(node)->domain != m_options.domain)
            elsewhere.push_back(node);
    }
    std::set<std::string> overlay;
    for (const std::string &node : successors(near, m_options.node, m_options.peersInDomain))
        overlay.insert(node);
    for (const std::string &node : successors(elsewhere, m_options.node, m_options.peersElsewhere))
        overlay.insert(node);
    m_overlay = std::move(overlay);
    m_network.keepPeers(m_overlay);
}

void MemberGossip::maintainOverlay()
{
    // Ranking all members is the dearest part at full size, so it is done after changes only.
    if (m_overlayGeneration != m_members.generation()) {
        m_overlayGeneration = m_members.generation();
        chooseOverlay();
    }
    for (const std::string &peer : m_overlay)
        m_network.connectPeer(peer);
}

void MemberGossip::compareWithSomebody()
{
    const std::vector<std::string> peers = m_network.connectedPeers();
    if (peers.empty())
        return;
    const MemberDigest &digest = m_members.digest();
    m_network.send(peers[m_random.below(peers.size())],
                   DigestMessage{.buckets = {digest.begin(), digest.end()}});
}

void MemberGossip::contactTheLost()
{
    // After a cut both sides hold each other for down; somebody has to try again.
    const std::vector<std::string> lost = m_members.down();
    if (!lost.empty())
        m_network.connectPeer(lost[m_random.below(lost.size())]);
}

void MemberGossip::contactNextSeed()
{
    if (m_options.seeds.empty() || !m_network.connectedPeers().empty())
        return;
    m_network.connectEndpoint(m_options.seeds[m_nextSeed++ % m_options.seeds.size()]);
}

void MemberGossip::answerDigest(const std::string &peer, LinkId link, const DigestMessage &digest)
{
    if (digest.buckets.size() != MemberBuckets)
        return;
    const MemberDigest &mine = m_members.digest();
    MembersMessage difference;
    bool differs = false;
    for (std::size_t bucket = 0; bucket < MemberBuckets; ++bucket) {
        if (mine[bucket] == digest.buckets[bucket])
            continue;
        differs = true;
        for (MemberRecord &record : m_members.recordsInBucket(bucket))
            difference.records.push_back(std::move(record));
    }
    if (!difference.records.empty())
        m_network.sendOnLink(link, difference);
    if (differs && !digest.reply)
        m_network.send(peer, DigestMessage{.buckets = {mine.begin(), mine.end()}, .reply = true});
}

void MemberGossip::peerUp(const std::string &peer)
{
    m_failures.erase(peer);
    const MemberDigest &digest = m_members.digest();
    m_network.send(peer, DigestMessage{.buckets = {digest.begin(), digest.end()}});
}

void MemberGossip::linkLost(const std::string &peer, LinkId)
{
    if (!m_overlay.contains(peer) || m_network.linkTo(peer) != LinkId::None)
        return;
    // A fresh connection is tried before a peer is suspected.
    if (++m_failures[peer] < m_options.failuresBeforeSuspicion) {
        m_network.connectPeer(peer);
        return;
    }
    m_failures.erase(peer);
    m_members.suspect(peer);
}

void MemberGossip::peerMessage(const std::string &peer, LinkId link, const Message &message)
{
    if (const MembersMessage *members = std::get_if<MembersMessage>(&message)) {
        for (const MemberRecord &record : members->records)
            m_members.merge(record);
    } else if (const DigestMessage *digest = std::get_if<DigestMessage>(&message)) {
        answerDigest(peer, link, *digest);
    }
}

} // namespace jacinthshift
