#ifndef DRIVERS_TCP_TCP_LISTENER_H
#define DRIVERS_TCP_TCP_LISTENER_H

#include <functional>

#include <absl/status/status.h>

#include "core/endpoint.h"
#include "drivers/epoll/epoll_loop.h"

namespace jacinthshift {

/** A listening TCP socket on the epoll loop. */
class TcpListener final : public DescriptorHandler
{
    int m_descriptor = -1;
    std::function<void(int)> m_acceptCallback;

    void descriptorReady(std::uint32_t events) override;

public:
    TcpListener() = default;
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;
    ~TcpListener() override { close(); }

    /**
     * Binds and listens. The callback receives the descriptor of each accepted connection, which is
     * non-blocking, and owns it. Fails with InvalidArgument if the address is not IPv4 and with
     * Unavailable if the socket cannot be bound.
     */
    absl::Status listen(const Endpoint &endpoint, std::function<void(int)> acceptCallback);
    void close();
};

} // namespace jacinthshift

#endif // DRIVERS_TCP_TCP_LISTENER_H
