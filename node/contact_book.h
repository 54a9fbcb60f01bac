#ifndef NODE_CONTACT_BOOK_H
#define NODE_CONTACT_BOOK_H

#include "modules/fleet/fleet_network.h"
#include "servers/keyed_log.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct ContactBookOptions
{
    std::chrono::milliseconds retry{400};
    /** A node that has no link this long after a look looks again. */
    std::chrono::milliseconds lonelyPeriod{1'500};
};

/**
 * Makes this node known in the log and finds the others there.
 *
 * A node writes before it reads, so of two that start together at least one finds the other; nodes
 * of one failure domain tell each other of further ones.
 */
class ContactBook
{
    ContactBookOptions m_options;
    KeyedLog &m_log;
    FleetNetwork &m_network;
    TimerService &m_timers;
    Timer m_next;

    void write();
    void read();
    void readAfter(std::chrono::milliseconds delay);
    void readAgainIfLonely();

public:
    ContactBook(const ContactBookOptions &options, KeyedLog &log, FleetNetwork &network,
                TimerService &timers)
        : m_options(options), m_log(log), m_network(network), m_timers(timers)
    {
    }

    void start() { write(); }
};

} // namespace jacinthshift

#endif // NODE_CONTACT_BOOK_H
