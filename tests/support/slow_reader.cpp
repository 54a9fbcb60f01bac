#include "tests/support/slow_reader.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int ReceiveBufferBytes = 2'048;
/** Of an Ethernet; the segments of the loopback interface would exceed the window. */
constexpr int SegmentBytes = 1'460;

/** Returns a connected socket, or -1. */
int connectWithSmallWindow(const Endpoint &server)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return -1;
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &ReceiveBufferBytes, sizeof ReceiveBufferBytes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &SegmentBytes, sizeof SegmentBytes);
    sockaddr_in remote{};
    remote.sin_family = AF_INET;
    remote.sin_port = htons(server.port);
    inet_pton(AF_INET, server.address.c_str(), &remote.sin_addr);
    // A connection over the loopback interface is accepted or refused at once.
    if (connect(descriptor, reinterpret_cast<const sockaddr *>(&remote), sizeof remote) != 0) {
        close(descriptor);
        return -1;
    }
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    return descriptor;
}

/** Returns the header lines of a head. */
std::vector<HttpHeader> parseHeaders(std::string_view head)
{
    std::vector<HttpHeader> headers;
    for (std::size_t at = head.find("\r\n"); at != std::string_view::npos;) {
        const std::size_t end = head.find("\r\n", at + 2);
        const std::string_view line = head.substr(at + 2, end - at - 2);
        const std::size_t colon = line.find(": ");
        if (colon != std::string_view::npos)
            headers.push_back({.name = std::string(line.substr(0, colon)),
                               .value = std::string(line.substr(colon + 2))});
        at = end;
    }
    return headers;
}

} // namespace

SlowReader::SlowReader(const SlowReaderOptions &options, TimerService &timers)
    : m_options(options), m_timers(timers)
{
    m_socket.adopt(connectWithSmallWindow(options.server));
    m_readTimer = Timer(m_timers, m_timers.startPeriodic(options.period, [this] { read(); }));
}

void SlowReader::send(const std::string &bytes)
{
    std::size_t written = 0;
    if (m_socket.write(bytes.data(), bytes.size(), written) != SocketResult::Progress)
        m_ended = true;
}

void SlowReader::read()
{
    std::string buffer(m_options.readBytes, '\0');
    std::size_t received = 0;
    const SocketResult outcome = m_socket.read(buffer.data(), buffer.size(), received);
    if (outcome == SocketResult::WouldBlock)
        return;
    if (outcome == SocketResult::Progress) {
        m_input.append(buffer, 0, received);
    } else {
        m_ended = true;
        m_readTimer.stop();
    }
    if (m_received != nullptr)
        m_received();
}

std::vector<SlowReader::Response> SlowReader::responses() const
{
    constexpr std::string_view EndOfHead = "\r\n\r\n";
    constexpr std::string_view LengthName = "Content-Length: ";
    constexpr std::size_t StatusAt = 9; // Behind "HTTP/1.1 ".
    std::vector<Response> found;
    std::string_view input = m_input;
    while (true) {
        const std::size_t headEnd = input.find(EndOfHead);
        const std::size_t length = input.find(LengthName);
        if (headEnd == std::string_view::npos || length > headEnd)
            return found;
        const std::size_t lengthAt = length + LengthName.size();
        std::size_t bytes = 0;
        Response response;
        parseNumber(input.substr(StatusAt, 3), response.status);
        parseNumber(input.substr(lengthAt, input.find('\r', lengthAt) - lengthAt), bytes);
        const std::size_t bodyAt = headEnd + EndOfHead.size();
        if (input.size() < bodyAt + bytes)
            return found;
        response.headers = parseHeaders(input.substr(0, headEnd));
        response.body = std::string(input.substr(bodyAt, bytes));
        found.push_back(std::move(response));
        input.remove_prefix(bodyAt + bytes);
    }
}

} // namespace jacinthshift
