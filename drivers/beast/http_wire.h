#ifndef DRIVERS_BEAST_HTTP_WIRE_H
#define DRIVERS_BEAST_HTTP_WIRE_H

#include <string>

#include "core/endpoint.h"
#include "servers/http_message.h"

namespace jacinthshift {

/** Returns the bytes of a request. A Host header of the request goes before the server's address.
 */
std::string requestBytes(const Endpoint &server, const HttpRequest &request);

/** Returns the bytes of an answer; keepAlive tells whether the connection stays open behind it. */
std::string responseBytes(const HttpResponse &response, bool keepAlive);

} // namespace jacinthshift

#endif // DRIVERS_BEAST_HTTP_WIRE_H
