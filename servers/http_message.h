#ifndef SERVERS_HTTP_MESSAGE_H
#define SERVERS_HTTP_MESSAGE_H

#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/byte_account.h"
#include "core/shared_bytes.h"

namespace jacinthshift {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/** A complete HTTP request. */
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< The path and the query.
    std::vector<HttpHeader> headers;
    SharedBytes body;
    // The rest is not part of the message.
    /** How long it may have waited before a server read it. */
    std::chrono::milliseconds waited{0};
    std::shared_ptr<const ByteLease> lease; ///< The process's room for it; null if not counted.
};

/** A complete HTTP response. */
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    SharedBytes body;
    // The rest is not part of the message.
    std::shared_ptr<const ByteLease> lease; ///< As in HttpRequest.
    /** How long its caller waits for it, from now on; a server's default if unset. */
    std::optional<std::chrono::milliseconds> callerWait;
};

/**
 * Returns the bytes that a request takes in the process besides its body, while it is forwarded:
 * each header line is an object in the parser, and in each place that the request passes.
 */
std::size_t requestCost(std::size_t headBytes, std::size_t headerLines);
std::size_t requestCost(const HttpRequest &request);

/** Returns the value of the first header with a name, ignoring case, or an empty string. */
std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

/**
 * Returns whether a header applies to a single connection only and must not be forwarded. This
 * includes Content-Length, which the sender of a message sets anew.
 */
bool isHopByHopHeader(std::string_view name);

/** Returns whether a method is idempotent according to RFC 9110, section 9.2.2. */
bool isIdempotentMethod(std::string_view method);

} // namespace jacinthshift

#endif // SERVERS_HTTP_MESSAGE_H
