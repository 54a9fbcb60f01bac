#include "drivers/tcp/tcp_socket.h"

#include <array>
#include <cerrno>

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

namespace jacinthshift {

namespace {

// A VM that has lost power or is behind a network partition sends no acknowledgements. The kernel
// closes such a connection after this time instead of after minutes.
constexpr unsigned UserTimeoutMilliseconds = 5'000;

SocketResult resultFromErrno()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR ? SocketResult::WouldBlock
                                                                     : SocketResult::Failed;
}

bool fillAddress(const std::string &address, std::uint16_t port, sockaddr_in &result)
{
    result = sockaddr_in{};
    result.sin_family = AF_INET;
    result.sin_port = htons(port);
    return inet_pton(AF_INET, address.c_str(), &result.sin_addr) == 1;
}

void setNoDelay(int descriptor)
{
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

} // namespace

void TcpSocket::adopt(GObjectPointer<GSocket> socket)
{
    close();
    m_gSocket = std::move(socket);
    g_socket_set_blocking(m_gSocket.get(), FALSE);
    m_descriptor = g_socket_get_fd(m_gSocket.get());
    setNoDelay(m_descriptor);
}

void TcpSocket::adopt(int descriptor)
{
    close();
    m_descriptor = descriptor;
    setNoDelay(m_descriptor);
}

bool TcpSocket::connect(const Endpoint &server, const std::string &localAddress)
{
    close();
    sockaddr_in remote;
    if (!fillAddress(server.address, server.port, remote))
        return false;
    m_descriptor = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (m_descriptor < 0)
        return false;
    setNoDelay(m_descriptor);
    setsockopt(m_descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &UserTimeoutMilliseconds,
               sizeof UserTimeoutMilliseconds);
    if (!localAddress.empty()) {
        sockaddr_in local;
        if (!fillAddress(localAddress, 0, local)
            || bind(m_descriptor, reinterpret_cast<const sockaddr *>(&local), sizeof local) != 0)
            return false;
    }
    const int outcome =
            ::connect(m_descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote);
    return outcome == 0 || errno == EINPROGRESS;
}

bool TcpSocket::finishConnect()
{
    int error = 0;
    socklen_t size = sizeof error;
    return getsockopt(m_descriptor, SOL_SOCKET, SO_ERROR, &error, &size) == 0 && error == 0;
}

void TcpSocket::close()
{
    if (m_descriptor < 0)
        return;
    if (m_watchedEvents != 0)
        EpollLoop::instance().unwatch(m_descriptor, *this);
    m_watchedEvents = 0;
    m_peerClosed = false;
    m_readyCallback = nullptr;
    if (m_gSocket == nullptr)
        ::close(m_descriptor);
    m_gSocket.reset();
    m_descriptor = -1;
}

void TcpSocket::endWriting()
{
    if (m_descriptor >= 0)
        ::shutdown(m_descriptor, SHUT_WR);
}

SocketResult TcpSocket::write(const char *data, std::size_t size, std::size_t &written)
{
    const ssize_t count = send(m_descriptor, data, size, MSG_NOSIGNAL);
    if (count < 0)
        return resultFromErrno();
    written += static_cast<std::size_t>(count);
    return SocketResult::Progress;
}

SocketResult TcpSocket::read(char *buffer, std::size_t size, std::size_t &received)
{
    const ssize_t count = recv(m_descriptor, buffer, size, 0);
    if (count < 0)
        return resultFromErrno();
    received = static_cast<std::size_t>(count);
    return count == 0 ? SocketResult::Ended : SocketResult::Progress;
}

void TcpSocket::wait(std::uint32_t events, std::function<void()> ready)
{
    m_readyCallback = std::move(ready);
    if (m_watchedEvents == events)
        return;
    if (m_watchedEvents == 0)
        EpollLoop::instance().watch(m_descriptor, events, *this);
    else
        EpollLoop::instance().changeWatch(m_descriptor, events, *this);
    m_watchedEvents = events;
}

void TcpSocket::waitReadable(std::function<void()> ready)
{
    wait(EPOLLIN | EPOLLRDHUP, std::move(ready));
}

void TcpSocket::waitWritable(std::function<void()> ready)
{
    wait(EPOLLOUT, std::move(ready));
}

void TcpSocket::waitFor(bool alsoWritable, std::function<void()> ready)
{
    const std::uint32_t input = EPOLLIN | EPOLLRDHUP;
    wait(alsoWritable ? input | EPOLLOUT : input, std::move(ready));
}

void TcpSocket::waitPeerClose(bool alsoWritable, std::function<void()> ready)
{
    const std::uint32_t end = EPOLLRDHUP;
    wait(alsoWritable ? end | EPOLLOUT : end, std::move(ready));
}

void TcpSocket::descriptorReady(std::uint32_t events)
{
    m_peerClosed = (events & (EPOLLRDHUP | EPOLLHUP | EPOLLERR)) != 0;
    if (m_readyCallback == nullptr) {
        EpollLoop::instance().unwatch(m_descriptor, *this);
        m_watchedEvents = 0;
        return;
    }
    // The callback may replace itself or destroy the socket, so a copy is called.
    const std::function<void()> ready = m_readyCallback;
    ready();
}

bool TcpSocket::hasNoPendingInput() const
{
    pollfd descriptor{m_descriptor, POLLIN, 0};
    return poll(&descriptor, 1, 0) == 0;
}

std::size_t TcpSocket::unacknowledgedBytes() const
{
    int bytes = 0;
    return ioctl(m_descriptor, SIOCOUTQ, &bytes) == 0 && bytes > 0 ? static_cast<std::size_t>(bytes)
                                                                   : 0;
}

std::string TcpSocket::remoteAddress() const
{
    sockaddr_in remote{};
    socklen_t size = sizeof remote;
    if (getpeername(m_descriptor, reinterpret_cast<sockaddr *>(&remote), &size) != 0
        || remote.sin_family != AF_INET)
        return {};
    std::array<char, INET_ADDRSTRLEN> text{};
    inet_ntop(AF_INET, &remote.sin_addr, text.data(), text.size());
    return text.data();
}

} // namespace jacinthshift
