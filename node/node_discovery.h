#ifndef NODE_NODE_DISCOVERY_H
#define NODE_NODE_DISCOVERY_H

#include "core/random.h"
#include "modules/fleet/fleet_network.h"
#include "servers/keyed_log.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct NodeDiscoveryOptions
{
    std::chrono::milliseconds retryDelay{400}; ///< After a failed write or read.
    /** A node that still has no link this long after a read reads the contacts again. */
    std::chrono::milliseconds isolatedRereadDelay{1'500};
    /** Within this time after a restore of the log all nodes write their contacts again. */
    std::chrono::milliseconds rewritePeriod{1'000};
    std::uint64_t randomSeed = 0;
};

/**
 * Registers this node's contact in the log and reads the contacts of other nodes from it.
 *
 * A node writes before it reads, so of two nodes that start together at least one finds the other.
 * Nodes of one failure domain exchange further contacts over their links.
 */
class NodeDiscovery
{
    NodeDiscoveryOptions m_options;
    KeyedLog &m_log;
    FleetNetwork &m_network;
    TimerService &m_timers;
    Random m_random;
    Timer m_retryTimer;

    void writeOwnContact();
    void readContacts();
    void scheduleRead(std::chrono::milliseconds delay);
    void scheduleReadIfIsolated();

public:
    NodeDiscovery(const NodeDiscoveryOptions &options, KeyedLog &log, FleetNetwork &network,
                  TimerService &timers)
        : m_options(options)
        , m_log(log)
        , m_network(network)
        , m_timers(timers)
        , m_random(options.randomSeed)
    {
    }

    void start() { writeOwnContact(); }
    /** Writes the contact again, as the log was restored from a copy that may lack it. */
    void logRestored();
};

} // namespace jacinthshift

#endif // NODE_NODE_DISCOVERY_H
