#include "modules/fleet/fleet_network.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <unordered_set>

#include "core/logger.h"
#include "core/text.h"
#include "modules/fleet/message_codec.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds TickPeriod{100};

} // namespace

FleetNetwork::FleetNetwork(const FleetNetworkOptions &options, LinkTransport &transport,
                           TimerService &timers)
    : m_options(options)
    , m_transport(transport)
    , m_timers(timers)
    , m_random(options.randomSeed)
    , m_linkPlan(options.linkPlan)
{
}

absl::Status FleetNetwork::start()
{
    const absl::Status status = m_transport.start(*this);
    if (!status.ok())
        return status;
    m_startedAt = m_timers.now();
    m_nextHeartbeat = m_timers.now() + heartbeatPeriod();
    m_tickTimer = Timer(m_timers, m_timers.startPeriodic(TickPeriod, [this] { tick(); }));
    return absl::OkStatus();
}

std::chrono::milliseconds FleetNetwork::heartbeatPeriod() const
{
    const std::size_t links = std::max(m_links.size(), m_options.linksAtBaseRate);
    const std::chrono::milliseconds scaled = m_options.baseHeartbeatPeriod
                                             * static_cast<std::int64_t>(links)
                                             / static_cast<std::int64_t>(m_options.linksAtBaseRate);
    return std::min(scaled, m_options.maxHeartbeatPeriod);
}

std::chrono::milliseconds FleetNetwork::uptime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_startedAt);
}

std::chrono::milliseconds FleetNetwork::silenceTimeout() const
{
    return heartbeatPeriod() * m_options.missedHeartbeatLimit;
}

bool FleetNetwork::isInOwnDomain(const FleetPeer &peer) const
{
    return peer.contact.domain == m_options.self.domain;
}

std::vector<NodeContact> FleetNetwork::contacts() const
{
    std::vector<NodeContact> known;
    for (const auto &[node, peer] : m_peers) {
        const bool untried = !peer.planned && !peer.dialFailed;
        if (!peer.links.empty() || untried)
            known.push_back(peer.contact);
    }
    return known;
}

bool FleetNetwork::isRelay() const
{
    const RelayRank own = relayRank(m_options.self);
    const auto better = std::count_if(m_peers.begin(), m_peers.end(), [&](const auto &entry) {
        const FleetPeer &peer = entry.second;
        return isInOwnDomain(peer) && isReachable(peer) && !peer.status.leaving
               && relayRank(peer.contact) > own;
    });
    return static_cast<std::size_t>(better) < m_options.relaysPerDomain;
}

std::vector<std::string> FleetNetwork::otherDomainRelays() const
{
    std::map<std::string, std::vector<std::pair<RelayRank, std::string>>> ranked;
    for (const auto &[node, peer] : m_peers) {
        if (!isInOwnDomain(peer) && isReachable(peer) && !peer.status.leaving)
            ranked[peer.contact.domain].emplace_back(relayRank(peer.contact), node);
    }
    std::vector<std::string> relays;
    for (auto &[domain, nodes] : ranked) {
        std::sort(nodes.begin(), nodes.end(), std::greater<>());
        nodes.resize(std::min(nodes.size(), m_options.relaysPerDomain));
        for (const auto &[rank, node] : nodes)
            relays.push_back(node);
    }
    return relays;
}

void FleetNetwork::updateLinkPlan()
{
    m_nextPlanUpdate = m_timers.now() + m_options.linkPlanPeriod;
    if (!needsRelays()) {
        for (auto &[node, peer] : m_peers)
            peer.planned = true;
        return;
    }
    std::vector<LinkPlanNode> nodes;
    nodes.reserve(m_peers.size());
    for (const auto &[node, peer] : m_peers) {
        nodes.push_back(LinkPlanNode{.contact = &peer.contact,
                                     .unreachable = peer.silent
                                                    || (peer.links.empty() && peer.dialFailed)});
    }
    const std::set<std::string> chosen = m_linkPlan.choose(m_options.self, isRelay(), nodes);
    for (auto &[node, peer] : m_peers)
        peer.planned = chosen.contains(node);
}

const FleetPeer *FleetNetwork::peer(const std::string &node) const
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() ? nullptr : &found->second;
}

bool FleetNetwork::addContacts(const std::vector<NodeContact> &contacts)
{
    bool changed = false;
    for (const NodeContact &contact : contacts)
        changed = updateContact(contact) || changed;
    if (!changed)
        return false;
    updateLinkPlan();
    for (auto &[node, peer] : m_peers)
        maintainLinks(peer);
    return true;
}

void FleetNetwork::connectEndpoint(const Endpoint &linkEndpoint)
{
    const bool known =
            std::any_of(m_peers.begin(), m_peers.end(), [&linkEndpoint](const auto &entry) {
                return entry.second.contact.linkEndpoint == linkEndpoint;
            });
    if (!known && linkEndpoint != m_options.self.linkEndpoint)
        m_transport.connect(linkEndpoint);
}

bool FleetNetwork::updateContact(const NodeContact &contact)
{
    if (contact.node.empty() || contact.node == m_options.self.node
        || contact.linkEndpoint == m_options.self.linkEndpoint)
        return false;
    if (m_peers.size() >= m_options.maxPeers && !m_peers.contains(contact.node))
        return false;
    const auto [entry, isNew] = m_peers.try_emplace(contact.node);
    FleetPeer &peer = entry->second;
    if (!isNew && contact.incarnation <= peer.contact.incarnation)
        return false;
    // Another node may have met the new process first. A call on a link to the ended one must not
    // be taken for a call to the new one, which would report that it has not run.
    endProcess(peer);
    peer.contact = contact;
    peer.dialFailed = false;
    peer.redialDelay = m_options.initialRedialDelay;
    peer.nextDial = m_timers.now();
    peer.lastLinkedAt = m_timers.now();
    if (m_options.self.node > contact.node)
        peer.nextDial += m_options.dialTieBreakDelay;
    return true;
}

bool FleetNetwork::isExpired(FleetPeer &peer)
{
    if (!peer.links.empty() || peer.dialing != LinkId::None
        || m_timers.now() - peer.lastLinkedAt <= m_options.unreachableRetention)
        return false;
    if (peer.planned || peer.dialFailed)
        return true;
    // Whether a node to which no link was planned still exists shows only when it is dialled.
    dial(peer);
    return false;
}

void FleetNetwork::tick()
{
    if (m_timers.now() >= m_nextPlanUpdate)
        updateLinkPlan();
    for (auto entry = m_peers.begin(); entry != m_peers.end();) {
        FleetPeer &peer = entry->second;
        maintainLinks(peer);
        entry = isExpired(peer) ? m_peers.erase(entry) : std::next(entry);
    }
    if (m_timers.now() >= m_nextHeartbeat)
        sendHeartbeats();
    fetchContacts();
}

std::string FleetNetwork::chooseContactsSource()
{
    if (!m_unaskedPeers.empty()) {
        const auto chosen =
                std::next(m_unaskedPeers.begin(),
                          static_cast<std::ptrdiff_t>(m_random.below(m_unaskedPeers.size())));
        return m_unaskedPeers.extract(chosen).value();
    }
    std::vector<std::string> otherDomainNodes;
    for (const auto &[node, peer] : m_peers) {
        if (!isReachable(peer))
            continue;
        if (isInOwnDomain(peer))
            return {};
        otherDomainNodes.push_back(node);
    }
    return otherDomainNodes.empty() ? std::string()
                                    : otherDomainNodes[m_random.below(otherDomainNodes.size())];
}

/**
 * Fetches the contacts that this node lacks: from peers in its own failure domain, one at a time,
 * after links to them have opened; from a node in another one if none in the own one is reachable.
 */
void FleetNetwork::fetchContacts()
{
    const std::chrono::milliseconds interval = m_unaskedPeers.empty()
                                                       ? m_options.contactsFetchPeriod
                                                       : m_options.minContactsFetchInterval;
    const SteadyTime now = m_timers.now();
    if (m_contactsFetchedAt != SteadyTime() && now - m_contactsFetchedAt < interval)
        return;
    const std::string source = chooseContactsSource();
    if (source.empty())
        return;
    m_contactsFetchedAt = now;
    ContactsFetchMessage fetch{.known = {contactHash(m_options.self)}};
    for (const auto &[node, peer] : m_peers)
        fetch.known.push_back(contactHash(peer.contact));
    send(source, fetch);
}

ContactsMessage FleetNetwork::contactsUnknownTo(const ContactsFetchMessage &fetch) const
{
    const std::unordered_set<std::uint64_t> known(fetch.known.begin(), fetch.known.end());
    ContactsMessage message{.contacts = contacts()};
    std::erase_if(message.contacts, [&known](const NodeContact &contact) {
        return known.contains(contactHash(contact));
    });
    return message;
}

void FleetNetwork::contactsReceived(const FleetPeer &source,
                                    const std::vector<NodeContact> &contacts)
{
    const bool isOwnDomain = isInOwnDomain(source);
    const bool areNew = addContacts(contacts);
    if (!isOwnDomain)
        return;
    // Peers that have been linked for a while know the same, so a few of them are enough.
    m_fetchesWithoutNews = areNew ? 0 : m_fetchesWithoutNews + 1;
    if (m_fetchesWithoutNews >= m_options.maxFetchesWithoutNews)
        m_unaskedPeers.clear();
}

void FleetNetwork::maintainLinks(FleetPeer &peer)
{
    const SteadyTime now = m_timers.now();
    if (peer.dialing != LinkId::None && now - peer.dialingSince > m_options.dialTimeout)
        m_transport.close(peer.dialing);
    if (!peer.links.empty()) {
        peer.lastLinkedAt = now;
        const SteadyTime::duration silence = now - peer.lastReceivedAt;
        const bool wasSilent = peer.silent;
        const bool probeTimedOut =
                peer.probedAt != SteadyTime() && now - peer.probedAt > m_options.probeTimeout;
        peer.silent = silence > silenceTimeout() || probeTimedOut;
        if (peer.silent && !wasSilent) {
            logEvent(Event::PeerSilent,
                     {{"peer", peer.contact.node},
                      {"silent_ms",
                       std::chrono::duration_cast<std::chrono::milliseconds>(silence).count()}});
            peer.nextDial = now;
            peer.silentSince = now;
        }
        if (silence > m_options.silentCloseTimeout) {
            for (const LinkId link : std::vector<LinkId>(peer.links))
                m_transport.close(link);
        }
    }
    // A silent peer gets another link, since its present one may be dead.
    const bool needsLink = peer.links.empty() ? peer.planned : peer.silent;
    if (needsLink && peer.dialing == LinkId::None && now >= peer.nextDial)
        dial(peer);
}

void FleetNetwork::dial(FleetPeer &peer)
{
    peer.dialing = m_transport.connect(peer.contact.linkEndpoint);
    peer.dialingSince = m_timers.now();
    peer.nextDial = m_timers.now() + peer.redialDelay + m_random.jitter(peer.redialDelay);
    peer.redialDelay = std::min(peer.redialDelay * 2, m_options.maxRedialDelay);
    m_links[peer.dialing] = Link{};
}

void FleetNetwork::setStatus(const StatusMessage &status, StatusAudience audience)
{
    m_status = status;
    if (audience == StatusAudience::Everywhere) {
        sendStatus();
    } else if (audience == StatusAudience::OwnDomain) {
        for (const auto &[node, peer] : m_peers) {
            if (isInOwnDomain(peer))
                send(node, m_status);
        }
    }
}

void FleetNetwork::sendStatus()
{
    m_nextHeartbeat = m_timers.now() + heartbeatPeriod();
    for (auto &[node, peer] : m_peers)
        peer.lastSentAt = m_timers.now();
    broadcast(m_status);
}

/** Skips peers in other failure domains to which a message was sent recently. */
void FleetNetwork::sendHeartbeats()
{
    const SteadyTime now = m_timers.now();
    m_nextHeartbeat = now + heartbeatPeriod();
    const std::string frame = encodeFleetMessage(m_status);
    for (auto &[node, peer] : m_peers) {
        if (!isInOwnDomain(peer)
            && now - peer.lastSentAt < heartbeatPeriod() * m_options.otherDomainHeartbeatFactor)
            continue;
        if (peer.links.empty())
            continue;
        peer.lastSentAt = now;
        transmit(peer.links.back(), peer, m_status, frame);
    }
}

FleetPeer *FleetNetwork::findLinkedPeer(const std::string &node)
{
    const auto found = m_peers.find(node);
    return found == m_peers.end() || found->second.links.empty() ? nullptr : &found->second;
}

bool FleetNetwork::send(const std::string &node, const FleetMessage &message)
{
    FleetPeer *peer = findLinkedPeer(node);
    if (peer == nullptr)
        return false;
    peer->lastSentAt = m_timers.now();
    return transmit(peer->links.back(), *peer, message, encodeFleetMessage(message));
}

bool FleetNetwork::sendUncompressed(const std::string &node, const FleetMessage &message)
{
    FleetPeer *peer = findLinkedPeer(node);
    if (peer == nullptr)
        return false;
    peer->lastSentAt = m_timers.now();
    const std::string frame = encodeFleetMessage(message);
    countFrame(*peer, message, frame);
    return m_transport.sendUncompressed(peer->links.back(), frame);
}

std::size_t FleetNetwork::queuedBytes(const std::string &node) const
{
    const FleetPeer *known = peer(node);
    return known == nullptr || known->links.empty() ? 0
                                                    : m_transport.queuedBytes(known->links.back());
}

std::size_t FleetNetwork::unacknowledgedBytes(const std::string &node) const
{
    const FleetPeer *known = peer(node);
    return known == nullptr || known->links.empty()
                   ? 0
                   : m_transport.unacknowledgedBytes(known->links.back());
}

void FleetNetwork::countFrame(const FleetPeer &peer, const FleetMessage &message,
                              const std::string &frame)
{
    FrameCount &count = m_sentFrames.at(message.index()).at(isInOwnDomain(peer) ? 0 : 1);
    ++count.frames;
    count.bytes += frame.size();
}

bool FleetNetwork::transmit(LinkId link, const FleetPeer &peer, const FleetMessage &message,
                            const std::string &frame)
{
    countFrame(peer, message, frame);
    return m_transport.send(link, frame);
}

void FleetNetwork::probe(const std::string &node)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end() || found->second.links.empty())
        return;
    FleetPeer &peer = found->second;
    const SteadyTime now = m_timers.now();
    if (peer.probedAt != SteadyTime() || now - peer.lastReceivedAt < m_options.probeAfter)
        return;
    peer.probedAt = now;
    send(node, ProbeMessage());
}

void FleetNetwork::broadcast(const FleetMessage &message)
{
    const std::string frame = encodeFleetMessage(message);
    for (const auto &[node, peer] : m_peers) {
        if (!peer.links.empty())
            transmit(peer.links.back(), peer, message, frame);
    }
}

void FleetNetwork::linkOpened(LinkId link, bool)
{
    m_links.try_emplace(link);
    m_transport.send(
            link, encodeFleetMessage(GreetingMessage{.self = m_options.self, .uptime = uptime()}));
}

void FleetNetwork::frameReceived(LinkId link, const std::string &frame)
{
    const absl::StatusOr<FleetMessage> message = decodeFleetMessage(frame);
    if (!message.ok()) {
        logEvent(Event::FrameRefused, {{"peer", m_links[link].node},
                                       {"reason", std::string(message.status().message())}});
        m_transport.close(link);
        return;
    }
    if (const GreetingMessage *greeting = std::get_if<GreetingMessage>(&*message)) {
        handleGreeting(link, *greeting);
        return;
    }
    const std::string node = m_links[link].node;
    const auto found = m_peers.find(node);
    if (node.empty() || found == m_peers.end()) {
        m_transport.close(link);
        return;
    }
    FleetPeer &peer = found->second;
    peer.lastReceivedAt = m_timers.now();
    peer.probedAt = SteadyTime();
    peer.silent = false;
    if (const ContactsFetchMessage *fetch = std::get_if<ContactsFetchMessage>(&*message))
        send(node, contactsUnknownTo(*fetch));
    else if (const ContactsMessage *received = std::get_if<ContactsMessage>(&*message))
        contactsReceived(peer, received->contacts);
    const ProbeMessage *probe = std::get_if<ProbeMessage>(&*message);
    if (probe != nullptr && !probe->reply)
        send(node, ProbeMessage{.reply = true});
    if (const StatusMessage *status = std::get_if<StatusMessage>(&*message)) {
        updateStatus(peer, *status);
    } else if (const WorkResultMessage *result = std::get_if<WorkResultMessage>(&*message)) {
        updateLoad(peer, result->load);
    }
    for (FleetObserver *observer : m_observers)
        observer->messageReceived(node, *message);
}

void FleetNetwork::updateLoad(FleetPeer &peer, const BackendLoad &load)
{
    BackendStatus &backend = peer.status.backend;
    backend.concurrencyLimit = load.concurrencyLimit;
    backend.running = load.running;
    backend.queued = load.queued;
    backend.startsPerSecond = load.startsPerSecond;
    backend.serviceTime = load.serviceTime;
    backend.failuresPerThousand = load.failuresPerThousand;
    backend.requestRateLimit = load.requestRateLimit;
    backend.responseBacklog = load.responseBacklog;
    backend.remainingWork = load.remainingWork;
    backend.normalRunTime = load.normalRunTime;
    backend.pacePercent = load.pacePercent;
    peer.statusReceivedAt = m_timers.now();
}

void FleetNetwork::updateStatus(FleetPeer &peer, const StatusMessage &status)
{
    peer.status = status;
    peer.statusReceivedAt = m_timers.now();
    peer.hasStatus = true;
    if (status.backend.leaving) {
        peer.leavingBackend = BackendLifetime{status.backend.id, status.backend.startedAt};
    } else if (isBackendLeaving(peer)
               && status.backend.availability == BackendAvailability::Ready) {
        logEvent(Event::LeftBackendReported,
                 {{"peer", peer.contact.node}, {"backend", status.backend.id}});
    }
}

void FleetNetwork::backendLeft(const std::string &node, const BackendLifetime &backend)
{
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    std::optional<BackendLifetime> &known = found->second.leavingBackend;
    if (!known || known->startedAt < backend.startedAt)
        known = backend;
}

bool FleetNetwork::isBackendLeaving(const FleetPeer &peer)
{
    const BackendStatus &backend = peer.status.backend;
    return peer.leavingBackend == BackendLifetime{backend.id, backend.startedAt};
}

void FleetNetwork::endProcess(FleetPeer &peer)
{
    for (const LinkId oldLink : std::vector<LinkId>(peer.links))
        m_transport.close(oldLink);
    peer.hasStatus = false;
    peer.status = StatusMessage();
}

bool FleetNetwork::isAcceptable(LinkId link, const GreetingMessage &greeting) const
{
    const std::string &node = greeting.self.node;
    const auto known = m_links.find(link);
    const bool isOfOtherNode =
            known != m_links.end() && !known->second.node.empty() && known->second.node != node;
    return greeting.protocol == GreetingMessage::Protocol && !node.empty()
           && node != m_options.self.node && !isOfOtherNode;
}

bool FleetNetwork::makeRoomForPeer(const std::string &node)
{
    if (m_peers.size() < m_options.maxPeers || m_peers.contains(node))
        return true;
    auto oldest = m_peers.end();
    for (auto entry = m_peers.begin(); entry != m_peers.end(); ++entry) {
        const FleetPeer &peer = entry->second;
        if (peer.links.empty() && peer.dialing == LinkId::None
            && (oldest == m_peers.end() || peer.lastLinkedAt < oldest->second.lastLinkedAt))
            oldest = entry;
    }
    if (oldest == m_peers.end())
        return false;
    m_peers.erase(oldest);
    return true;
}

void FleetNetwork::handleGreeting(LinkId link, const GreetingMessage &greeting)
{
    const NodeContact &contact = greeting.self;
    if (!isAcceptable(link, greeting) || !makeRoomForPeer(contact.node)) {
        m_transport.close(link);
        return;
    }
    const auto [entry, isNew] = m_peers.try_emplace(contact.node);
    FleetPeer &peer = entry->second;
    if (peer.contact.incarnation > contact.incarnation) {
        // The greeting is from an earlier process of a node that has been restarted since.
        m_transport.close(link);
        return;
    }
    if (contact.incarnation > peer.contact.incarnation)
        endProcess(peer);
    peer.contact = contact;
    peer.dialFailed = false;
    // The plan for a mesh that grows is updated with the next tick.
    if (isNew)
        m_nextPlanUpdate = m_timers.now();
    peer.redialDelay = m_options.initialRedialDelay;
    if (peer.dialing == link)
        peer.dialing = LinkId::None;
    m_links[link].node = contact.node;
    if (std::find(peer.links.begin(), peer.links.end(), link) == peer.links.end())
        peer.links.push_back(link);
    peer.lastReceivedAt = m_timers.now();
    peer.lastLinkedAt = peer.lastReceivedAt;
    peer.probedAt = SteadyTime();
    peer.silent = false;
    // Traffic between failure domains is expensive, so it is compressed; within one, compression
    // is not worth its processor time.
    m_transport.setCompression(link, !isInOwnDomain(peer));
    logEvent(Event::LinkOpened, {{"peer", contact.node}, {"links", peer.links.size()}});
    m_transport.send(link, encodeFleetMessage(m_status));
    if (!peer.hasStatus && peer.leavingBackend)
        m_transport.send(link,
                         encodeFleetMessage(BackendLeftMessage{.backend = *peer.leavingBackend}));
    // The contact list grows with the mesh, so it is not part of what each link begins with. A node
    // that has just started knows no more than its peers.
    const bool mayKnowMore =
            greeting.uptime >= m_options.joinPeriod || uptime() < m_options.joinPeriod;
    if (isInOwnDomain(peer) && mayKnowMore) {
        m_unaskedPeers.insert(contact.node);
        m_fetchesWithoutNews = 0;
    }
    for (FleetObserver *observer : m_observers)
        observer->linksChanged(contact.node);
}

void FleetNetwork::linkClosed(LinkId link)
{
    const auto closed = m_links.find(link);
    const std::string node = closed == m_links.end() ? std::string() : closed->second.node;
    m_links.erase(link);
    for (auto &[name, peer] : m_peers) {
        if (peer.dialing == link) {
            peer.dialing = LinkId::None;
            peer.dialFailed = true;
        }
    }
    const auto found = m_peers.find(node);
    if (found == m_peers.end())
        return;
    FleetPeer &peer = found->second;
    const std::size_t oldLinkCount = peer.links.size();
    std::erase(peer.links, link);
    if (peer.links.size() == oldLinkCount)
        return;
    logEvent(Event::LinkClosed, {{"peer", node}, {"links", peer.links.size()}});
    // Jitter on the first dial after a loss, so that nodes that return together do not reconnect
    // all at once.
    peer.nextDial = m_timers.now() + m_random.jitter(m_options.initialRedialDelay);
    for (FleetObserver *observer : m_observers)
        observer->linksChanged(node);
}

} // namespace jacinthshift
