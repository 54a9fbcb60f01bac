#include "servers/http_message.h"

#include <algorithm>
#include <array>

#include "core/text.h"

namespace jacinthshift {

std::string_view findHeader(const std::vector<HttpHeader> &headers, std::string_view name)
{
    for (const HttpHeader &header : headers) {
        if (equalsIgnoreCase(header.name, name))
            return header.value;
    }
    return {};
}

std::size_t requestCost(std::size_t headBytes, std::size_t headerLines)
{
    constexpr std::size_t BytesPerRequest = 4 * 1024;
    constexpr std::size_t CopiesOfHead = 4;
    constexpr std::size_t BytesPerLine = CopiesOfHead * sizeof(HttpHeader);
    return BytesPerRequest + CopiesOfHead * headBytes + BytesPerLine * headerLines;
}

std::size_t requestCost(const HttpRequest &request)
{
    std::size_t headBytes = request.target.size();
    for (const HttpHeader &header : request.headers)
        headBytes += header.name.size() + header.value.size();
    return requestCost(headBytes, request.headers.size());
}

bool isHopByHopHeader(std::string_view name)
{
    static constexpr std::array<std::string_view, 9> Names = {
            "connection",          "keep-alive", "proxy-authenticate",
            "proxy-authorization", "te",         "trailer",
            "transfer-encoding",   "upgrade",    "content-length",
    };
    return std::any_of(Names.begin(), Names.end(), [name](std::string_view hopByHop) {
        return equalsIgnoreCase(name, hopByHop);
    });
}

bool isIdempotentMethod(std::string_view method)
{
    static constexpr std::array<std::string_view, 6> Names = {"GET",    "HEAD",    "PUT",
                                                              "DELETE", "OPTIONS", "TRACE"};
    return std::find(Names.begin(), Names.end(), method) != Names.end();
}

} // namespace jacinthshift
