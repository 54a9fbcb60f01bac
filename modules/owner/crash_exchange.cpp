#include "modules/owner/crash_exchange.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "core/logger.h"

namespace jacinthshift {

using std::chrono::milliseconds;

CrashExchange::CrashExchange(const CrashExchangeOptions &options, FleetNetwork &network,
                             TimerService &timers, PoisonRegistry &registry)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_registry(registry)
    , m_forOwnDomain(options.maxWaitingCrashes)
    , m_forOtherDomains(options.maxWaitingCrashes)
{
    network.addObserver(*this);
}

void CrashExchange::report(std::uint64_t fingerprint, const std::string &backend)
{
    logEvent(Event::CrashSuspected,
             {{"fingerprint", formatHash(fingerprint)}, {"backend", backend}});
    enqueue(m_forOwnDomain, fingerprint, backend);
    enqueue(m_forOtherDomains, fingerprint, backend);
}

void CrashExchange::reportCleared(std::uint64_t fingerprint)
{
    m_registry.removeSuspect(fingerprint);
    for (const RecordedCrash &crash : m_registry.crashesOf(fingerprint)) {
        enqueue(m_forOwnDomain, fingerprint, crash.backend);
        enqueue(m_forOtherDomains, fingerprint, crash.backend);
    }
}

void CrashExchange::enqueue(CrashQueue &queue, std::uint64_t fingerprint,
                            const std::string &backend)
{
    if (!queue.add({fingerprint, backend}))
        ++m_counts.dropped;
    scheduleSending();
}

void CrashExchange::scheduleSending()
{
    if (m_sendTimer.isActive())
        return;
    const SteadyTime now = m_timers.now();
    const SteadyTime due = std::max(now + m_options.collectTime, m_nextSending);
    m_sendTimer = Timer(m_timers, m_timers.startOnce(std::chrono::ceil<milliseconds>(due - now),
                                                     [this] { sendWaiting(); }));
}

void CrashExchange::sendWaiting()
{
    m_sendTimer.stop();
    const SteadyTime earliest = m_timers.now() - m_options.sendInterval * m_options.maxBurst;
    m_nextSending = std::max(m_nextSending, earliest) + m_options.sendInterval;
    const CrashReportsMessage ownDomain = takeMessage(m_forOwnDomain);
    if (!ownDomain.crashes.empty()) {
        for (const auto &[node, peer] : m_network.peers()) {
            if (m_network.isInOwnDomain(peer))
                m_network.send(node, ownDomain);
        }
    }
    if (m_network.needsRelays() && !m_network.isRelay())
        m_forOtherDomains.clear();
    const CrashReportsMessage otherDomains = takeMessage(m_forOtherDomains);
    if (!otherDomains.crashes.empty())
        sendToOtherDomains(otherDomains);
    if (waiting() > 0)
        scheduleSending();
}

void CrashExchange::sendToOtherDomains(const CrashReportsMessage &message)
{
    if (m_network.needsRelays()) {
        for (const std::string &relay : m_network.otherDomainRelays())
            m_network.send(relay, message);
        return;
    }
    for (const auto &[node, peer] : m_network.peers()) {
        if (!m_network.isInOwnDomain(peer))
            m_network.send(node, message);
    }
}

CrashReportsMessage CrashExchange::takeMessage(CrashQueue &queue) const
{
    CrashReportsMessage message;
    while (!queue.isEmpty() && message.crashes.size() < m_options.maxCrashesPerMessage) {
        const auto [fingerprint, backend] = queue.take();
        if (const std::optional<RecordedCrash> crash = m_registry.crash(fingerprint, backend))
            message.crashes.push_back(makeReport(*crash));
    }
    return message;
}

CrashReport CrashExchange::makeReport(const RecordedCrash &crash) const
{
    return CrashReport{.fingerprint = crash.fingerprint,
                       .backend = crash.backend,
                       .cleared = crash.cleared,
                       .age = std::chrono::duration_cast<milliseconds>(m_timers.now() - crash.at)};
}

void CrashExchange::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const CrashReportsMessage *reports = std::get_if<CrashReportsMessage>(&message))
        reportsReceived(node, *reports);
}

void CrashExchange::reportsReceived(const std::string &node, const CrashReportsMessage &message)
{
    const FleetPeer *sender = m_network.peer(node);
    if (sender == nullptr)
        return;
    // Whoever another failure domain takes for a relay passes its reports on to the own one.
    CrashQueue &queue = m_network.isInOwnDomain(*sender) ? m_forOtherDomains : m_forOwnDomain;
    const SteadyTime now = m_timers.now();
    for (const CrashReport &report : message.crashes) {
        ++m_counts.received;
        const milliseconds age = std::clamp(report.age, milliseconds(0), m_registry.retention());
        const bool isNews = m_registry.merge(RecordedCrash{.fingerprint = report.fingerprint,
                                                           .backend = report.backend,
                                                           .cleared = report.cleared,
                                                           .at = now - age},
                                             now);
        if (!isNews)
            continue;
        ++m_counts.news;
        if (m_network.needsRelays())
            enqueue(queue, report.fingerprint, report.backend);
    }
}

bool CrashExchange::hasNewLink(const FleetPeer &peer)
{
    if (peer.links.empty()) {
        m_linkedPeers.erase(peer.contact.node);
        return false;
    }
    const LinkedPeer current{.incarnation = peer.contact.incarnation, .links = peer.links.size()};
    const LinkedPeer previous = std::exchange(m_linkedPeers[peer.contact.node], current);
    return current.links > previous.links || current.incarnation != previous.incarnation;
}

bool CrashExchange::tells(const FleetPeer &peer) const
{
    if (!m_network.needsRelays() || m_network.isInOwnDomain(peer))
        return true;
    if (!m_network.isRelay())
        return false;
    const std::vector<std::string> relays = m_network.otherDomainRelays();
    return std::find(relays.begin(), relays.end(), peer.contact.node) != relays.end();
}

void CrashExchange::updateRelay()
{
    const bool isRelay = m_network.isRelay();
    if (isRelay && !std::exchange(m_wasRelay, isRelay)) {
        for (const RecordedCrash &crash : m_registry.newestCrashes(m_options.maxToldCrashes))
            enqueue(m_forOtherDomains, crash.fingerprint, crash.backend);
    }
    m_wasRelay = isRelay;
}

void CrashExchange::linksChanged(const std::string &node)
{
    const FleetPeer *peer = m_network.peer(node);
    if (peer == nullptr) {
        m_linkedPeers.erase(node);
        return;
    }
    const bool isNew = hasNewLink(*peer);
    // Without crashes there is nothing to tell, and relays need not be determined.
    if (m_registry.newestCrashes(1).empty())
        return;
    if (m_network.needsRelays())
        updateRelay();
    if (!isNew || !tells(*peer))
        return;
    CrashReportsMessage known;
    for (const RecordedCrash &crash : m_registry.newestCrashes(m_options.maxToldCrashes))
        known.crashes.push_back(makeReport(crash));
    m_network.send(node, known);
}

} // namespace jacinthshift
