#ifndef DRIVERS_BEAST_HTTP_WIRE_H
#define DRIVERS_BEAST_HTTP_WIRE_H

#include <string>

#include <boost/beast/http/fields.hpp>

#include "core/endpoint.h"
#include "servers/http_message.h"

namespace jacinthshift {

/**
 * Returns the bytes of a request. The Host header is that of the request or else the server's
 * address. Expect and hop-by-hop headers are left out.
 */
std::string serializeRequest(const Endpoint &server, const HttpRequest &request);

/**
 * Returns the bytes of a response without its hop-by-hop headers. Adds "Connection: close" unless
 * the connection is kept alive.
 */
std::string serializeResponse(const HttpResponse &response, bool keepAlive);

/**
 * Returns whether a head gives its Content-Length more than once, also with equal values. The next
 * receiver may choose another one of them, and would find the message's end elsewhere.
 */
bool hasRepeatedLength(const boost::beast::http::fields &head);

/** Adds "Connection: close" to the bytes of a response that was serialized without it. */
void addConnectionClose(std::string &response);

} // namespace jacinthshift

#endif // DRIVERS_BEAST_HTTP_WIRE_H
