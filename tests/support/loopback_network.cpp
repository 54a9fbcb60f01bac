#include "tests/support/loopback_network.h"

#include <stdexcept>
#include <unistd.h>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int Ranges = 250;
// Nothing else of a bench uses this address of its range.
constexpr const char *ReservedHost = ".252.1";
constexpr guint16 ReservedPort = 6200;

} // namespace

LoopbackNetwork::LoopbackNetwork()
{
    for (int i = 0; i < Ranges; ++i) {
        const std::string prefix = joinText("127.", 1 + (getpid() + i) % Ranges);
        GObjectPointer<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                                    G_SOCKET_PROTOCOL_TCP, nullptr));
        const GObjectPointer<GSocketAddress> address(g_inet_socket_address_new_from_string(
                (prefix + ReservedHost).c_str(), ReservedPort));
        // A listening socket keeps others out, also where addresses may be used again.
        if (g_socket_bind(socket.get(), address.get(), TRUE, nullptr)
            && g_socket_listen(socket.get(), nullptr)) {
            m_reservation = std::move(socket);
            m_prefix = prefix;
            return;
        }
    }
    throw std::runtime_error("no range of loopback addresses is free");
}

} // namespace jacinthshift
