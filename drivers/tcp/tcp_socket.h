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

/** The outcome of one read or write on a socket. */
enum class SocketResult {
    Progress,   ///< At least one byte was transferred.
    WouldBlock, ///< The socket is not ready.
    Ended,      ///< The peer has closed its end.
    Failed      ///< The connection has failed.
};

/** A non-blocking TCP connection on the epoll loop. */
class TcpSocket final : public DescriptorHandler
{
    int m_descriptor = -1;
    GObjectPointer<GSocket> m_gSocket; ///< Set when the descriptor belongs to a GSocket.
    std::uint32_t m_watchedEvents = 0;
    bool m_peerClosed = false; ///< According to the last event.
    std::function<void()> m_readyCallback;

    void wait(std::uint32_t events, std::function<void()> ready);
    void descriptorReady(std::uint32_t events) override;

public:
    TcpSocket() = default;
    TcpSocket(const TcpSocket &) = delete;
    TcpSocket &operator=(const TcpSocket &) = delete;
    ~TcpSocket() override { close(); }

    /** Takes ownership of a connected socket. */
    void adopt(GObjectPointer<GSocket> socket);
    /** Takes ownership of a connected, non-blocking descriptor. */
    void adopt(int descriptor);
    /** Starts to connect; an empty local address means any. Returns false if that fails at once. */
    bool connect(const Endpoint &server, const std::string &localAddress);
    /** Returns whether the connection attempt has succeeded, once the socket is writable. */
    bool finishConnect();
    /** Closes the connection; the peer gets a reset if it has sent bytes that were not read. */
    void close();

    /** Tells the peer that no more bytes follow; the connection can still be read. */
    void endWriting();

    /** Writes as much as the socket accepts and adds the number of bytes to written. */
    SocketResult write(const char *data, std::size_t size, std::size_t &written);
    /** Reads up to size bytes and sets received to their number. */
    SocketResult read(char *buffer, std::size_t size, std::size_t &received);

    // The callback of a wait runs whenever the socket is ready, until it is replaced or removed.
    void waitReadable(std::function<void()> ready);
    void waitWritable(std::function<void()> ready);
    /** Waits for input and, if alsoWritable is set, for space to write. */
    void waitFor(bool alsoWritable, std::function<void()> ready);
    /** Waits until the peer closes its end, regardless of input, or for space to write. */
    void waitPeerClose(bool alsoWritable, std::function<void()> ready);
    /** Removes the callback. The descriptor stays watched until its next event. */
    void stopWaiting() { m_readyCallback = nullptr; }

    /**
     * Returns whether the peer had closed its end at the last event of a wait for input, although
     * there may be more to read.
     */
    bool hasPeerClosed() const { return m_peerClosed; }
    /** Returns whether there is nothing to read; input on an idle connection means its end. */
    bool hasNoPendingInput() const;
    /** Returns the bytes that were written and that the peer's system has not acknowledged. */
    std::size_t unacknowledgedBytes() const;
    /** Returns the IPv4 address of the peer, or an empty string. */
    std::string remoteAddress() const;
};

} // namespace jacinthshift

#endif // DRIVERS_TCP_TCP_SOCKET_H
