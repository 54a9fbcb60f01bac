#ifndef TESTS_SUPPORT_LOOPBACK_NETWORK_H
#define TESTS_SUPPORT_LOOPBACK_NETWORK_H

#include <string>

#include <gio/gio.h>

#include "drivers/glib/gobject_pointer.h"

namespace jacinthshift {

/** Reserves a range 127.N.0.0/16 for a test bench, so that several benches can run in parallel. */
class LoopbackNetwork
{
    GObjectPointer<GSocket> m_reservation;
    std::string m_prefix;

public:
    /** Throws std::runtime_error if no range is free. */
    LoopbackNetwork();

    /** Returns the first two octets of all addresses, such as "127.12". */
    const std::string &prefix() const { return m_prefix; }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_LOOPBACK_NETWORK_H
