#ifndef SERVERS_HTTP_SERVER_H
#define SERVERS_HTTP_SERVER_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>

#include <absl/status/status.h>

#include "core/endpoint.h"
#include "servers/http_message.h"

namespace jacinthshift {

/** Answers one request. Exactly one call of respond() has an effect; a caller may be gone. */
class HttpResponder
{
public:
    virtual ~HttpResponder() = default;

    virtual void respond(const HttpResponse &response) = 0;
    /** Sets what to do if the caller goes away before respond(). */
    virtual void onCallerGone(std::function<void()> callback) = 0;
};

/** What a server accepts. */
struct HttpServerOptions
{
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t maxHeaderBytes = 32 * 1024;
    std::chrono::milliseconds headerTimeout{10'000}; ///< How long the head of a request may take.
    std::chrono::milliseconds idleTimeout{60'000};   ///< How long a connection may be idle.
    std::size_t maxConnections = 10'000;             ///< Past this new connections are closed.
    std::size_t maxKeptConnections = 8'000;          ///< Past this each answer ends its connection.
};

/** Listens for HTTP requests and hands over each one when its whole body has been read. */
class HttpServer
{
public:
    using Handler = std::function<void(HttpRequest, std::shared_ptr<HttpResponder>)>;

    virtual ~HttpServer() = default;

    virtual absl::Status listen(const Endpoint &endpoint, Handler handler) = 0;
    /** Stops accepting connections; requests under way are still answered. */
    virtual void stopListening() = 0;
};

} // namespace jacinthshift

#endif // SERVERS_HTTP_SERVER_H
