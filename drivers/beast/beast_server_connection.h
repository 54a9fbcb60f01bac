#ifndef DRIVERS_BEAST_BEAST_SERVER_CONNECTION_H
#define DRIVERS_BEAST_BEAST_SERVER_CONNECTION_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "core/byte_account.h"
#include "drivers/beast/message_output.h"
#include "drivers/beast/response_queue.h"
#include "drivers/tcp/tcp_socket.h"
#include "servers/http_message.h"

namespace jacinthshift {

struct BeastServerState;

/**
 * One caller's connection. Passes requests to the handler, several at once if the server allows it,
 * and writes their responses in the order of the requests. See docs/design/http-pipelining.md.
 */
class BeastServerConnection final : public ByteHolder,
                                    public std::enable_shared_from_this<BeastServerConnection>
{
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    enum class ParseResult { NeedsInput, Complete, Failed };
    /** What the connection waits for at its socket. */
    enum class Wait { Nothing, Input, InputAndOutput, PeerClose, PeerCloseAndOutput, Output };

    std::weak_ptr<BeastServerState> m_state;
    TcpSocket m_socket;
    Wait m_wait = Wait::Nothing;
    std::shared_ptr<ByteAccount> m_account;
    bool m_outputIsNew = true; ///< m_output is not in m_account yet.
    bool m_evicted = false;
    bool m_hasReceived = false;
    SteadyTime m_outputSince;
    std::optional<Parser> m_parser;
    std::string m_input;
    std::size_t m_parsedBytes = 0; ///< The part of m_input that the parser has taken.
    MessageOutput m_output;
    ResponseQueue m_queue; ///< Requests whose responses are not in m_output.
    /** A request that was read and may not yet be passed to the handler. */
    std::optional<HttpRequest> m_nextRequest;
    bool m_nextMustWait = false;      ///< m_nextRequest may not run ahead.
    bool m_nextKeepsAlive = true;     ///< The caller of m_nextRequest keeps the connection open.
    bool m_parserNeedsInput = true;   ///< The parser has taken all input that there is.
    bool m_acceptsRequests = true;    ///< Unset once it is known that the connection will close.
    bool m_closesAfterOutput = false; ///< m_output ends with the last response.
    bool m_lingersAfterOutput = false;
    bool m_lingering = false; ///< All is written; the rest of the input is read and dropped.
    SteadyTime m_deliverBy;   ///< Until when callers wait for the responses so far.
    bool m_processing = false;
    bool m_closed = false;
    std::shared_ptr<ByteLease> m_lease; ///< For the request that is being read.
    std::size_t m_headCost = 0;         ///< Of its head, once that is complete.
    std::size_t m_bodyCapacity = 0;     ///< Of its body.
    bool m_waitsForRoom = false;        ///< It is not read on until evicted holders are gone.
    std::size_t m_readBodyBytes = 0;    ///< Held for the body that is being read.
    std::size_t m_heldBodyBytes = 0;    ///< Held for the bodies of all requests of the connection.
    std::size_t m_estimatedResponseBytes = 0;
    std::chrono::milliseconds m_acceptDelay{0}; ///< How long it may have waited to be accepted.
    std::chrono::milliseconds m_readDelay{0};   ///< How long the current request has waited.
    SteadyTime
            m_timeoutStart; ///< When the connection became idle or the first header byte arrived.

    void socketReady();
    /** Returns false if the connection was closed. */
    bool readSome();
    /** Writes the responses that are due and passes on requests, until neither is possible. */
    void process(BeastServerState &state);

    /** Writes responses in their order. Returns true when all that are due are written. */
    bool writeResponses(const BeastServerState &state);
    /** Moves the responses that are due to the output, up to a batch. */
    void appendDueResponses(const BeastServerState &state);
    /** Decides whether the first response is the last one of the connection. */
    bool closesAfterFirst(const BeastServerState &state);
    /** Returns true when the whole output is written. */
    bool writeOutput();
    void outputWritten(const BeastServerState &state);
    /** Records how long the caller of a response waits for it. */
    void awaitDelivery(const HttpResponse &response);

    /** Passes the next request to the handler. Returns false if there is none or it must wait. */
    bool acceptRequest(BeastServerState &state);
    /** Returns whether the bounds allow a further request beside those in flight. */
    bool hasRoomForRequest(const BeastServerState &state) const;
    /** Returns whether the next request may be passed on now. */
    bool mayPassNextRequest(const BeastServerState &state);
    ParseResult parseRequest(BeastServerState &state);
    void storeNextRequest(const BeastServerState &state);
    void dispatchNextRequest(BeastServerState &state);
    /** Answers invalid or late input with an error status, after the requests before it. */
    void rejectInput(BeastServerState &state, int status);
    /**
     * Takes room for the request that is being read, before more of it is. Returns what its parsing
     * ends with if there is none now.
     */
    std::optional<ParseResult> makeRoom(BeastServerState &state);
    LeaseResult extendLease();
    void computeHeadCost();
    /** Returns the capacity that the body needs for its announced length or for the input. */
    std::size_t neededBodyCapacity(const BeastServerState &state) const;
    /** Counts the body that is being read. Returns false if it exceeds maxHeldBodyBytes. */
    bool holdBody(BeastServerState &state);
    void forgetReadRequest();
    bool isReadingBody() const { return m_lease != nullptr && !m_parser->is_done(); }
    void releaseBody(BeastServerState &state, std::size_t bytes);
    /** Returns how long the current request may have waited before its first byte was read. */
    std::chrono::milliseconds inputDelay();
    void updateEstimate(std::size_t responseBytes);
    void updateAccount();

    std::size_t unparsedBytes() const { return m_input.size() - m_parsedBytes; }
    Wait neededWait(const BeastServerState &state) const;
    void waitForSocket(const BeastServerState &state);
    void resetParser(const BeastServerState &state);

public:
    explicit BeastServerConnection(const std::shared_ptr<BeastServerState> &state);
    ~BeastServerConnection() override;
    BeastServerConnection(const BeastServerConnection &) = delete;
    BeastServerConnection &operator=(const BeastServerConnection &) = delete;

    /** Takes ownership of a connected, non-blocking descriptor. */
    void start(int descriptor);
    /** Responds to a request; ignored if it has a response already. */
    void respond(std::uint64_t number, const HttpResponse &response);
    void setCallerGone(std::uint64_t number, std::function<void()> callback);
    /** Returns whether the connection has exceeded its idle, header or linger time. */
    bool isExpired(SteadyTime now) const;
    /** Closes the connection, after an error response if a head is incomplete. */
    void expire();
    /**
     * Closes the connection at the end of the loop iteration, or refuses the request of which it
     * has only read a part.
     */
    void evict() override;
    /**
     * Returns the bytes of responses that the caller has not acknowledged, or nullopt if it has
     * received all of them or does not wait for them any more.
     */
    std::optional<std::size_t> undeliveredBytes(SteadyTime now) const;
    bool isSilent() const { return !m_hasReceived; }
    /** Returns when the connection became idle, or was accepted. */
    SteadyTime timeoutStart() const { return m_timeoutStart; }
    void close();
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_BEAST_SERVER_CONNECTION_H
