#ifndef SERVERS_HTTP_MESSAGE_H
#define SERVERS_HTTP_MESSAGE_H

#include <string>
#include <string_view>
#include <vector>

namespace jacinthshift {

struct HttpHeader
{
    std::string name;
    std::string value;
};

/** A whole HTTP request. */
struct HttpRequest
{
    std::string method = "GET";
    std::string target = "/"; ///< The path with its query.
    std::vector<HttpHeader> headers;
    std::string body;
};

/** A whole HTTP answer. */
struct HttpResponse
{
    int status = 200;
    std::vector<HttpHeader> headers;
    std::string body;
};

/** Returns the first header of that name, compared without case, or an empty text. */
std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name);

/** Returns whether a header belongs to one connection and must not be passed on. */
bool isHopByHopHeader(std::string_view name);

/** Returns whether the method is idempotent by the HTTP standard (RFC 9110, section 9.2.2). */
bool isIdempotentMethod(std::string_view method);

} // namespace jacinthshift

#endif // SERVERS_HTTP_MESSAGE_H
