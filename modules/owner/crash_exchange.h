#ifndef MODULES_OWNER_CRASH_EXCHANGE_H
#define MODULES_OWNER_CRASH_EXCHANGE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <string>

#include "modules/admission/poison_registry.h"
#include "modules/fleet/fleet_network.h"
#include "modules/owner/crash_queue.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct CrashExchangeOptions
{
    /** Crashes of which a peer is told over a new link; each takes about 40 bytes. */
    std::size_t maxToldCrashes = 64;
    std::size_t maxCrashesPerMessage = 64;
    /** How long reports are collected before they are sent as one message. */
    std::chrono::milliseconds collectTime{5};
    /** Mean time between two messages on a link, at least. */
    std::chrono::milliseconds sendInterval{150};
    /**
     * Messages after a pause that need not keep the interval: a node may end soon after a crash,
     * and what only it knows would be lost.
     */
    std::int64_t maxBurst = 16;
    /** Crashes that wait to be sent; further ones are told over new links only. */
    std::size_t maxWaitingCrashes = 4'096;
};

/** Numbers of an exchange since its start. */
struct CrashExchangeCounts
{
    std::uint64_t received = 0; ///< Crashes and clearances in messages of other nodes.
    std::uint64_t news = 0;     ///< Those of them that this node did not know.
    std::uint64_t dropped = 0;  ///< Those that found the queue full.
};

/**
 * Keeps the registries of the nodes alike: tells the others which requests have crashed this VM's
 * backend server, and peers over new links what the others know.
 *
 * In a mesh that is too large for links to all nodes, a node tells its own failure domain, from
 * where the relays pass the reports on. No node passes on what it knows already, so the number of
 * messages is bounded. A link carries
 * messages of bounded size at a bounded rate.
 */
class CrashExchange final : public FleetObserver
{
    struct LinkedPeer
    {
        std::uint64_t incarnation = 0;
        std::size_t links = 0;
    };

    CrashExchangeOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    PoisonRegistry &m_registry;
    CrashQueue m_forOwnDomain;
    CrashQueue m_forOtherDomains;
    std::map<std::string, LinkedPeer> m_linkedPeers;
    CrashExchangeCounts m_counts;
    bool m_wasRelay = false;
    SteadyTime m_nextSending; ///< Earliest time; it is in the past while a burst is allowed.
    Timer m_sendTimer;

    /** Adds a crash to a queue, to be sent when it is due. */
    void enqueue(CrashQueue &queue, std::uint64_t fingerprint, const std::string &backend);
    void scheduleSending();
    void sendWaiting();
    CrashReportsMessage takeMessage(CrashQueue &queue) const;
    CrashReport makeReport(const RecordedCrash &crash) const;
    void sendToOtherDomains(const CrashReportsMessage &message);
    void reportsReceived(const std::string &node, const CrashReportsMessage &message);
    /** Returns whether a link to a peer has opened since the last call for it. */
    bool hasNewLink(const FleetPeer &peer);
    /** Returns whether this node is one of those that tell a peer what the mesh knows. */
    bool tells(const FleetPeer &peer) const;
    /** Passes on what earlier relays may not have passed on, once this node becomes a relay. */
    void updateRelay();

public:
    CrashExchange(const CrashExchangeOptions &options, FleetNetwork &network, TimerService &timers,
                  PoisonRegistry &registry);

    /** Tells the other nodes of a request that was running when a backend server crashed. */
    void report(std::uint64_t fingerprint, const std::string &backend);
    /** Clears a suspected request that has succeeded, here and at the other nodes. */
    void reportCleared(std::uint64_t fingerprint);
    const CrashExchangeCounts &counts() const { return m_counts; }
    /** Returns the number of reports that wait to be sent. */
    std::size_t waiting() const { return m_forOwnDomain.size() + m_forOtherDomains.size(); }

    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_CRASH_EXCHANGE_H
