#ifndef DRIVERS_BEAST_BEAST_HTTP_SERVER_H
#define DRIVERS_BEAST_BEAST_HTTP_SERVER_H

#include <cstdint>
#include <memory>

#include "servers/http_server.h"

namespace jacinthshift {

/** An HTTP server that uses the request parser of Boost.Beast over sockets of the epoll loop. */
class BeastHttpServer final : public HttpServer
{
public:
    class Connection;

private:
    struct State;
    std::shared_ptr<State> m_state;

public:
    explicit BeastHttpServer(const HttpServerOptions &options);
    ~BeastHttpServer() override;

    absl::Status listen(const Endpoint &endpoint, Handler handler) override;
    void stopListening() override;

    /** Replaces the options; a request that is being read keeps its size limits. */
    void setOptions(const HttpServerOptions &options);
    /** Closes each connection after its next response. */
    void disableKeepAlive();
    std::size_t connectionCount() const;
    /** Returns the number of requests that were dropped as their callers had closed before. */
    std::uint64_t abandonedRequests() const;
    /** Returns the number of requests that were read and await a response. */
    std::size_t openRequests() const;
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_BEAST_HTTP_SERVER_H
