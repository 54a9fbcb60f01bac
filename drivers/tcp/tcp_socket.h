#ifndef DRIVERS_TCP_TCP_SOCKET_H
#define DRIVERS_TCP_TCP_SOCKET_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include <gio/gio.h>

#include "core/endpoint.h"
#include "drivers/epoll/epoll_loop.h"
#include "drivers/glib/gobject_pointer.h"

namespace jacinthshift {

/** The outcome of one step of input or output on a socket. */
enum class SocketStep { Progress, WouldBlock, Ended, Failed };

/** A non-blocking TCP connection on the epoll loop. */
class TcpSocket final : public DescriptorHandler
{
    int m_descriptor = -1;
    GObjectPointer<GSocket> m_owner; ///< Set when the descriptor belongs to a GSocket.
    std::uint32_t m_watched = 0;
    std::function<void()> m_ready;

    void wait(std::uint32_t events, std::function<void()> ready);
    void descriptorReady(std::uint32_t events) override;

public:
    TcpSocket() = default;
    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;
    ~TcpSocket() override { close(); }

    /** Takes over a connected socket. */
    void adopt(GObjectPointer<GSocket> socket);
    /** Takes over a connected, non-blocking descriptor. */
    void adopt(int descriptor);
    /** Starts to connect. Returns false when that fails at once. */
    bool connect(const Endpoint &server, const std::string &localAddress);
    /** Returns whether the connection attempt has succeeded, once the socket is writable. */
    bool finishConnect();
    /** Closes the connection; a peer whose bytes were not read sees a reset. */
    void close();

    /** Writes as much as the socket takes and adds the number of bytes to written. */
    SocketStep write(const char *data, std::size_t size, std::size_t &written);
    /** Reads up to size bytes. */
    SocketStep read(char *buffer, std::size_t size, std::size_t &received);

    void waitReadable(std::function<void()> ready);
    void waitWritable(std::function<void()> ready);
    /** Waits for input, and for room to write as well if asked. */
    void waitFor(bool writable, std::function<void()> ready);
    /** Drops the callback. The descriptor stays watched until it is next ready. */
    void stopWaiting() { m_ready = nullptr; }

    /** Returns whether nothing waits to be read; input on an idle connection means its end. */
    bool isQuiet() const;
    /** Returns the IP number of the other end, or an empty text. */
    std::string remoteAddress() const;
};

} // namespace jacinthshift

#endif // DRIVERS_TCP_TCP_SOCKET_H
