#ifndef SERVERS_LINK_TRANSPORT_H
#define SERVERS_LINK_TRANSPORT_H

#include <cstddef>
#include <cstdint>
#include <string>

#include <absl/status/status.h>

#include "core/endpoint.h"

namespace jacinthshift {

/** Names one connection between two nodes. Ids are never used twice in a process. */
enum class LinkId : std::uint64_t { None = 0 };

/** Learns what happens on links. */
class LinkObserver
{
public:
    virtual ~LinkObserver() = default;

    /** A link is open in both directions. */
    virtual void linkOpened(LinkId link, bool outgoing) = 0;
    /** A whole frame arrived. */
    virtual void linkFrame(LinkId link, const std::string &frame) = 0;
    /** A link is gone, or could not be opened. It is the last call for its id. */
    virtual void linkClosed(LinkId link) = 0;
};

/** What a transport binds to and accepts. */
struct LinkTransportOptions
{
    Endpoint listen;
    std::size_t maxFrameBytes = 8 * 1024 * 1024;
    std::size_t maxQueuedBytes = 32 * 1024 * 1024; ///< Past this a link is closed.
    std::size_t maxLinks = 1024;
};

/** Carries frames of bytes between nodes over connections. Frames of a link keep their order. */
class LinkTransport
{
public:
    virtual ~LinkTransport() = default;

    virtual absl::Status start(LinkObserver &observer) = 0;
    /** Opens a link. The observer hears of the outcome later. */
    virtual LinkId connect(const Endpoint &endpoint) = 0;
    /** Queues a frame. Returns false when the link is not open or its queue is full. */
    virtual bool send(LinkId link, const std::string &frame) = 0;
    /** Says whether frames on a link are compressed from now on; they are not at first. */
    virtual void setCompression(LinkId link, bool compressed) = 0;
    /** Closes a link at once; the observer is told later. */
    virtual void close(LinkId link) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_LINK_TRANSPORT_H
