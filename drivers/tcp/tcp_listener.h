#ifndef DRIVERS_TCP_TCP_LISTENER_H
#define DRIVERS_TCP_TCP_LISTENER_H

#include <cstdint>
#include <functional>

#include <absl/status/status.h>

#include "core/endpoint.h"
#include "drivers/epoll/epoll_loop.h"

namespace jacinthshift {

/** A connection that a listener took. */
struct AcceptedConnection
{
    int descriptor = -1;     ///< Non-blocking; the receiver owns it.
    bool fromThisVm = false; ///< The other end has the listener's own address.
};

/** A listening TCP socket on the epoll loop. */
class TcpListener final : public DescriptorHandler
{
    int m_descriptor = -1;
    std::uint32_t m_address = 0; ///< In network byte order.
    std::function<void(const AcceptedConnection &)> m_accepted;

    void descriptorReady(std::uint32_t events) override;

public:
    TcpListener() = default;
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;
    ~TcpListener() override { close(); }

    /** Listens; the callback takes over each new connection. */
    absl::Status listen(const Endpoint &endpoint,
                        std::function<void(const AcceptedConnection &)> accepted);
    void close();
};

} // namespace jacinthshift

#endif // DRIVERS_TCP_TCP_LISTENER_H
