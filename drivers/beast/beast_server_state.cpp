#include "drivers/beast/beast_server_state.h"

#include <vector>

#include "drivers/beast/beast_server_connection.h"

namespace jacinthshift {

void BeastServerState::acceptConnection(int descriptor)
{
    if (connections.size() >= options.maxConnections) {
        // The destructor of the socket closes the connection.
        TcpSocket refused;
        refused.adopt(descriptor);
        return;
    }
    const ConnectionPointer connection =
            std::make_shared<BeastServerConnection>(shared_from_this());
    connections.emplace(connection.get(), connection);
    connection->start(descriptor);
}

void BeastServerState::closeExpiredConnections()
{
    const SteadyTime now = EpollLoop::instance().now();
    std::vector<ConnectionPointer> expired;
    for (const auto &[raw, connection] : connections) {
        if (connection->isExpired(now))
            expired.push_back(connection);
    }
    for (const ConnectionPointer &connection : expired)
        connection->expire();
}

} // namespace jacinthshift
