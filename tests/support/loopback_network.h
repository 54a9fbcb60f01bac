#ifndef TESTS_SUPPORT_LOOPBACK_NETWORK_H
#define TESTS_SUPPORT_LOOPBACK_NETWORK_H

#include <string>

#include <gio/gio.h>

#include "drivers/glib/gobject_pointer.h"

namespace jacinthshift {

/** Reserves a range 127.N.0.0/16 for one bench, so that several can run at once. */
class LoopbackNetwork
{
    GObjectPointer<GSocket> m_reservation;
    std::string m_prefix;

public:
    LoopbackNetwork();

    /** Returns the first two numbers of all addresses, as in "127.12". */
    const std::string &prefix() const { return m_prefix; }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_LOOPBACK_NETWORK_H
