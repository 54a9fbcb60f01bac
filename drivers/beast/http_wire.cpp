#include "drivers/beast/http_wire.h"

#include <algorithm>
#include <iterator>
#include <string_view>

#include <boost/beast/http/status.hpp>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::size_t TypicalHeaderBytes = 512;
/** A body up to this size is copied behind its head, so that both take one write. */
constexpr std::size_t MaxCopiedBodyBytes = 16 * 1024;

void appendHeader(std::string &bytes, std::string_view name, std::string_view value)
{
    bytes.append(name).append(": ").append(value).append("\r\n");
}

/** Ends the head with the length of the body. */
void appendBody(SerializedMessage &message, const SharedBytes &body)
{
    appendHeader(message.head, "Content-Length", std::to_string(body.size()));
    message.head.append("\r\n");
    if (body.size() <= MaxCopiedBodyBytes)
        message.head.append(body.string());
    else
        message.body = body;
}

std::size_t copiedBytes(const SharedBytes &body)
{
    return body.size() <= MaxCopiedBodyBytes ? body.size() : 0;
}

bool needsContentLength(const HttpRequest &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT"
           || request.method == "PATCH";
}

} // namespace

SerializedMessage serializeRequest(const Endpoint &server, const HttpRequest &request)
{
    SerializedMessage message{.lease = request.lease};
    std::string &bytes = message.head;
    bytes.reserve(TypicalHeaderBytes + copiedBytes(request.body));
    bytes.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    const std::string_view host = findHeader(request.headers, "host");
    appendHeader(bytes, "Host", host.empty() ? std::string_view(server.text()) : host);
    for (const HttpHeader &header : request.headers) {
        const bool excluded =
                equalsIgnoreCase(header.name, "host") || equalsIgnoreCase(header.name, "expect");
        if (!excluded && !isHopByHopHeader(header.name))
            appendHeader(bytes, header.name, header.value);
    }
    if (needsContentLength(request))
        appendBody(message, request.body);
    else
        bytes.append("\r\n");
    return message;
}

SerializedMessage serializeResponse(const HttpResponse &response, bool keepAlive)
{
    SerializedMessage message{.lease = response.lease};
    std::string &bytes = message.head;
    bytes.reserve(TypicalHeaderBytes + copiedBytes(response.body));
    const boost::beast::string_view reason = boost::beast::http::obsolete_reason(
            boost::beast::http::int_to_status(static_cast<unsigned>(response.status)));
    bytes.append("HTTP/1.1 ").append(std::to_string(response.status)).append(" ");
    bytes.append(reason.data(), reason.size()).append("\r\n");
    for (const HttpHeader &header : response.headers) {
        if (!isHopByHopHeader(header.name))
            appendHeader(bytes, header.name, header.value);
    }
    if (!keepAlive)
        appendHeader(bytes, "Connection", "close");
    appendBody(message, response.body);
    return message;
}

bool hasRepeatedLength(const boost::beast::http::fields &head)
{
    const auto [first, last] = head.equal_range(boost::beast::http::field::content_length);
    if (first == last)
        return false;
    return std::next(first) != last || first->value().find(',') != std::string_view::npos;
}

std::size_t bodyCapacityFor(std::size_t neededBytes, std::size_t maxBodyBytes)
{
    constexpr std::size_t MinCapacity = 4 * 1024;
    std::size_t capacity = maxBodyBytes;
    while (capacity / 2 >= std::max(neededBytes, MinCapacity))
        capacity /= 2;
    return capacity;
}

void addConnectionClose(SerializedMessage &response)
{
    const std::string_view endOfLine = "\r\n";
    response.head.insert(response.head.find(endOfLine) + endOfLine.size(), "Connection: close\r\n");
}

} // namespace jacinthshift
