#ifndef SERVERS_HTTP_SERVER_H
#define SERVERS_HTTP_SERVER_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "core/byte_account.h"
#include "core/endpoint.h"
#include "servers/http_message.h"

namespace jacinthshift {

/** Responds to one request. Only the first respond() counts; the caller may have disconnected. */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void respond(const HttpResponse &response) = 0;
    /** Sets a callback for the case that the caller disconnects before respond(). */
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

/** The limits of a server. */
struct HttpServerOptions
{
    std::size_t maxBodyBytes = 1024 * 1024;
    /**
     * Bytes of the bodies of all requests that are being read or have no response yet. A request
     * beyond it is answered 503 before its body is read.
     */
    std::size_t maxHeldBodyBytes = 12 * 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    /** Time limit for the head of a request. The body has none. */
    std::chrono::milliseconds headerTimeout{10'000};
    std::chrono::milliseconds idleTimeout{60'000}; ///< Idle connections are closed after this.
    std::size_t maxConnections = 10'000; ///< New connections above this number are closed.
    /**
     * At maxConnections, a new connection replaces the oldest one on which nothing was received for
     * a second. For servers with few connections, whose clients send as soon as they connect.
     */
    bool replacesSilentConnections = false;
    /**
     * Counts requests from when their head is complete until they are forwarded and answered,
     * unread responses and unparsed input; null for none. A request without room is answered 503.
     */
    std::shared_ptr<ByteAccount> account;
    /** With this many connections or more, each response closes its connection. */
    std::size_t maxKeepAliveConnections = 8'000;
    /**
     * Whether a request is passed to the handler although its caller had closed its end of the
     * connection before the request was read. A caller that waits for a response does not.
     */
    bool serveClosedCallers = false;
    /**
     * Returns whether a request may be passed to the handler while earlier requests of its
     * connection have no response yet; the request may then run twice if the connection breaks.
     * Without it, the requests of a connection are processed one after the other.
     */
    std::function<bool(const HttpRequest &)> mayRunAhead;
    /**
     * Requests of one connection that may be without a written response. At this bound and the
     * two below, the connection is not read until a response has been written.
     */
    std::size_t maxRequestsInFlight = 32;
    /**
     * Bytes of responses of one connection that wait for an earlier response. A request counts
     * with an estimate, based on earlier responses, until its response has arrived.
     */
    std::size_t maxBufferedResponseBytes = 256 * 1024;
    /** The same for all connections together. */
    std::size_t maxTotalBufferedResponseBytes = 8 * 1024 * 1024;
};

/** The responses of a server that their callers have not received completely. */
struct UndeliveredResponses
{
    std::size_t connections = 0; ///< On which there are any.
    std::size_t bytes = 0;       ///< Of those that are being sent, as far as they are known.
};

/** Accepts HTTP requests and passes each one to the handler once its whole body has been read. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    virtual ~HttpServer() = default;

    /**
     * Starts accepting connections. Fails with InvalidArgument if the address is invalid and with
     * Unavailable if it cannot be bound.
     */
    virtual absl::Status listen(const Endpoint &endpoint, Handler handler) = 0;
    /** Stops accepting connections; in-flight requests are still answered. */
    virtual void stopListening() = 0;
    /**
     * Returns what would be lost if the process ended now. A response whose caller does not wait
     * for it any more is left out.
     */
    virtual UndeliveredResponses undeliveredResponses() const = 0;
};

} // namespace jacinthshift

#endif // SERVERS_HTTP_SERVER_H
