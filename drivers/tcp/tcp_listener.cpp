#include "drivers/tcp/tcp_listener.h"

#include <cerrno>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthshift {

namespace {

/** With a full queue the kernel drops connection attempts, which clients repeat after seconds. */
constexpr int ListenBacklog = 1024;
/** Leaves time for open connections when many clients reconnect at once. */
constexpr int MaxAcceptsPerEvent = 64;

} // namespace

absl::Status TcpListener::listen(const Endpoint &endpoint, std::function<void(int)> acceptCallback)
{
    close();
    m_acceptCallback = std::move(acceptCallback);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    if (inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr) != 1)
        return absl::InvalidArgumentError("invalid IPv4 listen address " + endpoint.text());
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (m_descriptor < 0
        || bind(m_descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0
        || ::listen(m_descriptor, ListenBacklog) != 0) {
        return absl::UnavailableError("cannot listen on " + endpoint.text() + ": "
                                      + std::strerror(errno));
    }
    EpollLoop::instance().watch(m_descriptor, EPOLLIN, *this);
    return absl::OkStatus();
}

void TcpListener::close()
{
    if (m_descriptor < 0)
        return;
    EpollLoop::instance().unwatch(m_descriptor, *this);
    ::close(m_descriptor);
    m_descriptor = -1;
}

void TcpListener::descriptorReady(std::uint32_t)
{
    for (int i = 0; i < MaxAcceptsPerEvent && m_descriptor >= 0; ++i) {
        const int connection =
                accept4(m_descriptor, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (connection < 0)
            return;
        m_acceptCallback(connection);
    }
}

} // namespace jacinthshift
