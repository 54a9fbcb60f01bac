#ifndef DRIVERS_BEAST_BEAST_HTTP_CLIENT_H
#define DRIVERS_BEAST_BEAST_HTTP_CLIENT_H

#include <chrono>
#include <memory>
#include <string>

#include "core/byte_account.h"
#include "servers/http_client.h"

namespace jacinthshift {

/** The limits of a client and its source address. */
struct BeastHttpClientOptions
{
    std::string localAddress;                   ///< Source IP address; empty for any.
    std::size_t maxBodyBytes = 8 * 1024 * 1024; ///< A longer response body is malformed.
    /**
     * Bytes that all exchanges in progress may have received, so that many long responses at once
     * do not use up the memory. Above it, the longest response is malformed: it may be one without
     * end, and the others must not fail because of it.
     */
    std::size_t maxReceivedBytes = 32 * 1024 * 1024;
    /**
     * Counts responses from when their head is complete. One without room is not read on until
     * there is some: those that need least go first. Null for no account.
     */
    std::shared_ptr<ByteAccount> account;
    /** Above this number, the connection that has been idle the longest is closed. */
    std::size_t maxIdleConnectionsPerServer = 32;
    /** A connection that was idle for longer is not reused. */
    std::chrono::milliseconds maxIdleTime{15'000};
    /**
     * Whether a reused connection on which nothing is received until the timeout ends the idle
     * connections to its server too: they may have gone silent with it, and each would cost another
     * timeout.
     */
    bool dropIdleAfterTimeout = false;
    /** A connection that was idle for longer is not reused for a non-idempotent request. */
    std::chrono::milliseconds maxIdleTimeNonIdempotent{1'000};
};

/**
 * An HTTP client that uses the response parser of Boost.Beast over TCP sockets of the epoll loop.
 *
 * It records whether any byte of a request was written, so Verdict::NotRun is reliable. It never
 * sends a request twice.
 */
class BeastHttpClient final : public HttpClient
{
public:
    class Connection;

private:
    struct State;
    std::shared_ptr<State> m_state;

public:
    explicit BeastHttpClient(const BeastHttpClientOptions &options);
    ~BeastHttpClient() override;

    HttpCallId send(const HttpSendOptions &options, const HttpRequest &request,
                    Callback callback) override;
    void cancel(HttpCallId id) override;
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_BEAST_HTTP_CLIENT_H
