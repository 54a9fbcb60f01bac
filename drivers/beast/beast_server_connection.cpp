#include "drivers/beast/beast_server_connection.h"

#include <algorithm>
#include <array>
#include <utility>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include "core/text.h"
#include "drivers/beast/beast_server_state.h"
#include "drivers/beast/connection_responder.h"
#include "drivers/beast/http_wire.h"

namespace jacinthshift {

namespace {

namespace http = boost::beast::http;

constexpr std::size_t ReadBufferBytes = 16 * 1024;
/** Responses that are due at the same time are written together, up to this size. */
constexpr std::size_t OutputBatchBytes = 64 * 1024;
/** Bytes of further requests that are read while no further request can be passed on. */
constexpr std::size_t MaxPipelinedBytes = 64 * 1024;
/** Evicted holders are gone by then. */
constexpr std::chrono::milliseconds RoomRetryDelay{1};
/** A connection that holds less is not worth evicting. */
constexpr std::size_t MinCountedBytes = 4 * 1024;
/** A larger head does not wait for room: while it waits, nothing counts what it takes. */
constexpr std::size_t MaxWaitingHeadCost = 64 * 1024;
/** An idle connection keeps an input buffer up to this size. */
constexpr std::size_t MaxIdleInputCapacity = 4 * 1024;
/** How long the rest of the input is read, so that its caller can read the last response. */
constexpr std::chrono::milliseconds LingerTime{1'000};
/** How long callers wait for a response that does not say so. */
constexpr std::chrono::milliseconds DefaultCallerWait{2'000};

constexpr int StatusBadRequest = 400;
constexpr int StatusTimeout = 408;
constexpr int StatusTooLarge = 413;
constexpr int StatusHeaderTooLarge = 431;
constexpr int StatusUnavailable = 503;

int statusForParseError(const boost::beast::error_code &error)
{
    if (error == http::error::body_limit)
        return StatusTooLarge;
    return error == http::error::header_limit ? StatusHeaderTooLarge : StatusBadRequest;
}

} // namespace

BeastServerConnection::BeastServerConnection(const std::shared_ptr<BeastServerState> &state)
    : m_state(state)
    , m_queue(state->budget)
    , m_estimatedResponseBytes(state->options.maxBufferedResponseBytes
                               / std::max<std::size_t>(state->options.maxRequestsInFlight, 1))
{
    m_account = state->options.account;
    resetParser(*state);
}

BeastServerConnection::~BeastServerConnection()
{
    if (m_account != nullptr)
        m_account->release(*this);
}

void BeastServerConnection::evict()
{
    m_evicted = true;
    EpollLoop::instance().defer([weak = weak_from_this()] {
        const std::shared_ptr<BeastServerConnection> self = weak.lock();
        const std::shared_ptr<BeastServerState> state =
                self == nullptr ? nullptr : self->m_state.lock();
        if (state == nullptr || self->m_closed)
            return;
        if (!self->isReadingBody() || !self->m_queue.empty() || !self->m_output.empty()) {
            self->close();
            return;
        }
        self->rejectInput(*state, StatusUnavailable);
        self->m_account->release(*self);
        self->process(*state);
    });
}

void BeastServerConnection::updateAccount()
{
    if (m_account == nullptr || m_evicted)
        return;
    const auto leaseBytes = [](const std::shared_ptr<const ByteLease> &lease) {
        return lease == nullptr ? 0 : lease->bytes();
    };
    HeldBytes held{
            .bytes = m_input.capacity() + m_output.unleasedBytes() + m_queue.bufferedHeadBytes(),
            .leasedBytes =
                    m_output.leasedBytes() + m_queue.bufferedLeaseBytes() + leaseBytes(m_lease)};
    if (m_nextRequest)
        held.leasedBytes += leaseBytes(m_nextRequest->lease);
    if (held.bytes + held.leasedBytes < MinCountedBytes) {
        m_account->release(*this);
        return;
    }
    const SteadyTime now = EpollLoop::instance().now();
    held.since = now;
    if (!m_output.empty()) {
        if (std::exchange(m_outputIsNew, false))
            m_outputSince = now;
        held.progress = m_output.written();
        held.since = m_outputSince;
    } else if (isReadingBody()) {
        held.progress = m_parser->get().body().size();
        held.since = m_timeoutStart;
    }
    m_account->hold(*this, held, now);
}

void BeastServerConnection::resetParser(const BeastServerState &state)
{
    m_parser.emplace();
    m_parser->header_limit(static_cast<std::uint32_t>(state.options.maxHeaderBytes));
    m_parser->body_limit(state.options.maxBodyBytes);
    // The parser allocates the announced length of a body as soon as it goes on behind the head.
    m_parser->eager(false);
}

void BeastServerConnection::start(int descriptor)
{
    m_socket.adopt(descriptor);
    m_timeoutStart = EpollLoop::instance().now();
    m_acceptDelay = EpollLoop::instance().inputDelay();
    if (const std::shared_ptr<BeastServerState> state = m_state.lock())
        waitForSocket(*state);
}

bool BeastServerConnection::isExpired(SteadyTime now) const
{
    if (!m_queue.empty() || !m_output.empty())
        return false;
    const SteadyTime::duration age = now - m_timeoutStart;
    if (m_lingering)
        return age > LingerTime && (now >= m_deliverBy || m_socket.unacknowledgedBytes() == 0);
    const std::shared_ptr<BeastServerState> state = m_state.lock();
    if (state == nullptr)
        return false;
    if (!m_parser->got_some())
        return age > state->options.idleTimeout;
    return !m_parser->is_header_done() && age > state->options.headerTimeout;
}

void BeastServerConnection::expire()
{
    const std::shared_ptr<BeastServerState> state = m_state.lock();
    if (m_lingering || state == nullptr || !m_parser->got_some()) {
        close();
        return;
    }
    rejectInput(*state, StatusTimeout);
    process(*state);
}

BeastServerConnection::Wait BeastServerConnection::neededWait(const BeastServerState &state) const
{
    const bool hasOutput = !m_output.empty();
    const bool parserReads = m_parserNeedsInput || unparsedBytes() < MaxPipelinedBytes;
    const bool readsInput = m_lingering || (parserReads && !m_waitsForRoom);
    if (readsInput)
        return hasOutput ? Wait::InputAndOutput : Wait::Input;
    if (state.options.serveClosedCallers)
        return hasOutput ? Wait::Output : Wait::Nothing;
    return hasOutput ? Wait::PeerCloseAndOutput : Wait::PeerClose;
}

void BeastServerConnection::waitForSocket(const BeastServerState &state)
{
    const Wait wait = neededWait(state);
    if (wait == m_wait)
        return;
    m_wait = wait;
    if (wait == Wait::Nothing) {
        m_socket.stopWaiting();
        return;
    }
    std::function<void()> ready = [weak = weak_from_this()] {
        if (const std::shared_ptr<BeastServerConnection> self = weak.lock())
            self->socketReady();
    };
    if (wait == Wait::Output)
        m_socket.waitWritable(std::move(ready));
    else if (wait == Wait::PeerClose || wait == Wait::PeerCloseAndOutput)
        m_socket.waitPeerClose(wait == Wait::PeerCloseAndOutput, std::move(ready));
    else
        m_socket.waitFor(wait == Wait::InputAndOutput, std::move(ready));
}

void BeastServerConnection::socketReady()
{
    const std::shared_ptr<BeastServerState> state = m_state.lock();
    if (state == nullptr)
        return;
    const bool waitsForInput = m_wait == Wait::Input || m_wait == Wait::InputAndOutput;
    if (!waitsForInput && m_socket.hasPeerClosed()) {
        close();
        return;
    }
    if (waitsForInput && !readSome())
        return;
    process(*state);
}

bool BeastServerConnection::readSome()
{
    std::array<char, ReadBufferBytes> buffer;
    std::size_t received = 0;
    const SocketResult outcome = m_socket.read(buffer.data(), buffer.size(), received);
    if (outcome == SocketResult::WouldBlock)
        return true;
    if (outcome != SocketResult::Progress) {
        close();
        return false;
    }
    m_hasReceived = true;
    if (!m_lingering)
        m_input.append(buffer.data(), received);
    return true;
}

void BeastServerConnection::process(BeastServerState &state)
{
    // A handler may respond before it returns; the loop that called it goes on with that.
    if (m_processing || m_closed)
        return;
    const std::shared_ptr<BeastServerConnection> self = shared_from_this();
    m_processing = true;
    m_parserNeedsInput = false;
    while (writeResponses(state) && acceptRequest(state)) {
    }
    m_processing = false;
    if (m_closed)
        return;
    m_input.erase(0, std::exchange(m_parsedBytes, 0));
    if (m_input.empty() && m_input.capacity() > MaxIdleInputCapacity)
        m_input = std::string();
    updateAccount();
    waitForSocket(state);
}

bool BeastServerConnection::writeResponses(const BeastServerState &state)
{
    while (!m_closed && !m_lingering) {
        if (m_output.written() == 0)
            appendDueResponses(state);
        if (m_output.empty())
            return true;
        if (!writeOutput())
            return false;
        outputWritten(state);
    }
    return false;
}

void BeastServerConnection::appendDueResponses(const BeastServerState &state)
{
    while (m_queue.firstIsAnswered() && m_output.acceptsMore()
           && m_output.size() < OutputBatchBytes) {
        m_closesAfterOutput = closesAfterFirst(state);
        SerializedMessage response = m_queue.takeFirstResponse();
        if (m_closesAfterOutput)
            addConnectionClose(response);
        m_output.append(std::move(response));
    }
}

bool BeastServerConnection::closesAfterFirst(const BeastServerState &state)
{
    if (!state.allowsKeepAlive())
        m_acceptsRequests = false;
    return !m_acceptsRequests && m_queue.size() == 1;
}

bool BeastServerConnection::writeOutput()
{
    const SocketResult outcome = m_output.writeTo(m_socket);
    if (outcome == SocketResult::WouldBlock)
        return false;
    if (outcome != SocketResult::Progress) {
        close();
        return false;
    }
    m_output.clear();
    return true;
}

void BeastServerConnection::outputWritten(const BeastServerState &state)
{
    m_outputIsNew = true;
    m_timeoutStart = EpollLoop::instance().now();
    if (!m_closesAfterOutput)
        return;
    // Closing a socket with unread input resets the connection, which may destroy the response.
    const bool hasInput =
            unparsedBytes() > 0 || m_nextRequest.has_value() || !m_socket.hasNoPendingInput();
    // While the process stops, it has to know when the response has arrived.
    if (!m_lingersAfterOutput && !hasInput && !state.keepAliveDisabled) {
        close();
        return;
    }
    m_lingering = true;
    m_input.clear();
    m_parsedBytes = 0;
    m_socket.endWriting();
}

bool BeastServerConnection::acceptRequest(BeastServerState &state)
{
    if (!m_acceptsRequests)
        return false;
    if (!m_nextRequest) {
        if (!hasRoomForRequest(state))
            return false;
        const ParseResult result = parseRequest(state);
        m_parserNeedsInput = result == ParseResult::NeedsInput;
        if (result != ParseResult::Complete)
            return result == ParseResult::Failed;
    }
    if (!mayPassNextRequest(state))
        return false;
    if (m_socket.hasPeerClosed() && !state.options.serveClosedCallers) {
        ++state.abandonedRequests;
        close();
        return false;
    }
    dispatchNextRequest(state);
    return true;
}

bool BeastServerConnection::hasRoomForRequest(const BeastServerState &state) const
{
    if (m_queue.empty())
        return true;
    const HttpServerOptions &options = state.options;
    const std::size_t estimate = m_estimatedResponseBytes;
    return options.mayRunAhead != nullptr && m_queue.size() < options.maxRequestsInFlight
           && m_queue.reservedBytes() + estimate <= options.maxBufferedResponseBytes
           && state.budget->reservedBytes + estimate <= options.maxTotalBufferedResponseBytes;
}

bool BeastServerConnection::mayPassNextRequest(const BeastServerState &state)
{
    // acceptRequest() is called when all output is written.
    if (m_queue.empty())
        return true;
    if (m_nextMustWait || !hasRoomForRequest(state))
        return false;
    if (!state.allowsKeepAlive()) {
        m_acceptsRequests = false;
        return false;
    }
    m_nextMustWait = !state.options.mayRunAhead(*m_nextRequest);
    return !m_nextMustWait;
}

BeastServerConnection::ParseResult BeastServerConnection::parseRequest(BeastServerState &state)
{
    while (true) {
        if (const std::optional<ParseResult> ended = makeRoom(state))
            return *ended;
        if (m_parser->is_done())
            break;
        if (unparsedBytes() == 0)
            return ParseResult::NeedsInput;
        if (!m_parser->got_some()) {
            m_timeoutStart = EpollLoop::instance().now();
            m_readDelay = inputDelay();
        }
        boost::beast::error_code error;
        m_parsedBytes += m_parser->put(
                boost::asio::buffer(m_input.data() + m_parsedBytes, unparsedBytes()), error);
        if (error && error != http::error::need_more) {
            rejectInput(state, statusForParseError(error));
            return ParseResult::Failed;
        }
        if (m_parser->is_header_done() && hasRepeatedLength(m_parser->get())) {
            rejectInput(state, StatusBadRequest);
            return ParseResult::Failed;
        }
        if (!error)
            continue;
        if (const std::optional<ParseResult> ended = makeRoom(state))
            return *ended;
        // The parser takes a chunk's head and the trailer only as a whole.
        if (unparsedBytes() > state.options.maxHeaderBytes) {
            rejectInput(state, StatusHeaderTooLarge);
            return ParseResult::Failed;
        }
        return ParseResult::NeedsInput;
    }
    storeNextRequest(state);
    return ParseResult::Complete;
}

std::optional<BeastServerConnection::ParseResult>
BeastServerConnection::makeRoom(BeastServerState &state)
{
    if (!m_parser->is_header_done())
        return std::nullopt;
    if (m_headCost == 0)
        computeHeadCost();
    m_bodyCapacity = neededBodyCapacity(state);
    const LeaseResult result = extendLease();
    m_waitsForRoom = result == LeaseResult::Evicting && m_headCost <= MaxWaitingHeadCost;
    if (m_waitsForRoom) {
        EpollLoop::instance().startOnce(RoomRetryDelay, [weak = weak_from_this()] {
            const std::shared_ptr<BeastServerConnection> self = weak.lock();
            const std::shared_ptr<BeastServerState> known =
                    self == nullptr ? nullptr : self->m_state.lock();
            if (known != nullptr)
                self->process(*known);
        });
        return ParseResult::NeedsInput;
    }
    if (result != LeaseResult::Granted || !holdBody(state)) {
        rejectInput(state, StatusUnavailable);
        return ParseResult::Failed;
    }
    if (!m_parser->is_done())
        reserveExactly(m_parser->get().body(), m_bodyCapacity);
    m_parser->eager(true);
    return std::nullopt;
}

void BeastServerConnection::computeHeadCost()
{
    std::size_t bytes = m_parser->get().target().size();
    std::size_t lines = 0;
    for (const auto &field : m_parser->get()) {
        bytes += field.name_string().size() + field.value().size();
        ++lines;
    }
    m_headCost = requestCost(bytes, lines);
}

std::size_t BeastServerConnection::neededBodyCapacity(const BeastServerState &state) const
{
    if (const auto announced = m_parser->content_length())
        return static_cast<std::size_t>(*announced);
    const std::size_t needed = m_parser->get().body().size() + unparsedBytes();
    if (m_parser->is_done() || needed <= m_bodyCapacity)
        return m_bodyCapacity;
    return bodyCapacityFor(needed, state.options.maxBodyBytes);
}

LeaseResult BeastServerConnection::extendLease()
{
    if (m_account == nullptr)
        return LeaseResult::Granted;
    if (m_lease == nullptr)
        m_lease = std::make_shared<ByteLease>();
    const SteadyTime now = EpollLoop::instance().now();
    return m_account->extend(*m_lease, m_headCost + m_bodyCapacity,
                             {.progress = m_parser->get().body().size(), .since = m_timeoutStart},
                             now);
}

void BeastServerConnection::storeNextRequest(const BeastServerState &state)
{
    m_nextKeepsAlive = m_parser->keep_alive();
    m_nextMustWait = false;
    http::request<http::string_body> message = m_parser->release();
    HttpRequest &request = m_nextRequest.emplace();
    request.method = std::string(message.method_string());
    request.target = std::string(message.target());
    for (const auto &field : message) {
        request.headers.push_back(HttpHeader{.name = std::string(field.name_string()),
                                             .value = std::string(field.value())});
    }
    request.body = std::move(message.body());
    request.waited = m_readDelay;
    request.lease = std::move(m_lease);
    forgetReadRequest();
    resetParser(state);
}

void BeastServerConnection::forgetReadRequest()
{
    m_lease.reset();
    m_headCost = 0;
    m_bodyCapacity = 0;
    m_waitsForRoom = false;
}

void BeastServerConnection::dispatchNextRequest(BeastServerState &state)
{
    const bool runsAhead = !m_queue.empty();
    if (runsAhead)
        ++state.requestsRunAhead;
    m_acceptsRequests = m_nextKeepsAlive;
    ++state.openRequests;
    const std::uint64_t number = m_queue.add(std::exchange(m_readBodyBytes, 0),
                                             runsAhead ? m_estimatedResponseBytes : 0);
    HttpRequest request = std::move(*m_nextRequest);
    m_nextRequest.reset();
    state.handler(std::move(request),
                  std::make_shared<ConnectionResponder>(weak_from_this(), number));
}

void BeastServerConnection::rejectInput(BeastServerState &state, int status)
{
    m_acceptsRequests = false;
    m_lingersAfterOutput = true;
    releaseBody(state, std::exchange(m_readBodyBytes, 0));
    forgetReadRequest();
    resetParser(state);
    HttpResponse response{.status = status};
    if (status == StatusUnavailable)
        response.headers.push_back({"Retry-After", "1"});
    awaitDelivery(response);
    m_queue.addResponse(serializeResponse(response, true));
}

bool BeastServerConnection::holdBody(BeastServerState &state)
{
    if (!m_parser->is_header_done())
        return true;
    const std::size_t announced = m_parser->content_length().value_or(0);
    const std::size_t needed = std::max(announced, m_parser->get().body().size());
    if (needed <= m_readBodyBytes)
        return true;
    const std::size_t added = needed - m_readBodyBytes;
    if (added > state.options.maxHeldBodyBytes
        || state.heldBodyBytes > state.options.maxHeldBodyBytes - added)
        return false;
    m_readBodyBytes = needed;
    m_heldBodyBytes += added;
    state.heldBodyBytes += added;
    return true;
}

void BeastServerConnection::releaseBody(BeastServerState &state, std::size_t bytes)
{
    m_heldBodyBytes -= bytes;
    state.heldBodyBytes -= bytes;
}

std::chrono::milliseconds BeastServerConnection::inputDelay()
{
    const std::chrono::milliseconds delay = EpollLoop::instance().inputDelay();
    // A first request that the loop was waiting for came after its connection.
    const std::chrono::milliseconds accepting =
            std::exchange(m_acceptDelay, std::chrono::milliseconds(0));
    return delay.count() > 0 ? delay + accepting : delay;
}

void BeastServerConnection::awaitDelivery(const HttpResponse &response)
{
    const SteadyTime until =
            EpollLoop::instance().now() + response.callerWait.value_or(DefaultCallerWait);
    m_deliverBy = std::max(m_deliverBy, until);
}

std::optional<std::size_t> BeastServerConnection::undeliveredBytes(SteadyTime now) const
{
    if (m_closed)
        return std::nullopt;
    const bool isClosing = m_lingering && now - m_timeoutStart <= LingerTime;
    if (now >= m_deliverBy && !isClosing)
        return std::nullopt;
    const std::size_t bytes = m_output.size() - m_output.written() + m_queue.bufferedBytes()
                              + m_socket.unacknowledgedBytes();
    return bytes > 0 || isClosing ? std::optional(bytes) : std::nullopt;
}

void BeastServerConnection::updateEstimate(std::size_t responseBytes)
{
    // Follows a larger response at once, and forgets a single large one after a few small ones.
    m_estimatedResponseBytes =
            std::max(responseBytes, (m_estimatedResponseBytes + responseBytes) / 2);
}

void BeastServerConnection::respond(std::uint64_t number, const HttpResponse &response)
{
    const std::shared_ptr<BeastServerState> state = m_state.lock();
    if (state == nullptr || m_closed || !m_queue.isOpen(number))
        return;
    --state->openRequests;
    awaitDelivery(response);
    if (m_queue.isFirst(number) && m_output.empty()) {
        m_closesAfterOutput = closesAfterFirst(*state);
        releaseBody(*state, m_queue.removeFirst());
        m_output.append(serializeResponse(response, !m_closesAfterOutput));
        updateEstimate(m_output.size());
    } else {
        SerializedMessage message = serializeResponse(response, true);
        updateEstimate(message.size());
        releaseBody(*state, m_queue.hold(number, std::move(message)));
    }
    process(*state);
}

void BeastServerConnection::setCallerGone(std::uint64_t number, std::function<void()> callback)
{
    if (m_queue.isOpen(number))
        m_queue.setCallerGone(number, std::move(callback));
}

void BeastServerConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    if (m_account != nullptr)
        m_account->release(*this);
    m_output.clear();
    m_lease.reset();
    const std::shared_ptr<BeastServerConnection> self = shared_from_this();
    const std::shared_ptr<BeastServerState> state = m_state.lock();
    m_socket.close();
    if (state == nullptr)
        return;
    state->openRequests -= m_queue.openRequests();
    releaseBody(*state, m_heldBodyBytes);
    state->connections.erase(this);
    for (const std::function<void()> &callerGone : m_queue.clear())
        callerGone();
}

} // namespace jacinthshift
