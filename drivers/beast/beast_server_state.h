#ifndef DRIVERS_BEAST_BEAST_SERVER_STATE_H
#define DRIVERS_BEAST_BEAST_SERVER_STATE_H

#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

#include "drivers/beast/response_budget.h"
#include "drivers/tcp/tcp_listener.h"
#include "servers/http_server.h"

namespace jacinthshift {

class BeastServerConnection;

/** What a BeastHttpServer shares with its connections. */
struct BeastServerState : std::enable_shared_from_this<BeastServerState>
{
    using ConnectionPointer = std::shared_ptr<BeastServerConnection>;

    HttpServerOptions options;
    HttpServer::Handler handler;
    TcpListener listener;
    std::shared_ptr<ResponseBudget> budget = std::make_shared<ResponseBudget>();
    std::unordered_map<BeastServerConnection *, ConnectionPointer> connections;
    Timer timeoutCheckTimer;
    std::size_t openRequests = 0;
    std::size_t heldBodyBytes = 0; ///< Of all requests that are being read or have no response.
    std::uint64_t abandonedRequests = 0;
    std::uint64_t requestsRunAhead = 0;
    bool keepAliveDisabled = false;

    void acceptConnection(int descriptor);
    /** Closes the oldest silent connection. Returns false if there is none. */
    bool closeSilentConnection();
    /** Closes connections past their idle timeout or header timeout. */
    void closeExpiredConnections();
    bool allowsKeepAlive() const
    {
        return !keepAliveDisabled && connections.size() < options.maxKeepAliveConnections;
    }
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_BEAST_SERVER_STATE_H
