#ifndef SERVERS_HTTP_CLIENT_H
#define SERVERS_HTTP_CLIENT_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>

#include "core/endpoint.h"
#include "core/verdict.h"
#include "servers/http_message.h"

namespace jacinthshift {

enum class HttpCallId : std::uint64_t { None = 0 };

/** Why an exchange brought no whole answer. */
enum class HttpFailure {
    None,
    ConnectFailed,  ///< No connection could be opened.
    ConnectionLost, ///< The connection ended before the whole answer was read.
    TimedOut,       ///< The timeout passed.
    Malformed,      ///< The answer is not HTTP or is too large.
    Cancelled,      ///< cancel() was called.
};

/** The outcome of an exchange. The response holds only if the verdict is Done. */
struct HttpResult
{
    Verdict verdict = Verdict::NotRun;
    HttpFailure failure = HttpFailure::None;
    HttpResponse response;
};

/** Where and how to send a request. */
struct HttpSendOptions
{
    Endpoint server;
    std::chrono::milliseconds timeout{1000};
    std::chrono::milliseconds connectTimeout{1000};
    /** A connection that was idle for longer is not used; unset means by the method. */
    std::optional<std::chrono::milliseconds> maxIdle;
    /**
     * A header that the server repeats and its value in the request. An answer with another value
     * belongs to an earlier request and is dropped; a success without it counts as malformed.
     */
    HttpHeader correlation;
};

/**
 * Sends HTTP requests. A request is written to a connection at most once: the client never sends it
 * again by itself.
 */
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    virtual ~HttpClient() = default;

    /** Sends a request; the callback runs exactly once, after this function has returned. */
    virtual HttpCallId send(const HttpSendOptions &options, const HttpRequest &request,
                            Callback callback) = 0;
    /** Gives a request up. Its callback runs with Cancelled. */
    virtual void cancel(HttpCallId id) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_HTTP_CLIENT_H
