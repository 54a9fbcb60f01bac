#include "drivers/beast/beast_http_server.h"

#include <chrono>
#include <utility>

#include "drivers/beast/beast_server_connection.h"
#include "drivers/beast/beast_server_state.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds TimeoutCheckPeriod{1'000};

} // namespace

BeastHttpServer::BeastHttpServer(const HttpServerOptions &options)
    : m_state(std::make_shared<BeastServerState>())
{
    m_state->options = options;
}

BeastHttpServer::~BeastHttpServer()
{
    m_state->connections.clear();
}

absl::Status BeastHttpServer::listen(const Endpoint &endpoint, Handler handler)
{
    m_state->handler = std::move(handler);
    EpollLoop &loop = EpollLoop::instance();
    BeastServerState *state = m_state.get();
    m_state->timeoutCheckTimer = Timer(loop, loop.startPeriodic(TimeoutCheckPeriod, [state] {
        state->closeExpiredConnections();
    }));
    return m_state->listener.listen(
            endpoint, [state](int descriptor) { state->acceptConnection(descriptor); });
}

void BeastHttpServer::stopListening()
{
    m_state->listener.close();
    m_state->keepAliveDisabled = true;
}

UndeliveredResponses BeastHttpServer::undeliveredResponses() const
{
    const SteadyTime now = EpollLoop::instance().now();
    UndeliveredResponses undelivered;
    for (const auto &[raw, connection] : m_state->connections) {
        const std::optional<std::size_t> bytes = connection->undeliveredBytes(now);
        undelivered.connections += bytes ? 1 : 0;
        undelivered.bytes += bytes.value_or(0);
    }
    return undelivered;
}

void BeastHttpServer::setOptions(const HttpServerOptions &options)
{
    m_state->options = options;
}

void BeastHttpServer::disableKeepAlive()
{
    m_state->keepAliveDisabled = true;
}

std::size_t BeastHttpServer::connectionCount() const
{
    return m_state->connections.size();
}

std::uint64_t BeastHttpServer::abandonedRequests() const
{
    return m_state->abandonedRequests;
}

std::size_t BeastHttpServer::openRequests() const
{
    return m_state->openRequests;
}

std::uint64_t BeastHttpServer::requestsRunAhead() const
{
    return m_state->requestsRunAhead;
}

std::size_t BeastHttpServer::bufferedResponseBytes() const
{
    return m_state->budget->bufferedBytes;
}

} // namespace jacinthshift
