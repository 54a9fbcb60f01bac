#include "modules/mesh/peer_network.h"

#include <algorithm>

#include "core/logger.h"
#include "core/text.h"
#include "modules/mesh/message_codec.h"

namespace jacinthshift {

namespace {

bool isCallTraffic(const Message &message)
{
    return std::holds_alternative<CallMessage>(message)
           || std::holds_alternative<AnswerMessage>(message)
           || std::holds_alternative<CancelMessage>(message);
}

} // namespace

PeerNetwork::PeerNetwork(const PeerNetworkOptions &options, LinkTransport &transport,
                         TimerService &timers, MemberTable &members, VersionSource versionSource)
    : m_options(options)
    , m_transport(transport)
    , m_timers(timers)
    , m_members(members)
    , m_versionSource(std::move(versionSource))
    , m_linkCheckTimer(timers, timers.startPeriodic(options.pingPeriod, [this] { checkLinks(); }))
{
}

PeerNetwork::~PeerNetwork() = default;

void PeerNetwork::connectEndpoint(const Endpoint &endpoint)
{
    const LinkId id = m_transport.connect(endpoint);
    const SteadyTime now = m_timers.now();
    m_links[id] = Link{.outgoing = true, .openedAt = now, .lastReceivedAt = now, .lastCallAt = now};
}

void PeerNetwork::connectPeer(const std::string &node)
{
    const MemberRecord *member = m_members.find(node);
    if (member == nullptr || linkTo(node) != LinkId::None || isConnecting(node))
        return;
    const LinkId id = m_transport.connect(member->links);
    const SteadyTime now = m_timers.now();
    m_links[id] = Link{.expectedPeer = node,
                       .outgoing = true,
                       .openedAt = now,
                       .lastReceivedAt = now,
                       .lastCallAt = now};
}

bool PeerNetwork::isConnecting(const std::string &node) const
{
    return std::any_of(m_links.begin(), m_links.end(), [&node](const auto &pair) {
        return !pair.second.handshakeDone && pair.second.expectedPeer == node;
    });
}

LinkId PeerNetwork::linkTo(const std::string &node) const
{
    const auto found = m_linksOfPeer.find(node);
    if (found == m_linksOfPeer.end())
        return LinkId::None;
    // The newest link is the most likely to be working.
    for (auto id = found->second.rbegin(); id != found->second.rend(); ++id) {
        if (!m_links.at(*id).unresponsive)
            return *id;
    }
    return LinkId::None;
}

std::vector<std::string> PeerNetwork::connectedPeers() const
{
    std::vector<std::string> peers;
    for (const auto &[peer, links] : m_linksOfPeer) {
        if (!links.empty())
            peers.push_back(peer);
    }
    return peers;
}

bool PeerNetwork::reportProbeTimeout(LinkId link, SteadyTime probedAt)
{
    const auto found = m_links.find(link);
    if (found == m_links.end() || found->second.lastReceivedAt > probedAt)
        return false;
    if (!found->second.unresponsive)
        logEvent(Event::LinkSilent, {{"peer", found->second.peer}, {"reason", "unanswered probe"}});
    found->second.unresponsive = true;
    connectPeer(found->second.peer);
    return true;
}

bool PeerNetwork::isUnresponsive(LinkId link) const
{
    const auto found = m_links.find(link);
    return found == m_links.end() || found->second.unresponsive;
}

LinkId PeerNetwork::send(const std::string &node, const Message &message)
{
    const LinkId link = linkTo(node);
    if (link == LinkId::None || !encodeAndSend(link, message))
        return LinkId::None;
    return link;
}

bool PeerNetwork::sendOnLink(LinkId link, const Message &message)
{
    return m_links.contains(link) && encodeAndSend(link, message);
}

bool PeerNetwork::encodeAndSend(LinkId id, const Message &message)
{
    const std::string frame = encodeMessage(message);
    if (!m_transport.send(id, frame))
        return false;
    m_bytesSent += frame.size();
    if (isCallTraffic(message)) {
        m_callBytes += frame.size();
        m_links[id].lastCallAt = m_timers.now();
    }
    return true;
}

void PeerNetwork::sendPing(LinkId id, bool reply)
{
    const AppliedVersion applied = m_versionSource();
    sendOnLink(id,
               PingMessage{.reply = reply, .applied = applied.version, .serving = applied.serving});
}

std::uint64_t PeerNetwork::appliedVersionOf(const std::string &node) const
{
    const auto found = m_appliedByPeer.find(node);
    return found == m_appliedByPeer.end() ? 0 : found->second;
}

void PeerNetwork::checkLinks()
{
    const SteadyTime now = m_timers.now();
    m_incomingLinksSinceCheck = 0;
    std::vector<LinkId> timedOut;
    std::vector<LinkId> idle;
    std::vector<LinkId> active;
    for (const auto &[id, link] : m_links) {
        const bool handshakeOverdue =
                !link.handshakeDone && now - link.openedAt > m_options.handshakeTimeout;
        if (handshakeOverdue
            || (link.handshakeDone && now - link.lastReceivedAt > m_options.receiveTimeout))
            timedOut.push_back(id);
        else if (link.handshakeDone && !m_persistentPeers.contains(link.peer) && link.outgoing
                 && now - link.lastCallAt > m_options.idleTimeout)
            idle.push_back(id);
        else if (link.handshakeDone)
            active.push_back(id);
    }
    for (const LinkId id : timedOut) {
        const Link &link = m_links[id];
        logEvent(Event::LinkSilent,
                 {{"peer", link.peer.empty() ? link.expectedPeer : link.peer},
                  {"reason", link.handshakeDone ? "nothing received" : "no hello received"}});
        m_transport.close(id);
    }
    for (const LinkId id : idle)
        m_transport.close(id);
    for (const LinkId id : active)
        sendPing(id, false);
}

void PeerNetwork::sendHello(LinkId link)
{
    const MemberRecord *self = m_members.self();
    if (self == nullptr)
        return;
    const AppliedVersion applied = m_versionSource();
    HelloMessage hello{.mesh = m_options.mesh,
                       .member = *self,
                       .applied = applied.version,
                       .serving = applied.serving};
    const auto found = m_links.find(link);
    if (found != m_links.end()) {
        const std::string &peer =
                found->second.peer.empty() ? found->second.expectedPeer : found->second.peer;
        hello.witnessed = appliedVersionOf(peer);
    }
    encodeAndSend(link, hello);
}

void PeerNetwork::linkOpened(LinkId id, bool outgoing)
{
    const SteadyTime now = m_timers.now();
    if (outgoing) {
        m_links[id].lastReceivedAt = now;
        sendHello(id);
        return;
    }
    if (++m_incomingLinksSinceCheck > m_options.maxHandshakesPerSecond) {
        m_transport.close(id);
        return;
    }
    // The accepting node sends its hello after it has received the peer's, which names the peer.
    m_links[id] = Link{.openedAt = now, .lastReceivedAt = now, .lastCallAt = now};
}

void PeerNetwork::closeWithError(LinkId id, const std::string &reason)
{
    logEvent(Event::FrameRefused, {{"peer", m_links[id].peer}, {"reason", reason}});
    m_transport.close(id);
}

void PeerNetwork::handleHello(LinkId id, Link &link, const HelloMessage &hello)
{
    if (hello.protocol != ProtocolVersion) {
        closeWithError(
                id, joinText("protocol version ", hello.protocol, " instead of ", ProtocolVersion));
        return;
    }
    if (hello.mesh != m_options.mesh) {
        closeWithError(id, joinText("the peer belongs to mesh '", hello.mesh, "'"));
        return;
    }
    const MemberRecord *self = m_members.self();
    if (self != nullptr && hello.member.node == self->node) {
        // The configured seeds may include this node itself.
        m_transport.close(id);
        return;
    }
    const std::string peer = hello.member.node;
    link.peer = peer;
    link.handshakeDone = true;
    if (!link.outgoing)
        sendHello(id);
    std::uint64_t &applied = m_appliedByPeer[peer];
    applied = std::max(applied, hello.applied);
    std::vector<LinkId> &links = m_linksOfPeer[peer];
    links.push_back(id);
    logEvent(Event::LinkOpened, {{"peer", peer}, {"applied", hello.applied}});
    m_members.merge(hello.member);
    for (PeerObserver *observer : m_observers)
        observer->messageReceived(peer, id, hello);
    for (PeerObserver *observer : m_observers)
        observer->linkEstablished(peer);
}

void PeerNetwork::frameReceived(LinkId id, const std::string &frame)
{
    const auto found = m_links.find(id);
    if (found == m_links.end())
        return;
    Link &link = found->second;
    link.lastReceivedAt = m_timers.now();
    link.unresponsive = false;
    m_bytesReceived += frame.size();
    const absl::StatusOr<Message> message = decodeMessage(frame);
    if (!message.ok()) {
        closeWithError(id, std::string(message.status().message()));
        return;
    }
    if (const HelloMessage *hello = std::get_if<HelloMessage>(&*message)) {
        if (!link.handshakeDone)
            handleHello(id, link, *hello);
        return;
    }
    if (!link.handshakeDone) {
        closeWithError(id, "the first message is not a hello");
        return;
    }
    if (isCallTraffic(*message)) {
        m_callBytes += frame.size();
        link.lastCallAt = link.lastReceivedAt;
    }
    const std::string peer = link.peer;
    if (const PingMessage *ping = std::get_if<PingMessage>(&*message)) {
        std::uint64_t &applied = m_appliedByPeer[peer];
        applied = std::max(applied, ping->applied);
        if (!ping->reply)
            sendPing(id, true);
    }
    for (PeerObserver *observer : m_observers)
        observer->messageReceived(peer, id, *message);
}

void PeerNetwork::linkClosed(LinkId id)
{
    const auto found = m_links.find(id);
    if (found == m_links.end())
        return;
    const Link link = found->second;
    m_links.erase(found);
    const std::string peer = link.peer.empty() ? link.expectedPeer : link.peer;
    if (link.handshakeDone)
        std::erase(m_linksOfPeer[link.peer], id);
    logEvent(Event::LinkClosed, {{"peer", peer}, {"greeted", link.handshakeDone ? "yes" : "no"}});
    for (PeerObserver *observer : m_observers)
        observer->linkLost(peer, id);
}

} // namespace jacinthshift
