#include "modules/owner/crash_exchange.h"

#include "core/hash.h"
#include "core/logger.h"

namespace jacinthshift {

CrashExchange::CrashExchange(const CrashExchangeOptions &options, FleetNetwork &network,
                             TimerService &timers, PoisonRegistry &registry)
    : m_options(options), m_network(network), m_timers(timers), m_registry(registry)
{
    network.addObserver(*this);
}

void CrashExchange::report(std::uint64_t fingerprint, const std::string &backend)
{
    logEvent(Event::CrashSuspected,
             {{"fingerprint", formatHash(fingerprint)}, {"backend", backend}});
    m_network.broadcast(CrashSuspectMessage{.fingerprint = fingerprint, .backend = backend});
}

void CrashExchange::reportCleared(std::uint64_t fingerprint)
{
    m_network.broadcast(CrashSuspectMessage{.fingerprint = fingerprint, .backend = ""});
}

void CrashExchange::messageReceived(const std::string &, const FleetMessage &message)
{
    if (const CrashSuspectMessage *suspect = std::get_if<CrashSuspectMessage>(&message)) {
        suspectReceived(*suspect);
    } else if (const KnownCrashesMessage *known = std::get_if<KnownCrashesMessage>(&message)) {
        for (const CrashSuspectMessage &crash : known->crashes)
            m_registry.recordCrash(crash.fingerprint, crash.backend, m_timers.now());
    }
}

void CrashExchange::suspectReceived(const CrashSuspectMessage &suspect)
{
    const bool isNews =
            suspect.backend.empty()
                    ? m_registry.removeSuspect(suspect.fingerprint)
                    : m_registry.recordCrash(suspect.fingerprint, suspect.backend, m_timers.now());
    if (isNews && m_network.needsRelays())
        m_network.broadcast(suspect);
}

void CrashExchange::linksChanged(const std::string &node)
{
    const FleetPeer *peer = m_network.peer(node);
    const bool isNewProcess = peer != nullptr && !peer->links.empty() && !peer->hasStatus;
    if (!isNewProcess)
        return;
    KnownCrashesMessage known;
    for (const RecordedCrash &crash : m_registry.newestCrashes(m_options.maxToldCrashes)) {
        known.crashes.push_back(
                CrashSuspectMessage{.fingerprint = crash.fingerprint, .backend = crash.backend});
    }
    if (!known.crashes.empty())
        m_network.send(node, known);
}

} // namespace jacinthshift
