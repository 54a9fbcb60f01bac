#include "tests/hostile/lone_request.h"

#include <array>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::size_t LargestBody = 64 * 1024 * 1024; ///< maxBodyBytes of the configuration.
constexpr std::size_t MostLines = 3'900;              ///< About maxHeaderBytes.
constexpr std::string_view EndOfHead = "\r\n\r\n";

} // namespace

std::vector<LoneRequestCase> loneRequestCases()
{
    std::vector<LoneRequestCase> cases;
    for (const std::size_t node : {0UL, 1UL}) {
        const std::string prefix = node == 0 ? "lone_" : "lone_remote_";
        cases.push_back({.name = prefix + "body", .backendNode = node, .bodyBytes = LargestBody});
        cases.push_back({.name = prefix + "chunked_body",
                         .backendNode = node,
                         .bodyBytes = LargestBody,
                         .isChunked = true});
        cases.push_back(
                {.name = prefix + "response", .backendNode = node, .responseBytes = LargestBody});
        cases.push_back({.name = prefix + "head", .backendNode = node, .headLines = MostLines});
    }
    return cases;
}

LoneRequest::LoneRequest(const Endpoint &server, std::string bytes) : m_output(std::move(bytes))
{
    m_ended = !m_socket.connect(server, "");
    m_socket.waitWritable([this] {
        m_ended = !m_socket.finishConnect();
        m_socket.waitFor(true, [this] { socketReady(); });
    });
}

void LoneRequest::socketReady()
{
    if (m_written < m_output.size())
        write();
    read();
    if (isDone())
        m_socket.stopWaiting();
}

void LoneRequest::write()
{
    while (m_written < m_output.size()) {
        if (m_socket.write(m_output.data() + m_written, m_output.size() - m_written, m_written)
            != SocketResult::Progress)
            return;
    }
    m_socket.waitFor(false, [this] { socketReady(); });
}

void LoneRequest::read()
{
    std::array<char, 64 * 1024> buffer;
    std::size_t received = 0;
    const SocketResult outcome = m_socket.read(buffer.data(), buffer.size(), received);
    if (outcome == SocketResult::Progress)
        m_input.append(buffer.data(), received);
    else if (outcome != SocketResult::WouldBlock)
        m_ended = true;
}

bool LoneRequest::isComplete() const
{
    constexpr std::string_view LengthName = "Content-Length: ";
    const std::size_t headEnd = m_input.find(EndOfHead);
    const std::size_t length = m_input.find(LengthName);
    if (headEnd == std::string::npos || length == std::string::npos || length > headEnd)
        return false;
    const std::size_t begin = length + LengthName.size();
    std::size_t bytes = 0;
    return parseNumber(m_input.substr(begin, m_input.find('\r', begin) - begin), bytes)
           && m_input.size() == headEnd + EndOfHead.size() + bytes;
}

std::string LoneRequest::statusLine() const
{
    return m_input.empty() ? "no response" : m_input.substr(0, m_input.find('\r'));
}

std::string LoneRequest::body() const
{
    const std::size_t headEnd = m_input.find(EndOfHead);
    return headEnd == std::string::npos ? "" : m_input.substr(headEnd + EndOfHead.size());
}

} // namespace jacinthshift
