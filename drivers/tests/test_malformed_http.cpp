#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <glib.h>

#include "drivers/beast/beast_http_client.h"
#include "drivers/beast/beast_http_server.h"
#include "drivers/tcp/tcp_listener.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;

const Endpoint scriptEndpoint{"127.0.0.1", 18'394};
const Endpoint serverEndpoint{"127.0.0.1", 18'395};
const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

struct Row
{
    std::string name;
    std::string bytes;
};

std::string repeat(const std::string &text, std::size_t times)
{
    std::string result;
    for (std::size_t i = 0; i < times; ++i)
        result += text;
    return result;
}

std::string withStatusLine(const std::string &statusLine)
{
    return statusLine + "\r\nContent-Length: 2\r\n\r\nok";
}

template <typename Condition>
bool runUntil(Condition condition)
{
    bool timedOut = false;
    EpollLoop &loop = EpollLoop::instance();
    const Timer limit(loop, loop.startOnce(milliseconds(2'000), [&] { timedOut = true; }));
    while (!condition() && !timedOut)
        g_main_context_iteration(nullptr, TRUE);
    return condition();
}

/** Sends the n-th response on the first request of the n-th connection. */
class ScriptedBackend
{
    std::vector<std::string> m_responses;
    std::vector<std::unique_ptr<TcpSocket>> m_sockets;
    TcpListener m_listener;

public:
    explicit ScriptedBackend(std::vector<std::string> responses) : m_responses(std::move(responses))
    {
        const absl::Status status = m_listener.listen(scriptEndpoint, [this](int descriptor) {
            m_sockets.push_back(std::make_unique<TcpSocket>());
            TcpSocket *socket = m_sockets.back().get();
            socket->adopt(descriptor);
            socket->waitReadable([this, socket, index = m_sockets.size() - 1] {
                socket->stopWaiting();
                std::size_t written = 0;
                socket->write(m_responses[index].data(), m_responses[index].size(), written);
                // Without a length, the end of the connection is the end of the body.
                if (m_responses[index].find("\r\n\r\nend") != std::string::npos)
                    socket->endWriting();
            });
        });
        REQUIRE(status.ok());
    }
    std::size_t connections() const { return m_sockets.size(); }
};

HttpResult exchange(HttpClient &client)
{
    std::optional<HttpResult> result;
    client.send(HttpSendOptions{.server = scriptEndpoint, .timeout = milliseconds(300)},
                HttpRequest{.method = "POST"},
                [&result](HttpResult answer) { result = std::move(answer); });
    runUntil([&result] { return result.has_value(); });
    return *std::move(result);
}

} // namespace

// Guards against a response that is not HTTP and reaches a caller, is taken for an informational
// one and waited out until the deadline, or leaves its connection in use.
TEST_CASE("a malformed response may have run and ends its connection")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n";
    const std::vector<Row> rows = {
            {"status 000", withStatusLine("HTTP/1.1 000 No")},
            {"status 000 before a response", withStatusLine("HTTP/1.1 000 No") + okResponse},
            {"status 000 ended by the connection", "HTTP/1.1 000 No\r\n\r\nend"},
            {"status 099", withStatusLine("HTTP/1.1 099 No")},
            {"status 600", withStatusLine("HTTP/1.1 600 No")},
            {"status 999", withStatusLine("HTTP/1.1 999 No")},
            {"status 1000", withStatusLine("HTTP/1.1 1000 No")},
            {"status of two digits", withStatusLine("HTTP/1.1 20 No")},
            {"status in letters", withStatusLine("HTTP/1.1 abc No")},
            {"status with a plus sign", withStatusLine("HTTP/1.1 +20 No")},
            {"status with a minus sign", withStatusLine("HTTP/1.1 -20 No")},
            {"no status", withStatusLine("HTTP/1.1")},
            {"17 informational responses",
             repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 17) + okResponse},
            {"unsolicited 101", "HTTP/1.1 101 Switching Protocols\r\n\r\n" + okResponse},
            {"version 0.9", withStatusLine("HTTP/0.9 200 OK")},
            {"version 1.2", withStatusLine("HTTP/1.2 200 OK")},
            {"version 2.0", withStatusLine("HTTP/2.0 200 OK")},
            {"other protocol", withStatusLine("RTSP/1.1 200 OK")},
            {"control character in the reason", withStatusLine("HTTP/1.1 200 O\x01K")},
            {"delete character in the reason", withStatusLine("HTTP/1.1 200 O\x7fK")},
            {"line feed in the reason", withStatusLine("HTTP/1.1 200 O\nK")},
            {"duplicate length",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
            {"unequal lengths",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
            {"list of lengths", "HTTP/1.1 200 OK\r\nContent-Length: 2, 2\r\n\r\nok"},
            {"negative length", "HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\nok"},
            {"length before chunks",
             "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nok\r\n0\r\n\r\n"},
            {"length after chunks", chunked + "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
            {"negative chunk size", chunked + "\r\n-2\r\nok\r\n0\r\n\r\n"},
            {"huge chunk size", chunked + "\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n"},
            {"chunk size beyond 64 bits", chunked + "\r\n10000000000000002\r\nok\r\n0\r\n\r\n"},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ScriptedBackend backend({row.bytes, okResponse});
        BeastHttpClient client({});
        const HttpResult result = exchange(client);
        CHECK(result.verdict == Verdict::MayHaveRun);
        CHECK(result.failure == HttpFailure::Malformed);
        CHECK(exchange(client).verdict == Verdict::Done);
        CHECK(backend.connections() == 2);
    }
}

// Guards against refusing what RFC 9112 allows.
TEST_CASE("unusual but valid responses are accepted")
{
    const std::vector<Row> rows = {
            {"16 informational responses",
             repeat("HTTP/1.1 103 Early Hints\r\n\r\n", 16) + okResponse},
            {"100", "HTTP/1.1 100 Continue\r\n\r\n" + okResponse},
            {"version 1.0", withStatusLine("HTTP/1.0 200 OK")},
            {"empty reason", withStatusLine("HTTP/1.1 200 ")},
            {"tab and high bytes in the reason", withStatusLine("HTTP/1.1 200 O\t\xe9")},
            {"status 599", withStatusLine("HTTP/1.1 599 Own")},
    };
    for (const Row &row : rows) {
        CAPTURE(row.name);
        ScriptedBackend backend({row.bytes});
        BeastHttpClient client({});
        const HttpResult result = exchange(client);
        CHECK(result.verdict == Verdict::Done);
        CHECK(result.response.body == "ok");
    }
}

// Guards against requests whose end two servers see at different places, so that the body of one
// is read as another request.
TEST_CASE("a malformed request is refused and ends its connection")
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n";
    const std::string post = "POST / HTTP/1.1\r\nHost: h\r\n";
    const std::vector<Row> rows = {
            {"version 0.9", "GET / HTTP/0.9\r\n\r\n"},
            {"version 1.2", "GET / HTTP/1.2\r\nHost: h\r\n\r\n"},
            {"version 2.0", "GET / HTTP/2.0\r\nHost: h\r\n\r\n"},
            {"no version", "GET /\r\nHost: h\r\n\r\n"},
            {"control character in the target", "GET /\x01 HTTP/1.1\r\nHost: h\r\n\r\n"},
            {"control character in a header", "GET / HTTP/1.1\r\nHost: h\r\nA: b\x01\r\n\r\n"},
            {"duplicate length", post + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok"},
            {"unequal lengths", post + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok"},
            {"list of lengths", post + "Content-Length: 2, 2\r\n\r\nok"},
            {"duplicate length of zero", post + "Content-Length: 0\r\nContent-Length: 0\r\n\r\n"},
            {"negative length", post + "Content-Length: -2\r\n\r\nok"},
            {"signed length", post + "Content-Length: +2\r\n\r\nok"},
            {"length before chunks",
             post + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
            {"length after chunks", chunked + "Content-Length: 2\r\n\r\n2\r\nok\r\n0\r\n\r\n"},
            {"negative chunk size", chunked + "\r\n-2\r\nok\r\n0\r\n\r\n"},
            {"huge chunk size", chunked + "\r\nffffffffffffffff\r\nok\r\n0\r\n\r\n"},
            {"chunk size beyond 64 bits", chunked + "\r\n10000000000000002\r\nok\r\n0\r\n\r\n"},
    };
    std::size_t handled = 0;
    BeastHttpServer server(HttpServerOptions{});
    REQUIRE(server.listen(serverEndpoint, [&handled](const HttpRequest &, const auto &responder) {
                      ++handled;
                      responder->respond(HttpResponse{});
                  }).ok());
    for (const Row &row : rows) {
        CAPTURE(row.name);
        TcpSocket socket;
        std::string received;
        bool ended = false;
        REQUIRE(socket.connect(serverEndpoint, ""));
        socket.waitWritable([&] {
            std::size_t written = 0;
            socket.write(row.bytes.data(), row.bytes.size(), written);
            socket.waitReadable([&] {
                std::array<char, 4096> buffer;
                std::size_t size = 0;
                ended = socket.read(buffer.data(), buffer.size(), size) != SocketResult::Progress;
                received.append(buffer.data(), size);
                if (ended)
                    socket.stopWaiting();
            });
        });
        CHECK(runUntil([&ended] { return ended; }));
        const std::string status = received.substr(0, 12);
        CHECK((status == "HTTP/1.1 400" || status == "HTTP/1.1 413"));
        CHECK(std::exchange(handled, 0) == 0);
    }
}

} // namespace jacinthshift
