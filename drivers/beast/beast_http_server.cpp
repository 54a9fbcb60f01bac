#include "drivers/beast/beast_http_server.h"

#include <array>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include "drivers/beast/http_wire.h"
#include "drivers/tcp/tcp_listener.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBytes = 16 * 1024;
constexpr std::chrono::milliseconds SweepPeriod{1'000};

constexpr int StatusBadRequest = 400;
constexpr int StatusTimeout = 408;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;

int statusOf(const boost::beast::error_code &error)
{
    if (error == http::error::body_limit)
        return StatusTooLarge;
    return error == http::error::header_limit ? StatusHeaderTooLarge : StatusBadRequest;
}

} // namespace

struct BeastHttpServer::State : std::enable_shared_from_this<State>
{
    using ConnectionPointer = std::shared_ptr<Connection>;

    HttpServerOptions options;
    Handler handler;
    TcpListener listener;
    std::unordered_map<Connection *, ConnectionPointer> connections;
    Timer sweepTimer;
    std::size_t openRequests = 0;
    bool closing = false;

    void accepted(int descriptor);
    void sweep();
    bool keepsOpen() const { return !closing && connections.size() < options.maxKeptConnections; }
};

/** One caller's connection; it carries one request at a time. */
class BeastHttpServer::Connection : public std::enable_shared_from_this<Connection>
{
public:
    using Parser = http::request_parser<http::string_body>;

    std::weak_ptr<State> state;
    TcpSocket socket;
    std::optional<Parser> parser;
    std::string input;
    std::string output;
    std::size_t written = 0;
    std::function<void()> callerGone;
    std::uint64_t request = 0; ///< Counts requests, so that late answers find nothing.
    bool waiting = false;      ///< A request was handed over and is not answered.
    bool keepAlive = true;
    bool dead = false;
    SteadyTime since; ///< When the connection became idle, or the head began to arrive.

    void start();
    void socketReady();
    void readSome();
    void parseInput();
    void handOver(const std::shared_ptr<State> &owner);
    void refuse(int status);
    void respond(std::uint64_t number, const HttpResponse &response);
    void flush();
    void answered();
    void end();
    void waitForSocket();
    void resetParser(const State &owner);
    bool headBegan() const { return parser && parser->got_some(); }
};

namespace {

class ConnectionResponder final : public HttpResponder
{
    std::weak_ptr<BeastHttpServer::Connection> m_connection;
    std::uint64_t m_request;

public:
    ConnectionResponder(const std::shared_ptr<BeastHttpServer::Connection> &connection,
                        std::uint64_t request)
        : m_connection(connection), m_request(request)
    {
    }

    void respond(const HttpResponse &response) override
    {
        if (const std::shared_ptr<BeastHttpServer::Connection> connection = m_connection.lock())
            connection->respond(m_request, response);
    }

    void onCallerGone(std::function<void()> callback) override
    {
        const std::shared_ptr<BeastHttpServer::Connection> connection = m_connection.lock();
        if (connection != nullptr && connection->request == m_request && connection->waiting)
            connection->callerGone = std::move(callback);
    }
};

} // namespace

void BeastHttpServer::State::accepted(int descriptor)
{
    if (connections.size() >= options.maxConnections) {
        TcpSocket refused;
        refused.adopt(descriptor);
        return;
    }
    const ConnectionPointer connection = std::make_shared<Connection>();
    connection->state = weak_from_this();
    connection->socket.adopt(descriptor);
    connections.emplace(connection.get(), connection);
    connection->start();
}

void BeastHttpServer::State::sweep()
{
    const SteadyTime now = EpollLoop::instance().now();
    std::vector<ConnectionPointer> idle;
    std::vector<ConnectionPointer> slow;
    for (const auto &[raw, connection] : connections) {
        if (connection->waiting || !connection->output.empty())
            continue;
        const SteadyTime::duration age = now - connection->since;
        if (connection->headBegan() && !connection->parser->is_header_done()) {
            if (age > options.headerTimeout)
                slow.push_back(connection);
        } else if (!connection->headBegan() && age > options.idleTimeout) {
            idle.push_back(connection);
        }
    }
    for (const ConnectionPointer &connection : idle)
        connection->end();
    for (const ConnectionPointer &connection : slow)
        connection->refuse(StatusTimeout);
}

void BeastHttpServer::Connection::resetParser(const State &owner)
{
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(owner.options.maxHeaderBytes));
    parser->body_limit(owner.options.maxBodyBytes);
    parser->eager(true);
}

void BeastHttpServer::Connection::start()
{
    since = EpollLoop::instance().now();
    if (const std::shared_ptr<State> owner = state.lock())
        resetParser(*owner);
    waitForSocket();
}

void BeastHttpServer::Connection::waitForSocket()
{
    socket.waitFor(!output.empty(), [weak = weak_from_this()] {
        if (const std::shared_ptr<Connection> self = weak.lock())
            self->socketReady();
    });
}

void BeastHttpServer::Connection::socketReady()
{
    if (!output.empty())
        flush();
    if (!dead)
        readSome();
}

void BeastHttpServer::Connection::readSome()
{
    std::array<char, ReadBytes> buffer;
    std::size_t received = 0;
    const SocketStep step = socket.read(buffer.data(), buffer.size(), received);
    if (step == SocketStep::WouldBlock)
        return;
    if (step != SocketStep::Progress) {
        end();
        return;
    }
    input.append(buffer.data(), received);
    if (!waiting && output.empty())
        parseInput();
}

void BeastHttpServer::Connection::parseInput()
{
    const std::shared_ptr<State> owner = state.lock();
    if (owner == nullptr)
        return;
    while (!input.empty() && !parser->is_done()) {
        if (!parser->got_some())
            since = EpollLoop::instance().now();
        boost::beast::error_code error;
        const std::size_t used = parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        if (error == http::error::need_more)
            return;
        if (error) {
            refuse(statusOf(error));
            return;
        }
    }
    if (parser->is_done())
        handOver(owner);
}

void BeastHttpServer::Connection::handOver(const std::shared_ptr<State> &owner)
{
    keepAlive = parser->keep_alive();
    http::request<http::string_body> message = parser->release();
    HttpRequest taken;
    taken.method = std::string(message.method_string());
    taken.target = std::string(message.target());
    for (const auto &field : message) {
        taken.headers.push_back(HttpHeader{.name = std::string(field.name_string()),
                                           .value = std::string(field.value())});
    }
    taken.body = std::move(message.body());
    resetParser(*owner);
    waiting = true;
    ++owner->openRequests;
    ++request;
    owner->handler(std::move(taken),
                   std::make_shared<ConnectionResponder>(shared_from_this(), request));
}

void BeastHttpServer::Connection::refuse(int status)
{
    const std::shared_ptr<State> owner = state.lock();
    if (owner == nullptr)
        return;
    keepAlive = false;
    waiting = true;
    ++owner->openRequests;
    input.clear();
    respond(++request, HttpResponse{.status = status});
}

void BeastHttpServer::Connection::respond(std::uint64_t number, const HttpResponse &response)
{
    const std::shared_ptr<State> owner = state.lock();
    if (owner == nullptr || dead || !waiting || number != request)
        return;
    waiting = false;
    --owner->openRequests;
    callerGone = nullptr;
    keepAlive = keepAlive && owner->keepsOpen();
    output = responseBytes(response, keepAlive);
    written = 0;
    flush();
}

void BeastHttpServer::Connection::flush()
{
    while (written < output.size()) {
        const SocketStep step =
                socket.write(output.data() + written, output.size() - written, written);
        if (step == SocketStep::WouldBlock) {
            waitForSocket();
            return;
        }
        if (step != SocketStep::Progress) {
            end();
            return;
        }
    }
    output.clear();
    answered();
}

void BeastHttpServer::Connection::answered()
{
    if (!keepAlive) {
        end();
        return;
    }
    since = EpollLoop::instance().now();
    waitForSocket();
    if (!input.empty())
        parseInput();
}

void BeastHttpServer::Connection::end()
{
    if (dead)
        return;
    dead = true;
    const std::shared_ptr<Connection> self = shared_from_this();
    const std::shared_ptr<State> owner = state.lock();
    socket.close();
    if (owner == nullptr)
        return;
    if (waiting)
        --owner->openRequests;
    waiting = false;
    owner->connections.erase(this);
    const std::function<void()> gone = std::exchange(callerGone, nullptr);
    if (gone != nullptr)
        gone();
}

BeastHttpServer::BeastHttpServer(const HttpServerOptions &options)
    : m_state(std::make_shared<State>())
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
    State *state = m_state.get();
    m_state->sweepTimer = Timer(loop, loop.startPeriodic(SweepPeriod, [state] { state->sweep(); }));
    return m_state->listener.listen(endpoint,
                                    [state](int descriptor) { state->accepted(descriptor); });
}

void BeastHttpServer::stopListening()
{
    m_state->listener.close();
    m_state->closing = true;
}

void BeastHttpServer::setOptions(const HttpServerOptions &options)
{
    m_state->options = options;
}

void BeastHttpServer::closeAfterAnswers()
{
    m_state->closing = true;
}

std::size_t BeastHttpServer::connectionCount() const
{
    return m_state->connections.size();
}

std::size_t BeastHttpServer::openRequests() const
{
    return m_state->openRequests;
}

} // namespace jacinthshift
