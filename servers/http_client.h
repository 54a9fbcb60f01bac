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

/** Why an exchange did not yield a complete response. */
enum class HttpFailure {
    None,
    ConnectFailed,  ///< No connection could be opened.
    ConnectionLost, ///< The connection was closed before the complete response was read.
    TimedOut,       ///< The timeout passed.
    Malformed,      ///< The response is not valid HTTP or is too large.
    Cancelled,      ///< cancel() was called.
};

/** The result of an exchange. The response is valid only if the verdict is Done. */
struct HttpResult
{
    Verdict verdict = Verdict::NotRun;
    HttpFailure failure = HttpFailure::None;
    HttpResponse response;
};

/** The server, time limits and connection requirements of a request. */
struct HttpSendOptions
{
    Endpoint server;
    std::chrono::milliseconds timeout{1000};        ///< From send() to the complete response.
    std::chrono::milliseconds connectTimeout{1000}; ///< From send() to the open connection.
    /**
     * Connections idle for longer are not reused; with a negative value none is. If unset, the
     * limit depends on the method.
     */
    std::optional<std::chrono::milliseconds> maxIdleTime;
    /**
     * A header that the server echoes, with its value in the request. A response with another value
     * belongs to an earlier request and is dropped. A response without the header is Malformed if
     * it is a success, or if the connection has carried an earlier request.
     */
    HttpHeader correlationHeader;
};

/**
 * Sends HTTP requests. A request is written to a connection at most once: the client never retries
 * by itself.
 */
class HttpClient
{
public:
    using Callback = std::function<void(HttpResult)>;

    virtual ~HttpClient() = default;

    /** Sends a request; the callback runs exactly once, after this function has returned. */
    virtual HttpCallId send(const HttpSendOptions &options, const HttpRequest &request,
                            Callback callback) = 0;
    /** Cancels a request. Its callback runs with Cancelled. */
    virtual void cancel(HttpCallId id) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_HTTP_CLIENT_H
