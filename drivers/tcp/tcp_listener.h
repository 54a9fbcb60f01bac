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
    std::function<void(int)> m_accepted;

    void descriptorReady(std::uint32_t events) override;

public:
    TcpListener() = default;
    TcpListener(const TcpListener &) = delete;
    TcpListener &operator=(const TcpListener &) = delete;
    ~TcpListener() override { close(); }

    /** Listens; the callback takes over each new non-blocking descriptor. */
    absl::Status listen(const Endpoint &endpoint, std::function<void(int)> accepted);
    void close();
};

} // namespace jacinthshift

#endif // DRIVERS_TCP_TCP_LISTENER_H
