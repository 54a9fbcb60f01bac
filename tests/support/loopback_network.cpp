#include "tests/support/loopback_network.h"

#include <stdexcept>
#include <unistd.h>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int RangeCount = 250;
// A listening socket on this address reserves the range; benches use it for nothing else.
constexpr const char *ReservationHostSuffix = ".252.1";
constexpr guint16 ReservationPort = 6200;

} // namespace

LoopbackNetwork::LoopbackNetwork()
{
    for (int i = 0; i < RangeCount; ++i) {
        const std::string prefix = joinText("127.", 1 + (getpid() + i) % RangeCount);
        GObjectPointer<GSocket> socket(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                                    G_SOCKET_PROTOCOL_TCP, nullptr));
        const GObjectPointer<GSocketAddress> address(g_inet_socket_address_new_from_string(
                (prefix + ReservationHostSuffix).c_str(), ReservationPort));
        // Listening prevents a second bind even where addresses may be reused.
        if (g_socket_bind(socket.get(), address.get(), TRUE, nullptr)
            && g_socket_listen(socket.get(), nullptr)) {
            m_reservation = std::move(socket);
            m_prefix = prefix;
            return;
        }
    }
    throw std::runtime_error("no free range of loopback addresses");
}

} // namespace jacinthshift
