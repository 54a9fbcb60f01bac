#include "drivers/beast/http_wire.h"

#include <iterator>
#include <string_view>

#include <boost/beast/http/status.hpp>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::size_t TypicalHeaderBytes = 512;

void appendHeader(std::string &bytes, std::string_view name, std::string_view value)
{
    bytes.append(name).append(": ").append(value).append("\r\n");
}

void appendBody(std::string &bytes, const std::string &body)
{
    appendHeader(bytes, "Content-Length", std::to_string(body.size()));
    bytes.append("\r\n").append(body);
}

bool needsContentLength(const HttpRequest &request)
{
    return !request.body.empty() || request.method == "POST" || request.method == "PUT"
           || request.method == "PATCH";
}

} // namespace

std::string serializeRequest(const Endpoint &server, const HttpRequest &request)
{
    std::string bytes;
    bytes.reserve(TypicalHeaderBytes + request.body.size());
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
        appendBody(bytes, request.body);
    else
        bytes.append("\r\n");
    return bytes;
}

std::string serializeResponse(const HttpResponse &response, bool keepAlive)
{
    std::string bytes;
    bytes.reserve(TypicalHeaderBytes + response.body.size());
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
    appendBody(bytes, response.body);
    return bytes;
}

bool hasRepeatedLength(const boost::beast::http::fields &head)
{
    const auto [first, last] = head.equal_range(boost::beast::http::field::content_length);
    if (first == last)
        return false;
    return std::next(first) != last || first->value().find(',') != std::string_view::npos;
}

void addConnectionClose(std::string &response)
{
    const std::string_view endOfLine = "\r\n";
    response.insert(response.find(endOfLine) + endOfLine.size(), "Connection: close\r\n");
}

} // namespace jacinthshift
