#include "drivers/beast/beast_http_server.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include "drivers/beast/http_wire.h"
#include "drivers/tcp/tcp_listener.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBufferBytes = 16 * 1024;
constexpr std::chrono::milliseconds TimeoutCheckPeriod{1'000};

constexpr int StatusBadRequest = 400;
constexpr int StatusTimeout = 408;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
constexpr int StatusUnavailable = 503;
/** How long the rest of a refused request is read, so that its caller can read the response. */
constexpr std::chrono::milliseconds LingerTime{1'000};
/** Bytes of further requests that are read before the response to the current one is written. */
constexpr std::size_t MaxPipelinedBytes = 64 * 1024;

int statusForParseError(const boost::beast::error_code &error)
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
    Timer timeoutCheckTimer;
    std::size_t openRequests = 0;
    std::size_t heldBodyBytes = 0; ///< Of all requests that are being read or have no response.
    std::uint64_t abandonedRequests = 0;
    bool keepAliveDisabled = false;

    void acceptConnection(int descriptor);
    /** Closes connections past their idle timeout or header timeout. */
    void closeExpiredConnections();
    bool allowsKeepAlive() const
    {
        return !keepAliveDisabled && connections.size() < options.maxKeepAliveConnections;
    }
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
    std::uint64_t requestNumber = 0; ///< Identifies the current request, to ignore late responses.
    bool awaitingResponse = false; ///< A request was passed to the handler and has no response yet.
    bool keepAlive = true;
    bool closed = false;
    bool lingering = false;        ///< Refused; the rest of its request is read and dropped.
    std::size_t heldBodyBytes = 0; ///< What the current request takes of maxHeldBodyBytes.
    std::chrono::milliseconds acceptDelay{0}; ///< How long it may have waited to be accepted.
    std::chrono::milliseconds readDelay{0};   ///< How long the current request has waited.
    SteadyTime timeoutStart; ///< When the connection became idle or the first header byte arrived.

    void start();
    void socketReady();
    void readSome();
    void parseInput();
    /** Reserves room for the body that is being read. Returns false if there is none. */
    bool holdBody(State &serverState);
    void releaseBody(State &serverState);
    /** Passes the parsed request to the handler. */
    void dispatchRequest(const std::shared_ptr<State> &serverState);
    /** Returns how long the current request may have waited before its first byte was read. */
    std::chrono::milliseconds inputDelay();
    /** Responds to invalid or late input with an error status and closes the connection. */
    void respondWithError(int status);
    void respond(std::uint64_t number, const HttpResponse &response);
    void flush();
    /** Closes the connection or prepares it for its next request. */
    void finishResponse();
    void close();
    void waitForSocket();
    void resetParser(const State &serverState);
    bool headerStarted() const { return parser && parser->got_some(); }
};

namespace {

class ConnectionResponder final : public HttpResponder
{
    std::weak_ptr<BeastHttpServer::Connection> m_connection;
    std::uint64_t m_requestNumber;

public:
    ConnectionResponder(const std::shared_ptr<BeastHttpServer::Connection> &connection,
                        std::uint64_t requestNumber)
        : m_connection(connection), m_requestNumber(requestNumber)
    {
    }

    void respond(const HttpResponse &response) override
    {
        if (const std::shared_ptr<BeastHttpServer::Connection> connection = m_connection.lock())
            connection->respond(m_requestNumber, response);
    }

    void onCallerGone(std::function<void()> callback) override
    {
        const std::shared_ptr<BeastHttpServer::Connection> connection = m_connection.lock();
        if (connection != nullptr && connection->requestNumber == m_requestNumber
            && connection->awaitingResponse)
            connection->callerGone = std::move(callback);
    }
};

} // namespace

void BeastHttpServer::State::acceptConnection(int descriptor)
{
    if (connections.size() >= options.maxConnections) {
        // The destructor of the socket closes the connection.
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

void BeastHttpServer::State::closeExpiredConnections()
{
    const SteadyTime now = EpollLoop::instance().now();
    std::vector<ConnectionPointer> idle;
    std::vector<ConnectionPointer> slow;
    for (const auto &[raw, connection] : connections) {
        if (connection->awaitingResponse || !connection->output.empty())
            continue;
        const SteadyTime::duration age = now - connection->timeoutStart;
        if (connection->lingering) {
            if (age > LingerTime)
                idle.push_back(connection);
            continue;
        }
        if (connection->headerStarted() && !connection->parser->is_header_done()) {
            if (age > options.headerTimeout)
                slow.push_back(connection);
        } else if (!connection->headerStarted() && age > options.idleTimeout) {
            idle.push_back(connection);
        }
    }
    for (const ConnectionPointer &connection : idle)
        connection->close();
    for (const ConnectionPointer &connection : slow)
        connection->respondWithError(StatusTimeout);
}

void BeastHttpServer::Connection::resetParser(const State &serverState)
{
    parser.emplace();
    parser->header_limit(static_cast<std::uint32_t>(serverState.options.maxHeaderBytes));
    parser->body_limit(serverState.options.maxBodyBytes);
    parser->eager(true);
}

void BeastHttpServer::Connection::start()
{
    timeoutStart = EpollLoop::instance().now();
    acceptDelay = EpollLoop::instance().inputDelay();
    if (const std::shared_ptr<State> serverState = state.lock())
        resetParser(*serverState);
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
    if (!closed)
        readSome();
}

void BeastHttpServer::Connection::readSome()
{
    std::array<char, ReadBufferBytes> buffer;
    std::size_t received = 0;
    const SocketResult outcome = socket.read(buffer.data(), buffer.size(), received);
    if (outcome == SocketResult::WouldBlock)
        return;
    if (outcome != SocketResult::Progress) {
        close();
        return;
    }
    if (lingering)
        return;
    input.append(buffer.data(), received);
    if (!awaitingResponse && output.empty())
        parseInput();
    else if (input.size() >= MaxPipelinedBytes && awaitingResponse)
        socket.stopWaiting(); // Until there is a response.
    else if (input.size() >= 2 * MaxPipelinedBytes)
        close(); // It sends requests but does not read the response.
}

bool BeastHttpServer::Connection::holdBody(State &serverState)
{
    if (!parser->is_header_done())
        return true;
    const std::size_t announced = parser->content_length().value_or(0);
    const std::size_t needed = std::max(announced, parser->get().body().size());
    if (needed <= heldBodyBytes)
        return true;
    const std::size_t added = needed - heldBodyBytes;
    if (added > serverState.options.maxHeldBodyBytes
        || serverState.heldBodyBytes > serverState.options.maxHeldBodyBytes - added)
        return false;
    heldBodyBytes = needed;
    serverState.heldBodyBytes += added;
    return true;
}

void BeastHttpServer::Connection::releaseBody(State &serverState)
{
    serverState.heldBodyBytes -= std::exchange(heldBodyBytes, 0);
}

void BeastHttpServer::Connection::parseInput()
{
    const std::shared_ptr<State> serverState = state.lock();
    if (serverState == nullptr)
        return;
    while (!input.empty() && !parser->is_done()) {
        if (!parser->got_some()) {
            timeoutStart = EpollLoop::instance().now();
            readDelay = inputDelay();
        }
        boost::beast::error_code error;
        const std::size_t used = parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        if (error && error != http::error::need_more) {
            respondWithError(statusForParseError(error));
            return;
        }
        if (parser->is_header_done() && hasRepeatedLength(parser->get())) {
            respondWithError(StatusBadRequest);
            return;
        }
        if (!holdBody(*serverState)) {
            respondWithError(StatusUnavailable);
            return;
        }
        if (error)
            return;
    }
    if (!parser->is_done())
        return;
    if (socket.hasPeerClosed() && !serverState->options.serveClosedCallers) {
        ++serverState->abandonedRequests;
        close();
        return;
    }
    dispatchRequest(serverState);
}

std::chrono::milliseconds BeastHttpServer::Connection::inputDelay()
{
    const std::chrono::milliseconds delay = EpollLoop::instance().inputDelay();
    // A first request that the loop was waiting for came after its connection.
    const std::chrono::milliseconds accepting =
            std::exchange(acceptDelay, std::chrono::milliseconds(0));
    return delay.count() > 0 ? delay + accepting : delay;
}

void BeastHttpServer::Connection::dispatchRequest(const std::shared_ptr<State> &serverState)
{
    keepAlive = parser->keep_alive();
    http::request<http::string_body> message = parser->release();
    HttpRequest received;
    received.method = std::string(message.method_string());
    received.target = std::string(message.target());
    for (const auto &field : message) {
        received.headers.push_back(HttpHeader{.name = std::string(field.name_string()),
                                              .value = std::string(field.value())});
    }
    received.body = std::move(message.body());
    received.waited = readDelay;
    resetParser(*serverState);
    awaitingResponse = true;
    ++serverState->openRequests;
    ++requestNumber;
    serverState->handler(std::move(received),
                         std::make_shared<ConnectionResponder>(shared_from_this(), requestNumber));
}

void BeastHttpServer::Connection::respondWithError(int status)
{
    const std::shared_ptr<State> serverState = state.lock();
    if (serverState == nullptr)
        return;
    keepAlive = false;
    lingering = true;
    awaitingResponse = true;
    ++serverState->openRequests;
    input.clear();
    resetParser(*serverState);
    HttpResponse response{.status = status};
    if (status == StatusUnavailable)
        response.headers.push_back({"Retry-After", "1"});
    respond(++requestNumber, response);
}

void BeastHttpServer::Connection::respond(std::uint64_t number, const HttpResponse &response)
{
    const std::shared_ptr<State> serverState = state.lock();
    if (serverState == nullptr || closed || !awaitingResponse || number != requestNumber)
        return;
    awaitingResponse = false;
    --serverState->openRequests;
    callerGone = nullptr;
    releaseBody(*serverState);
    keepAlive = keepAlive && serverState->allowsKeepAlive();
    output = serializeResponse(response, keepAlive);
    written = 0;
    flush();
}

void BeastHttpServer::Connection::flush()
{
    while (written < output.size()) {
        const SocketResult outcome =
                socket.write(output.data() + written, output.size() - written, written);
        if (outcome == SocketResult::WouldBlock) {
            waitForSocket();
            return;
        }
        if (outcome != SocketResult::Progress) {
            close();
            return;
        }
    }
    output.clear();
    finishResponse();
}

void BeastHttpServer::Connection::finishResponse()
{
    if (!keepAlive && !lingering) {
        close();
        return;
    }
    timeoutStart = EpollLoop::instance().now();
    if (lingering)
        socket.endWriting();
    waitForSocket();
    if (!input.empty() && !lingering)
        parseInput();
}

void BeastHttpServer::Connection::close()
{
    if (closed)
        return;
    closed = true;
    const std::shared_ptr<Connection> self = shared_from_this();
    const std::shared_ptr<State> serverState = state.lock();
    socket.close();
    if (serverState == nullptr)
        return;
    if (awaitingResponse)
        --serverState->openRequests;
    awaitingResponse = false;
    releaseBody(*serverState);
    serverState->connections.erase(this);
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

} // namespace jacinthshift
