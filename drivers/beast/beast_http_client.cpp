#include "drivers/beast/beast_http_client.h"

#include <algorithm>
#include <array>
#include <map>
#include <unordered_map>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include "core/text.h"
#include "drivers/beast/message_output.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/** After this idle time a connection is checked for pending input before it is reused. */
constexpr std::chrono::milliseconds MaxUncheckedIdleTime{100};
constexpr std::uint32_t MaxHeaderBytes = 32 * 1024;
/** Evicted holders are gone by then. */
constexpr std::chrono::milliseconds RoomRetryDelay{1};
/** How often exchanges that wait for room try to get it. */
constexpr std::chrono::milliseconds RoomCheckPeriod{20};
/** An exchange with a shorter response is not worth evicting. */
constexpr std::size_t MinCountedBytes = 64 * 1024;
/** Bytes that the parser leaves in the input until the head of a chunk or a trailer is complete. */
constexpr std::size_t MaxUnparsedBytes = MaxHeaderBytes;
/** Responses dropped in one exchange: 1xx ones, and late ones to earlier requests. */
constexpr std::uint32_t MaxDroppedResponses = 16;
constexpr unsigned MinStatus = 100;
constexpr unsigned MaxStatus = 599;
constexpr unsigned StatusSwitchingProtocols = 101; ///< No request asks for it.

/**
 * Returns the idle time that the Keep-Alive header allows, reduced by a margin; zero if the header
 * gives none.
 */
std::chrono::milliseconds keepAliveTimeout(const http::response<http::string_body> &message)
{
    constexpr std::string_view Key = "timeout=";
    // The server's timeout starts when it sends the response, and the next request takes time to
    // arrive.
    constexpr std::chrono::milliseconds Margin{500};
    const std::string value(message[http::field::keep_alive]);
    const std::size_t at = value.find(Key);
    std::uint32_t seconds = 0;
    if (at == std::string::npos)
        return std::chrono::milliseconds(0);
    const std::size_t begin = at + Key.size();
    const std::size_t end = value.find_first_not_of("0123456789", begin);
    if (!parseNumber(value.substr(begin, end == std::string::npos ? end : end - begin), seconds))
        return std::chrono::milliseconds(0);
    return std::max(std::chrono::milliseconds(1), std::chrono::seconds(seconds) - Margin);
}

HttpResult failedResult(HttpFailure reason, bool written)
{
    HttpResult result;
    result.verdict = written ? Verdict::MayHaveRun : Verdict::NotRun;
    result.failure = reason;
    return result;
}

} // namespace

/** One connection to a server; it carries one exchange at a time. */
class BeastHttpClient::Connection final : public ByteHolder
{
public:
    using Parser = http::response_parser<http::string_body>;
    enum class ParseResult { NeedsInput, NeedsRoom, Complete, Malformed };

    State &state;
    Endpoint server;
    TcpSocket socket;
    bool connected = false;
    bool reused = false; ///< The connection has carried an earlier exchange.
    SteadyTime idleSince;

    // The current exchange.
    HttpCallId callId = HttpCallId::None;
    Callback callback;
    MessageOutput output;
    std::unique_ptr<Parser> parser;
    std::string input;
    std::shared_ptr<ByteLease> lease; ///< For the response.
    std::size_t bodyCapacity = 0;     ///< Of the response, as far as there is room for it.
    SteadyTime receivingSince;
    bool waitsForRoom = false; ///< It is not read on.
    std::size_t received = 0;  ///< All bytes of the exchange, dropped responses included.
    std::uint32_t droppedResponses = 0;
    bool headRequest = false;
    bool closeAfterResponse = false;
    HttpHeader correlationHeader;
    /** Idle time that the Keep-Alive header of the last response allows; zero if it gave none. */
    std::chrono::milliseconds serverIdleTimeout{0};
    Timer timeout;
    Timer connectTimeout;

    Connection(State &clientState, Endpoint endpoint)
        : state(clientState), server(std::move(endpoint))
    {
    }
    ~Connection() override { releaseAccount(); }
    Connection(const Connection &) = delete;
    Connection &operator=(const Connection &) = delete;

    void resetParser();
    void continueConnect();
    void beginWrite();
    void continueWrite();
    void continueRead();
    /** Adds bytes to the input. Returns false if the exchange has received too many. */
    bool addInput(const char *data, std::size_t size);
    /** Parses the input up to the end of the response, as far as there is room. */
    ParseResult parseInput();
    /** Parses the input and continues with what follows from the result. */
    void processInput();
    /** Takes room for the body, before it is parsed. */
    LeaseResult makeRoom();
    /** Returns the capacity that the body needs for its announced length or for the input. */
    std::size_t neededBodyCapacity() const;
    bool hasAnnouncedLength() const;
    void updateAccount();
    void releaseAccount();
    void evict() override;
    /** Returns false for a status that is none or was not asked for, and for an unclear length. */
    bool hasValidHead() const;
    /** Returns false for a 1xx response and for one with another correlation value. */
    bool matchesRequest() const;
    void acceptResponse();
    void endForLackOfTime();
    void fail(HttpFailure reason);
};

struct BeastHttpClient::State : std::enable_shared_from_this<State>
{
    using ConnectionPointer = std::shared_ptr<Connection>;

    BeastHttpClientOptions options;
    std::unordered_map<HttpCallId, ConnectionPointer> active;
    std::map<Endpoint, std::vector<ConnectionPointer>> idle;
    std::uint64_t lastId = 0;
    std::size_t receivedBytes = 0;   ///< Of all exchanges in progress.
    std::vector<HttpCallId> waiting; ///< Exchanges that wait for room.
    Timer roomTimer;                 ///< Active while there are any.

    /**
     * Removes and returns the most recently used idle connection that has no pending input; null if
     * there is none or it has been idle for too long.
     */
    ConnectionPointer popIdle(const Endpoint &server, std::chrono::milliseconds maxIdle);
    void removeIdle(const Connection *connection);
    /** Ends the exchange that has received most if all together have received too much. */
    void endLongestIfExceeded();
    /**
     * Ends the longest response of unknown length that is longer than this one: it may be one
     * without end. Returns false if there is none.
     */
    bool endLongerUnknown(const Connection &connection);
    /** Lets an exchange try again to get room, at once or with the next check. */
    void waitForRoom(Connection &connection, LeaseResult result);
    void checkWaiting();
    /** Ends the exchange, keeps or closes its connection and runs the callback. */
    void finish(const ConnectionPointer &connection, HttpResult result, bool reusable);
    ConnectionPointer find(HttpCallId id)
    {
        const auto found = active.find(id);
        return found == active.end() ? nullptr : found->second;
    }
};

BeastHttpClient::State::ConnectionPointer
BeastHttpClient::State::popIdle(const Endpoint &server, std::chrono::milliseconds maxIdle)
{
    const auto found = idle.find(server);
    if (found == idle.end() || found->second.empty())
        return nullptr;
    std::vector<ConnectionPointer> &connections = found->second;
    const ConnectionPointer newest = connections.back();
    const SteadyTime::duration age = EpollLoop::instance().now() - newest->idleSince;
    if (age > options.maxIdleTime) {
        connections.clear();
        return nullptr;
    }
    const bool tooOld =
            age > maxIdle
            || (newest->serverIdleTimeout.count() > 0 && age > newest->serverIdleTimeout);
    if (tooOld)
        return nullptr;
    connections.pop_back();
    // The event that the peer closed the connection may be pending in this loop iteration, or the
    // loop may not have run for a while.
    if (age > MaxUncheckedIdleTime && !newest->socket.hasNoPendingInput())
        return popIdle(server, maxIdle);
    return newest;
}

void BeastHttpClient::State::removeIdle(const Connection *connection)
{
    const auto found = idle.find(connection->server);
    if (found == idle.end())
        return;
    std::erase_if(found->second, [connection](const ConnectionPointer &known) {
        return known.get() == connection;
    });
}

void BeastHttpClient::State::endLongestIfExceeded()
{
    if (receivedBytes <= options.maxReceivedBytes)
        return;
    const auto longest =
            std::max_element(active.begin(), active.end(), [](const auto &a, const auto &b) {
                return a.second->received < b.second->received;
            });
    const ConnectionPointer connection = longest->second;
    connection->fail(HttpFailure::Malformed);
}

bool BeastHttpClient::State::endLongerUnknown(const Connection &connection)
{
    ConnectionPointer longest;
    for (const auto &[id, other] : active) {
        if (other->received > connection.received && other->bodyCapacity > 0
            && !other->hasAnnouncedLength()
            && (longest == nullptr || other->received > longest->received))
            longest = other;
    }
    if (longest == nullptr)
        return false;
    longest->fail(HttpFailure::Malformed);
    return true;
}

void BeastHttpClient::State::waitForRoom(Connection &connection, LeaseResult result)
{
    connection.socket.stopWaiting();
    connection.waitsForRoom = true;
    waiting.push_back(connection.callId);
    EpollLoop &loop = EpollLoop::instance();
    if (result == LeaseResult::Evicting)
        roomTimer = Timer(loop, loop.startOnce(RoomRetryDelay, [this] { checkWaiting(); }));
    else if (!roomTimer.isActive())
        roomTimer = Timer(loop, loop.startOnce(RoomCheckPeriod, [this] { checkWaiting(); }));
}

void BeastHttpClient::State::checkWaiting()
{
    roomTimer.stop();
    std::vector<std::pair<std::size_t, HttpCallId>> smallestFirst;
    for (const HttpCallId id : std::exchange(waiting, {})) {
        if (const ConnectionPointer connection = find(id))
            smallestFirst.emplace_back(connection->neededBodyCapacity(), id);
    }
    std::sort(smallestFirst.begin(), smallestFirst.end());
    for (const auto &[bytes, id] : smallestFirst) {
        if (const ConnectionPointer connection = find(id))
            connection->processInput();
    }
}

void BeastHttpClient::State::finish(const ConnectionPointer &connection, HttpResult result,
                                    bool reusable)
{
    active.erase(connection->callId);
    receivedBytes -= std::exchange(connection->received, 0);
    connection->releaseAccount();
    connection->lease.reset();
    connection->output.clear();
    connection->callId = HttpCallId::None;
    connection->timeout.stop();
    connection->connectTimeout.stop();
    const Callback callback = std::exchange(connection->callback, nullptr);
    if (reusable) {
        std::vector<ConnectionPointer> &connections = idle[connection->server];
        connection->idleSince = EpollLoop::instance().now();
        if (connections.size() >= options.maxIdleConnectionsPerServer)
            connections.erase(connections.begin());
        connections.push_back(connection);
        // Input on an idle connection means that the peer closed it or sent bytes that belong to
        // no request.
        Connection *raw = connection.get();
        raw->socket.waitReadable([this, raw] { removeIdle(raw); });
    } else {
        connection->socket.close();
    }
    callback(std::move(result));
}

void BeastHttpClient::Connection::resetParser()
{
    parser = std::make_unique<Parser>();
    parser->body_limit(state.options.maxBodyBytes);
    parser->header_limit(MaxHeaderBytes);
    // The parser allocates the announced length of a body as soon as it goes on behind the head.
    parser->eager(false);
    bodyCapacity = 0;
    parser->skip(headRequest);
}

void BeastHttpClient::Connection::continueConnect()
{
    if (!socket.finishConnect()) {
        fail(HttpFailure::ConnectFailed);
        return;
    }
    connected = true;
    connectTimeout.stop();
    continueWrite();
}

void BeastHttpClient::Connection::beginWrite()
{
    if (output.writeTo(socket) == SocketResult::Progress) {
        socket.waitReadable([this] { continueRead(); });
        return;
    }
    // The loop writes the rest or reports the failure: the callback must not run before send()
    // has returned.
    socket.waitWritable([this] { continueWrite(); });
}

void BeastHttpClient::Connection::continueWrite()
{
    const SocketResult outcome = output.writeTo(socket);
    if (outcome == SocketResult::WouldBlock) {
        socket.waitWritable([this] { continueWrite(); });
        return;
    }
    if (outcome != SocketResult::Progress) {
        fail(HttpFailure::ConnectionLost);
        return;
    }
    socket.waitReadable([this] { continueRead(); });
}

void BeastHttpClient::Connection::continueRead()
{
    // A complete response ends the exchange, which may release the last other reference to this
    // connection.
    const std::shared_ptr<Connection> self = state.find(callId);
    std::array<char, ReadBufferBytes> buffer;
    std::size_t bytes = 0;
    const SocketResult outcome = socket.read(buffer.data(), buffer.size(), bytes);
    if (outcome == SocketResult::WouldBlock)
        return;
    if (outcome == SocketResult::Progress) {
        if (addInput(buffer.data(), bytes))
            processInput();
        else
            fail(HttpFailure::Malformed);
        return;
    }
    boost::beast::error_code error;
    if (outcome == SocketResult::Ended && parser->got_some())
        parser->put_eof(error);
    if (!error && parser->is_done() && matchesRequest())
        acceptResponse();
    else
        fail(HttpFailure::ConnectionLost);
}

bool BeastHttpClient::Connection::addInput(const char *data, std::size_t size)
{
    input.append(data, size);
    received += size;
    state.receivedBytes += size;
    // Heads, chunk sizes and dropped responses get as many bytes again as a body may have.
    return received <= 2 * (state.options.maxBodyBytes + MaxHeaderBytes);
}

void BeastHttpClient::Connection::processInput()
{
    // A complete response ends the exchange, which may release the last other reference to this
    // connection.
    const std::shared_ptr<Connection> self = state.find(callId);
    switch (parseInput()) {
    case ParseResult::Malformed:
        fail(HttpFailure::Malformed);
        return;
    case ParseResult::Complete:
        acceptResponse();
        return;
    case ParseResult::NeedsRoom:
        return;
    case ParseResult::NeedsInput:
        break;
    }
    updateAccount();
    if (std::exchange(waitsForRoom, false))
        socket.waitReadable([this] { continueRead(); });
    state.endLongestIfExceeded();
}

BeastHttpClient::Connection::ParseResult BeastHttpClient::Connection::parseInput()
{
    while (true) {
        const LeaseResult room = makeRoom();
        if (room != LeaseResult::Granted) {
            state.waitForRoom(*this, room);
            return ParseResult::NeedsRoom;
        }
        if (parser->is_done() && matchesRequest())
            return ParseResult::Complete;
        if (parser->is_done()) {
            if (++droppedResponses > MaxDroppedResponses)
                return ParseResult::Malformed;
            closeAfterResponse = closeAfterResponse || !parser->keep_alive();
            resetParser();
        }
        if (input.empty())
            return ParseResult::NeedsInput;
        boost::beast::error_code error;
        const std::size_t used = parser->put(boost::asio::buffer(input), error);
        input.erase(0, used);
        if (parser->is_header_done() && !hasValidHead())
            return ParseResult::Malformed;
        if (error == http::error::need_more)
            return input.size() <= MaxUnparsedBytes ? ParseResult::NeedsInput
                                                    : ParseResult::Malformed;
        if (error)
            return ParseResult::Malformed;
    }
}

LeaseResult BeastHttpClient::Connection::makeRoom()
{
    if (!parser->is_header_done() || parser->is_done())
        return LeaseResult::Granted;
    const std::size_t needed = neededBodyCapacity();
    const std::shared_ptr<ByteAccount> &account = state.options.account;
    if (account != nullptr && needed > bodyCapacity) {
        if (lease == nullptr) {
            lease = std::make_shared<ByteLease>();
            receivingSince = EpollLoop::instance().now();
        }
        const HeldBytes requester{.progress = parser->get().body().size(), .since = receivingSince};
        LeaseResult result = LeaseResult::Refused;
        do {
            result = account->extend(*lease, needed, requester, EpollLoop::instance().now());
        } while (result == LeaseResult::Refused && state.endLongerUnknown(*this));
        if (result != LeaseResult::Granted)
            return result;
    }
    bodyCapacity = std::max(bodyCapacity, needed);
    reserveExactly(parser->get().body(), bodyCapacity);
    parser->eager(true);
    return LeaseResult::Granted;
}

bool BeastHttpClient::Connection::hasAnnouncedLength() const
{
    return parser->is_header_done() && parser->content_length().has_value();
}

std::size_t BeastHttpClient::Connection::neededBodyCapacity() const
{
    if (const auto announced = parser->content_length())
        return std::min(static_cast<std::size_t>(*announced), state.options.maxBodyBytes);
    const std::size_t needed = parser->get().body().size() + input.size();
    if (needed <= bodyCapacity)
        return bodyCapacity;
    return bodyCapacityFor(needed, state.options.maxBodyBytes);
}

void BeastHttpClient::Connection::updateAccount()
{
    if (lease == nullptr || lease->bytes() < MinCountedBytes)
        return;
    state.options.account->hold(*this,
                                {.leasedBytes = lease->bytes(),
                                 .progress = parser->get().body().size(),
                                 .since = receivingSince},
                                EpollLoop::instance().now());
}

void BeastHttpClient::Connection::releaseAccount()
{
    if (state.options.account != nullptr)
        state.options.account->release(*this);
}

void BeastHttpClient::Connection::evict()
{
    EpollLoop::instance().startOnce(std::chrono::milliseconds(0), [weak = state.weak_from_this(),
                                                                   id = callId] {
        const std::shared_ptr<State> client = weak.lock();
        const State::ConnectionPointer connection = client == nullptr ? nullptr : client->find(id);
        if (connection != nullptr)
            connection->fail(HttpFailure::Malformed);
    });
}

bool BeastHttpClient::Connection::hasValidHead() const
{
    // The parser accepts any three digits.
    const unsigned status = parser->get().result_int();
    return status >= MinStatus && status <= MaxStatus && status != StatusSwitchingProtocols
           && !hasRepeatedLength(parser->get());
}

bool BeastHttpClient::Connection::matchesRequest() const
{
    if (parser->get().result_int() < 200)
        return false;
    const auto found = parser->get().find(correlationHeader.name);
    return correlationHeader.name.empty() || found == parser->get().end()
           || found->value() == correlationHeader.value;
}

void BeastHttpClient::Connection::acceptResponse()
{
    const bool uncorrelated = !correlationHeader.name.empty()
                              && parser->get().find(correlationHeader.name) == parser->get().end();
    // On a reused connection, such a response may belong to the exchange before.
    if (uncorrelated && (reused || parser->get().result_int() < 300)) {
        fail(HttpFailure::Malformed);
        return;
    }
    const bool reusable = parser->keep_alive() && input.empty() && !closeAfterResponse;
    serverIdleTimeout = keepAliveTimeout(parser->get());
    HttpResult result;
    result.verdict = Verdict::Done;
    http::response<http::string_body> message = parser->release();
    result.response.status = static_cast<int>(message.result_int());
    for (const auto &field : message) {
        result.response.headers.push_back(HttpHeader{.name = std::string(field.name_string()),
                                                     .value = std::string(field.value())});
    }
    result.response.body = std::move(message.body());
    result.response.lease = std::move(lease);
    state.finish(state.find(callId), std::move(result), reusable);
}

void BeastHttpClient::Connection::endForLackOfTime()
{
    if (state.options.dropIdleAfterTimeout && reused && received == 0)
        state.idle.erase(server);
    fail(HttpFailure::TimedOut);
}

void BeastHttpClient::Connection::fail(HttpFailure reason)
{
    state.finish(state.find(callId), failedResult(reason, output.written() > 0), false);
}

BeastHttpClient::BeastHttpClient(const BeastHttpClientOptions &options)
    : m_state(std::make_shared<State>())
{
    m_state->options = options;
}

BeastHttpClient::~BeastHttpClient()
{
    m_state->active.clear();
    m_state->idle.clear();
}

HttpCallId BeastHttpClient::send(const HttpSendOptions &options, const HttpRequest &request,
                                 Callback callback)
{
    const HttpCallId id = static_cast<HttpCallId>(++m_state->lastId);
    const std::chrono::milliseconds maxIdle = options.maxIdleTime.value_or(
            isIdempotentMethod(request.method) ? m_state->options.maxIdleTime
                                               : m_state->options.maxIdleTimeNonIdempotent);
    State::ConnectionPointer connection = m_state->popIdle(options.server, maxIdle);
    if (connection == nullptr)
        connection = std::make_shared<Connection>(*m_state, options.server);
    Connection *raw = connection.get();
    raw->callId = id;
    raw->callback = std::move(callback);
    raw->output.clear();
    raw->output.append(serializeRequest(options.server, request));
    raw->input.clear();
    raw->droppedResponses = 0;
    raw->waitsForRoom = false;
    raw->headRequest = request.method == "HEAD";
    raw->correlationHeader = options.correlationHeader;
    raw->resetParser();
    m_state->active.emplace(id, connection);

    EpollLoop &loop = EpollLoop::instance();
    raw->timeout = Timer(loop, loop.startOnce(options.timeout, [raw] { raw->endForLackOfTime(); }));
    raw->reused = raw->connected;
    if (raw->connected) {
        raw->beginWrite();
        return id;
    }
    if (raw->socket.connect(options.server, m_state->options.localAddress)) {
        raw->socket.waitWritable([raw] { raw->continueConnect(); });
        raw->connectTimeout = Timer(loop, loop.startOnce(options.connectTimeout, [raw] {
            raw->fail(HttpFailure::ConnectFailed);
        }));
        return id;
    }
    raw->timeout = Timer(loop, loop.startOnce(std::chrono::milliseconds(0),
                                              [raw] { raw->fail(HttpFailure::ConnectFailed); }));
    return id;
}

void BeastHttpClient::cancel(HttpCallId id)
{
    const State::ConnectionPointer connection = m_state->find(id);
    if (connection != nullptr)
        connection->fail(HttpFailure::Cancelled);
}

} // namespace jacinthshift
