#ifndef DRIVERS_BEAST_BEAST_HTTP_SERVER_H
#define DRIVERS_BEAST_BEAST_HTTP_SERVER_H

#include <cstdint>
#include <memory>

#include "servers/http_server.h"

namespace jacinthshift {

struct BeastServerState;

/** An HTTP server that uses the request parser of Boost.Beast over sockets of the epoll loop. */
class BeastHttpServer final : public HttpServer
{
    std::shared_ptr<BeastServerState> m_state;

public:
    explicit BeastHttpServer(const HttpServerOptions &options);
    ~BeastHttpServer() override;

    absl::Status listen(const Endpoint &endpoint, Handler handler) override;
    void stopListening() override;
    UndeliveredResponses undeliveredResponses() const override;

    /** Replaces the options; a request that is being read keeps its size limits. */
    void setOptions(const HttpServerOptions &options);
    /**
     * Closes each connection after the response to the last of its requests in flight, or after its
     * next response. It is closed once its caller has closed its end or a time limit has passed, so
     * that undeliveredResponses() knows of it until the response has arrived.
     */
    void disableKeepAlive();
    std::size_t connectionCount() const;
    /** Returns the number of requests that were dropped as their callers had closed before. */
    std::uint64_t abandonedRequests() const;
    /** Returns the number of requests that were read and await a response. */
    std::size_t openRequests() const;
    /** Returns the number of requests that were passed on before an earlier one was answered. */
    std::uint64_t requestsRunAhead() const;
    /** Returns the bytes of responses that wait for the response to an earlier request. */
    std::size_t bufferedResponseBytes() const;
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_BEAST_HTTP_SERVER_H
