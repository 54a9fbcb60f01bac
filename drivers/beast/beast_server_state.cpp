#include "drivers/beast/beast_server_state.h"

#include <vector>

#include "drivers/beast/beast_server_connection.h"

namespace jacinthshift {

namespace {

/** A client that has just connected may not have sent its request yet. */
constexpr std::chrono::milliseconds MinSilence{1'000};

} // namespace

void BeastServerState::acceptConnection(int descriptor)
{
    if (connections.size() >= options.maxConnections && !closeSilentConnection()) {
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

bool BeastServerState::closeSilentConnection()
{
    if (!options.replacesSilentConnections)
        return false;
    ConnectionPointer oldest;
    for (const auto &[raw, connection] : connections) {
        if (connection->isSilent()
            && (oldest == nullptr || connection->timeoutStart() < oldest->timeoutStart()))
            oldest = connection;
    }
    if (oldest == nullptr || EpollLoop::instance().now() - oldest->timeoutStart() < MinSilence)
        return false;
    oldest->close();
    return true;
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
