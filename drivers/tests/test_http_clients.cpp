#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <glib.h>
#include <malloc.h>

#include "drivers/beast/beast_http_client.h"
#include "drivers/epoll/epoll_loop.h"
#include "drivers/soup/soup_http_client.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

namespace {

/** Accepts connections and sends the n-th scripted response to the n-th request. */
class ScriptedServer
{
    struct Peer
    {
        TcpSocket socket;
        std::string input;
        std::size_t pieceOffset = 0; ///< Bytes of the endless piece that were written.
        std::size_t number = 0;      ///< Counts the connections, from 1.
    };

    std::vector<std::string> m_responses; ///< An empty one closes the connection instead.
    std::vector<std::shared_ptr<Peer>> m_peers;
    GObjectPointer<GSocket> m_listener;
    GlibSource m_source;
    std::uint16_t m_port = 0;

    static gboolean acceptConnection(GSocket *listener, GIOCondition, gpointer data)
    {
        ScriptedServer *self = static_cast<ScriptedServer *>(data);
        const std::shared_ptr<Peer> peer = std::make_shared<Peer>();
        peer->socket.adopt(GObjectPointer<GSocket>(g_socket_accept(listener, nullptr, nullptr)));
        peer->number = ++self->connections;
        self->m_peers.push_back(peer);
        peer->socket.waitReadable([self, raw = peer.get()] { self->read(raw); });
        return G_SOURCE_CONTINUE;
    }

    void read(Peer *peer)
    {
        char buffer[4096];
        std::size_t received = 0;
        if (peer->socket.read(buffer, sizeof buffer, received) != SocketResult::Progress) {
            peer->socket.stopWaiting();
            return;
        }
        peer->input.append(buffer, received);
        if (peer->input.find("\r\n\r\n") == std::string::npos)
            return;
        peer->input.clear();
        const std::string response = requests < m_responses.size() ? m_responses[requests] : "";
        ++requests;
        if (silentPeers > 0 && peer->number <= silentPeers)
            return;
        std::size_t written = 0;
        if (!response.empty())
            peer->socket.write(response.data(), response.size(), written);
        if (response.empty() || closeAfterResponse)
            std::erase_if(m_peers, [peer](const auto &known) { return known.get() == peer; });
        else if (!endlessPiece.empty())
            peer->socket.waitWritable([this, peer] { writeEndlessly(peer); });
    }

    void writeEndlessly(Peer *peer)
    {
        // The client runs in the same loop, so it gets its turn after some pieces.
        for (int piece = 0; piece < 64; ++piece) {
            std::size_t written = 0;
            const SocketResult outcome =
                    peer->socket.write(endlessPiece.data() + peer->pieceOffset,
                                       endlessPiece.size() - peer->pieceOffset, written);
            if (outcome == SocketResult::WouldBlock)
                return;
            if (outcome != SocketResult::Progress) {
                peer->socket.stopWaiting();
                return;
            }
            peer->pieceOffset = (peer->pieceOffset + written) % endlessPiece.size();
        }
    }

public:
    std::size_t requests = 0;
    std::string endlessPiece; ///< Sent after each response until the client closes.
    bool closeAfterResponse = false;
    std::size_t connections = 0; ///< Accepted so far.
    std::size_t silentPeers = 0; ///< The first connections, on which nothing is answered any more.

    explicit ScriptedServer(std::vector<std::string> responses) : m_responses(std::move(responses))
    {
        m_listener.reset(g_socket_new(G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM,
                                      G_SOCKET_PROTOCOL_TCP, nullptr));
        const GObjectPointer<GSocketAddress> address(
                g_inet_socket_address_new_from_string("127.0.0.1", 0));
        g_socket_bind(m_listener.get(), address.get(), TRUE, nullptr);
        g_socket_listen(m_listener.get(), nullptr);
        const GObjectPointer<GSocketAddress> bound(
                g_socket_get_local_address(m_listener.get(), nullptr));
        m_port = g_inet_socket_address_get_port(G_INET_SOCKET_ADDRESS(bound.get()));
        GSource *source = g_socket_create_source(m_listener.get(), G_IO_IN, nullptr);
        g_source_set_callback(source, G_SOURCE_FUNC(acceptConnection), this, nullptr);
        m_source = GlibSource(source);
    }

    Endpoint endpoint() const { return {"127.0.0.1", m_port}; }
};

HttpResult exchange(HttpClient &client, const Endpoint &server, const std::string &method)
{
    std::optional<HttpResult> result;
    client.send(HttpSendOptions{.server = server, .timeout = std::chrono::milliseconds(300)},
                HttpRequest{.method = method, .target = "/x"},
                [&result](HttpResult response) { result = std::move(response); });
    while (!result.has_value())
        g_main_context_iteration(nullptr, TRUE);
    return *std::move(result);
}

const std::string okResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

} // namespace

TEMPLATE_TEST_CASE("a client never resends a request", "", BeastHttpClient, SoupHttpClient)
{
    ScriptedServer server({okResponse, "", okResponse});
    TestType client({});
    REQUIRE(exchange(client, server.endpoint(), "GET").verdict == Verdict::Done);
    // The server closes the reused connection, if there is one, after it has read the request.
    const HttpResult lost = exchange(client, server.endpoint(), "GET");
    CHECK(lost.verdict == Verdict::MayHaveRun);
    CHECK(server.requests == 2);
}

TEST_CASE(
        "a truncated, malformed or oversized response gives MayHaveRun, a failed connection NotRun")
{
    BeastHttpClient client({.maxBodyBytes = 1000});
    for (const std::string &response :
         {std::string("HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nshort"),
          std::string("not http at all\r\n\r\n"),
          std::string("HTTP/1.1 200 OK\r\nContent-Length: 5000\r\n\r\n")}) {
        ScriptedServer server({response});
        CHECK(exchange(client, server.endpoint(), "POST").verdict == Verdict::MayHaveRun);
    }
    CHECK(exchange(client, Endpoint{"127.0.0.1", 1}, "POST").verdict == Verdict::NotRun);
}

// Guards against a backend server that stops in the middle of its response's head and closes:
// callers would get a complete 200 with an empty body.
TEST_CASE("a response whose head is cut off at any byte is not a response")
{
    const std::string body = GENERATE(std::string("Content-Length: 2\r\n\r\nok"),
                                      std::string("Transfer-Encoding: chunked\r\n\r\n2\r\nok"),
                                      std::string("Connection: close\r\n\r\n"));
    const std::string response = "HTTP/1.1 200 OK\r\nId: 1\r\nSeal: x\r\n" + body;
    const std::size_t headSize = response.find("\r\n\r\n") + 4;
    // Without a length, the end of the connection is the end of the body.
    const bool endsWithConnection = body.starts_with("Connection");
    const std::size_t lastCut = endsWithConnection ? headSize - 1 : response.size() - 1;
    for (std::size_t cut = 1; cut <= lastCut; ++cut) {
        ScriptedServer server({response.substr(0, cut)});
        server.closeAfterResponse = true;
        BeastHttpClient client({});
        const HttpResult result = exchange(client, server.endpoint(), "GET");
        CAPTURE(response.substr(0, cut));
        CHECK(result.verdict == Verdict::MayHaveRun);
        CHECK(result.failure != HttpFailure::None);
    }
}

TEST_CASE("bytes beyond the end of a response are not used as the next response")
{
    BeastHttpClient client({});
    ScriptedServer server({okResponse + okResponse, okResponse});
    CHECK(exchange(client, server.endpoint(), "GET").response.body == "ok");
    CHECK(exchange(client, server.endpoint(), "GET").verdict == Verdict::Done);
    CHECK(server.requests == 2);
}

// Guards against a backend server that sends bytes without end and so uses up the node's memory and
// processor time until the request's deadline.
TEST_CASE("a response without end is malformed after a bounded number of bytes")
{
    const std::string head = "HTTP/1.1 200 OK\r\nId: 1\r\n";
    const std::string chunkedHead = head + "Transfer-Encoding: chunked\r\n\r\n";
    const auto [begin, piece] = GENERATE_COPY(table<std::string, std::string>(
            {{head + "X: ", std::string(4'000, 'a')},
             {head, "X: a\r\n"},
             {head + "\r\n", std::string(4'000, 'b')},
             {chunkedHead + "1;", std::string(4'000, 'e')},
             {chunkedHead, "1;" + std::string(4'000, 'e') + "\r\nx\r\n"},
             {chunkedHead + "0\r\n", "T: a\r\n"},
             {"HTTP/1.1 102 Processing\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"},
             {"HTTP/1.1 ", "2"},
             {"HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n",
              "HTTP/1.1 200 OK\r\nId: 0\r\nContent-Length: 0\r\n\r\n"}}));
    ScriptedServer server({begin});
    server.endlessPiece = piece;
    BeastHttpClient client({.maxBodyBytes = 100'000});
    std::optional<HttpResult> result;
    client.send(HttpSendOptions{.server = server.endpoint(),
                                .timeout = std::chrono::milliseconds(3'000),
                                .correlationHeader = {.name = "Id", .value = "1"}},
                HttpRequest{.method = "GET", .target = "/x", .headers = {{"Id", "1"}}},
                [&result](HttpResult response) { result = std::move(response); });
    while (!result.has_value())
        g_main_context_iteration(nullptr, TRUE);
    CAPTURE(begin, piece.size());
    CHECK(result->verdict == Verdict::MayHaveRun);
    CHECK(result->failure == HttpFailure::Malformed);
}

// Guards against a node that runs out of memory, with the requests of all its callers, because some
// backend servers send bytes without end.
TEST_CASE("responses without end use bounded memory and do not fail the exchanges beside them")
{
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const auto [begin, piece] = GENERATE_COPY(table<std::string, std::string>(
            {{head + "\r\n", std::string(4'000, 'b')},
             {head + "Transfer-Encoding: chunked\r\n\r\n", "a\r\n0123456789\r\n"},
             {head + "Content-Length: 8000000\r\n\r\n", std::string(4'000, 'b')},
             {head + "X: ", std::string(4'000, 'a')}}));
    constexpr std::size_t NodeMemory = 256 * 1024 * 1024;
    const auto usedBytes = [] {
        const struct mallinfo2 info = mallinfo2();
        return info.uordblks + info.hblkhd;
    };
    ScriptedServer endless(std::vector<std::string>(40, begin));
    endless.endlessPiece = piece;
    constexpr std::size_t SoundExchanges = 1'000;
    ScriptedServer sound(std::vector<std::string>(SoundExchanges, okResponse));
    BeastHttpClient client({});
    const std::size_t before = usedBytes();
    std::size_t most = before;
    std::size_t ended = 0;
    for (int i = 0; i < 40; ++i) {
        client.send(HttpSendOptions{.server = endless.endpoint(),
                                    .timeout = std::chrono::milliseconds(20'000)},
                    HttpRequest{.method = "GET", .target = "/x"},
                    [&ended](const HttpResult &) { ++ended; });
    }
    std::size_t served = 0;
    std::size_t failed = 0;
    bool waiting = false;
    const SteadyTime start = EpollLoop::instance().now();
    while (ended < 40 && EpollLoop::instance().now() - start < std::chrono::seconds(20)) {
        if (!waiting && served + failed < SoundExchanges) {
            waiting = true;
            client.send(HttpSendOptions{.server = sound.endpoint(),
                                        .timeout = std::chrono::milliseconds(5'000)},
                        HttpRequest{.method = "GET", .target = "/x"},
                        [&](const HttpResult &result) {
                            waiting = false;
                            ++(result.verdict == Verdict::Done ? served : failed);
                        });
        }
        g_main_context_iteration(nullptr, TRUE);
        most = std::max(most, usedBytes());
    }
    CHECK(ended == 40);
    CHECK(served > 0);
    CHECK(failed == 0);
    // The rest of the node's memory is for all else that it does.
    CHECK(most - before <= NodeMemory / 2);
}

// Guards against changes that are read late because one connection to the store after the other has
// to time out when all have gone silent.
TEST_CASE("after a timeout the other idle connections to a server are not used")
{
    ScriptedServer server(std::vector<std::string>(8, okResponse));
    BeastHttpClient client({.dropIdleAfterTimeout = true});
    int answered = 0;
    for (int i = 0; i < 3; ++i) {
        client.send(HttpSendOptions{.server = server.endpoint()},
                    HttpRequest{.method = "GET", .target = "/x"},
                    [&answered](const HttpResult &) { ++answered; });
    }
    while (answered < 3)
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE(server.connections == 3);
    server.silentPeers = 3;
    CHECK(exchange(client, server.endpoint(), "GET").failure == HttpFailure::TimedOut);
    CHECK(exchange(client, server.endpoint(), "GET").verdict == Verdict::Done);
    CHECK(server.connections == 4);
}

// Guards against a sound response that fails because others have used up the room for received
// bytes.
TEST_CASE("above the limit of received bytes the longest response ends, not the newest")
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: ";
    ScriptedServer stalled(
            std::vector<std::string>(3, head + "50000\r\n\r\n" + std::string(30'000, 'b')));
    ScriptedServer sound({head + "20000\r\n\r\n" + std::string(20'000, 'c')});
    BeastHttpClient client({.maxReceivedBytes = 100'000});
    int ended = 0;
    for (int i = 0; i < 3; ++i) {
        client.send(HttpSendOptions{.server = stalled.endpoint(),
                                    .timeout = std::chrono::milliseconds(5'000)},
                    HttpRequest{.method = "GET", .target = "/x"},
                    [&ended](const HttpResult &) { ++ended; });
    }
    const SteadyTime start = EpollLoop::instance().now();
    while (EpollLoop::instance().now() - start < std::chrono::milliseconds(100))
        g_main_context_iteration(nullptr, FALSE);
    REQUIRE(ended == 0);
    CHECK(exchange(client, sound.endpoint(), "GET").response.body.size() == 20'000);
    CHECK(ended == 1);
}

// Guards against callers that are told that a request did not run, because a backend server wrote
// an earlier refusal once more: the request has run, or runs at a second backend server too.
TEST_CASE("a refusal that is repeated on a kept connection does not answer the next request")
{
    const std::string refusal = "HTTP/1.1 503 Busy\r\nNot-Run: 1\r\nContent-Length: 0\r\n";
    const std::string withId = refusal + "Id: 1\r\n\r\n";
    const std::string answer = "HTTP/1.1 200 OK\r\nId: 2\r\nContent-Length: 2\r\n\r\nok";
    const auto send = [](BeastHttpClient &client, const ScriptedServer &server,
                         const std::string &id) {
        std::optional<HttpResult> result;
        client.send(HttpSendOptions{.server = server.endpoint(),
                                    .timeout = std::chrono::milliseconds(1'000),
                                    .correlationHeader = {.name = "Id", .value = id}},
                    HttpRequest{.method = "GET", .target = "/x", .headers = {{"Id", id}}},
                    [&result](HttpResult response) { result = std::move(response); });
        while (!result.has_value())
            g_main_context_iteration(nullptr, TRUE);
        return *std::move(result);
    };
    BeastHttpClient client({});
    SECTION("with the id of the earlier request")
    {
        ScriptedServer server({withId, withId + answer});
        CHECK(send(client, server, "1").response.status == 503);
        CHECK(send(client, server, "2").response.body == "ok");
    }
    SECTION("without an id")
    {
        ScriptedServer server({withId, refusal + "\r\n" + answer});
        CHECK(send(client, server, "1").response.status == 503);
        CHECK(send(client, server, "2").verdict == Verdict::MayHaveRun);
    }
    SECTION("a first request is answered without an id")
    {
        ScriptedServer server({refusal + "\r\n"});
        CHECK(send(client, server, "1").response.status == 503);
    }
}

} // namespace jacinthshift
