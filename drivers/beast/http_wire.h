#ifndef DRIVERS_BEAST_HTTP_WIRE_H
#define DRIVERS_BEAST_HTTP_WIRE_H

#include <string>

#include <boost/beast/http/fields.hpp>

#include "core/endpoint.h"
#include "servers/http_message.h"

namespace jacinthshift {

/** The bytes of a message. */
struct SerializedMessage
{
    std::string head; ///< With the body, if that is short.
    SharedBytes body; ///< Follows the head.
    std::shared_ptr<const ByteLease> lease;

    std::size_t size() const { return head.size() + body.size(); }
};

/**
 * Returns the bytes of a request. The Host header is that of the request or else the server's
 * address. Expect and hop-by-hop headers are left out.
 */
SerializedMessage serializeRequest(const Endpoint &server, const HttpRequest &request);

/**
 * Returns the bytes of a response without its hop-by-hop headers. Adds "Connection: close" unless
 * the connection is kept alive.
 */
SerializedMessage serializeResponse(const HttpResponse &response, bool keepAlive);

/**
 * Returns whether a head gives its Content-Length more than once, also with equal values. The next
 * receiver may choose another one of them, and would find the message's end elsewhere.
 */
bool hasRepeatedLength(const boost::beast::http::fields &head);

/**
 * Returns the capacity for a body of unknown length of which this many bytes are needed: the limit
 * or its half, quarter, ..., so that old and new buffer together never take more than 1.5 times the
 * limit.
 */
std::size_t bodyCapacityFor(std::size_t neededBytes, std::size_t maxBodyBytes);

/** Adds "Connection: close" to a response that was serialized without it. */
void addConnectionClose(SerializedMessage &response);

} // namespace jacinthshift

#endif // DRIVERS_BEAST_HTTP_WIRE_H
