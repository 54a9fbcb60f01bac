#ifndef SERVERS_HTTP_MESSAGE_H
#define SERVERS_HTTP_MESSAGE_H

#include <chrono>
#include <string>
#include <string_view>
#include <vector>

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
    std::string body;
    /** How long it may have waited before a server read it. Not a part of the message. */
    std::chrono::milliseconds waited{0};
};

/** A complete HTTP response. */
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

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
