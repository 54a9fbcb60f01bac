#ifndef SERVERS_LINK_TRANSPORT_H
#define SERVERS_LINK_TRANSPORT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include <absl/status/status.h>

#include "core/byte_account.h"
#include "core/endpoint.h"

namespace jacinthshift {

/** Identifies a connection between two nodes. Ids are not reused within a process. */
enum class LinkId : std::uint64_t { None = 0 };

/** Receives the events of links. */
class LinkObserver
{
public:
    virtual ~LinkObserver() = default;

    /** A link was opened and can carry frames in both directions. */
    virtual void linkOpened(LinkId link, bool outgoing) = 0;
    /** A complete frame was received. */
    virtual void frameReceived(LinkId link, const std::string &frame) = 0;
    /** A link was closed or could not be opened. This is the last call for its id. */
    virtual void linkClosed(LinkId link) = 0;
};

/** The listening address and the limits of a transport. */
struct LinkTransportOptions
{
    Endpoint listen;
    std::size_t maxFrameBytes = 8 * 1024 * 1024;
    std::size_t maxQueuedBytes = 32 * 1024 * 1024; ///< A link with a longer send queue is closed.
    std::size_t maxLinks = 1024; ///< New incoming connections above this number are closed.
    /** Time limit for the handshake of an incoming connection. */
    std::chrono::milliseconds handshakeTimeout{10'000};
    std::shared_ptr<ByteAccount> account; ///< Counts unfinished frames and unread output.
};

/** Transports frames between nodes over connections, in order on each link. */
class LinkTransport
{
public:
    virtual ~LinkTransport() = default;

    /**
     * Starts accepting links. Fails with InvalidArgument if the listening address is invalid and
     * with Unavailable if it cannot be bound.
     */
    virtual absl::Status start(LinkObserver &observer) = 0;
    /** Opens a link. The observer is notified of the result asynchronously. */
    virtual LinkId connect(const Endpoint &endpoint) = 0;
    /** Queues a frame. Returns false if the link is not open or its send queue is full. */
    virtual bool send(LinkId link, const std::string &frame) = 0;
    /**
     * Queues a frame that is not compressed, for content that compression does not shrink. Returns
     * false if the link is not open or its send queue is full.
     */
    virtual bool sendUncompressed(LinkId link, const std::string &frame) = 0;
    /** Returns the bytes that wait for the peer to receive earlier ones; zero without a link. */
    virtual std::size_t queuedBytes(LinkId link) const = 0;
    /** Returns the bytes that the peer's system has not acknowledged; zero without a link. */
    virtual std::size_t unacknowledgedBytes(LinkId link) const = 0;
    /** Sets whether frames sent on a link are compressed from now on; off by default. */
    virtual void setCompression(LinkId link, bool compressed) = 0;
    /** Closes a link at once; the observer is notified asynchronously. */
    virtual void close(LinkId link) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_LINK_TRANSPORT_H
