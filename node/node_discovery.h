#ifndef NODE_NODE_DISCOVERY_H
#define NODE_NODE_DISCOVERY_H

#include <functional>
#include <vector>

#include "core/random.h"
#include "modules/fleet/fleet_network.h"
#include "platform/record_codec.h"
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
    /** A departure is removed after this time: no heartbeat is on its way for so long. */
    std::chrono::minutes departureRetention{15};
    std::uint64_t randomSeed = 0;
};

/** Receives the departures that the log holds, each time they are read. */
class DepartureObserver
{
public:
    virtual ~DepartureObserver() = default;

    virtual void departuresRead(const std::vector<Departure> &departures) = 0;
};

/**
 * Registers this node's contact in the log and reads the contacts of other nodes from it.
 *
 * A node writes before it reads, so of two nodes that start together at least one finds the other.
 * Nodes of one failure domain exchange further contacts over their links. The departures of backend
 * servers are in the same table, so that a node that starts needs no further read for them.
 */
class NodeDiscovery
{
    NodeDiscoveryOptions m_options;
    KeyedLog &m_log;
    FleetNetwork &m_network;
    TimerService &m_timers;
    Random m_random;
    Timer m_retryTimer;
    DepartureObserver *m_departureObserver = nullptr;

    void writeOwnContact();
    void readContacts();
    void scheduleRead(std::chrono::milliseconds delay);
    void scheduleReadIfIsolated();
    void pageRead(const std::vector<KeyedRecord> &records);
    /**
     * Removes one of the departures that are too old, chosen at random as many nodes may read them
     * at the same time.
     */
    void removeOldDeparture(const std::vector<Departure> &departures);

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

    void setDepartureObserver(DepartureObserver &observer) { m_departureObserver = &observer; }
    void start() { writeOwnContact(); }
    /** Writes the contact again, as the log was restored from a copy that may lack it. */
    void logRestored();
};

} // namespace jacinthshift

#endif // NODE_NODE_DISCOVERY_H
