#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <string>

#include <glib.h>

#include "drivers/beast/beast_http_server.h"
#include "drivers/tcp/tcp_socket.h"
#include "drivers/websocket/websocket_link_transport.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;

const Endpoint serverEndpoint{"127.0.0.1", 18'396};
const Endpoint linkEndpoint{"127.0.0.1", 18'397};
const std::string getRequest = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
const std::string handshake =
        "GET / HTTP/1.1\r\nHost: h\r\nUpgrade: websocket\r\nConnection: Upgrade\r\n"
        "Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
        "Sec-WebSocket-Protocol: jacinthshift.v1\r\n\r\n";

template <typename Condition>
bool runUntil(Condition condition)
{
    bool timedOut = false;
    EpollLoop &loop = EpollLoop::instance();
    const Timer limit(loop, loop.startOnce(milliseconds(4'000), [&] { timedOut = true; }));
    while (!condition() && !timedOut)
        g_main_context_iteration(nullptr, TRUE);
    return condition();
}

/** Sends bytes, and reads only if asked to. */
struct Peer
{
    TcpSocket socket;
    std::string bytes;
    std::size_t written = 0;
    std::string received;
    bool ended = false;

    Peer(const Endpoint &server, std::string sentBytes, bool reads) : bytes(std::move(sentBytes))
    {
        REQUIRE(socket.connect(server, ""));
        socket.waitWritable([this, reads] { write(reads); });
    }

    void write(bool reads)
    {
        while (written < bytes.size()) {
            const SocketResult outcome =
                    socket.write(bytes.data() + written, bytes.size() - written, written);
            if (outcome == SocketResult::WouldBlock)
                return;
            if (outcome != SocketResult::Progress)
                break;
        }
        socket.stopWaiting();
        if (reads)
            socket.waitReadable([this] { read(); });
    }

    void read()
    {
        std::array<char, 4096> buffer;
        std::size_t size = 0;
        ended = socket.read(buffer.data(), buffer.size(), size) != SocketResult::Progress;
        received.append(buffer.data(), size);
        if (ended)
            socket.stopWaiting();
    }
};

struct Server
{
    std::size_t handled = 0;
    std::size_t responseBytes = 2;
    BeastHttpServer server;

    explicit Server(const HttpServerOptions &options) : server(options)
    {
        REQUIRE(server.listen(serverEndpoint, [this](const HttpRequest &, const auto &responder) {
                          ++handled;
                          responder->respond(HttpResponse{.body = std::string(responseBytes, 'r')});
                      }).ok());
    }
};

struct SilentLinkObserver final : LinkObserver
{
    int opened = 0;

    void linkOpened(LinkId, bool) override { ++opened; }
    void frameReceived(LinkId, const std::string &) override {}
    void linkClosed(LinkId) override {}
};

} // namespace

// Guards against memory use without bound: the parser takes a chunk's head and the trailer only as
// a whole, and the server kept what it had not taken.
TEST_CASE("a trailer or a chunk extension above the limit of a head is refused")
{
    const std::string chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::string begin = GENERATE(std::string("1\r\nx\r\n0\r\nName: "), std::string("1;name="),
                                       std::string("0;name="));
    Server server({.maxHeaderBytes = 2'000});
    Peer peer(serverEndpoint, chunked + begin + std::string(20'000, 'a'), true);
    CHECK(runUntil([&peer] { return peer.ended; }));
    CHECK(peer.received.starts_with("HTTP/1.1 431"));
    CHECK(server.handled == 0);
}

TEST_CASE("a trailer within the limit of a head is accepted")
{
    Server server({.maxHeaderBytes = 2'000});
    Peer peer(serverEndpoint,
              "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
              "1\r\nx\r\n0\r\nName: "
                      + std::string(1'000, 'a') + "\r\n\r\n",
              true);
    CHECK(runUntil([&peer] { return peer.received.starts_with("HTTP/1.1 200"); }));
}

// Guards against responses that fill the memory because their callers do not read them.
TEST_CASE("unread responses above the account's limit are evicted, others are not")
{
    const auto account = std::make_shared<ByteAccount>(ByteAccountOptions{.limit = 20'000'000});
    Server server({.account = account});
    server.responseBytes = 16'000'000;
    Peer first(serverEndpoint, getRequest, false);
    REQUIRE(runUntil([&] { return account->bytes() > 0; }));
    Peer second(serverEndpoint, getRequest, false);
    REQUIRE(runUntil([&] { return account->evictions() == 1; }));
    CHECK(runUntil([&] { return server.server.connectionCount() == 1; }));
    server.responseBytes = 2;
    Peer reader(serverEndpoint, getRequest, true);
    CHECK(runUntil([&reader] { return reader.received.starts_with("HTTP/1.1 200"); }));
    CHECK(account->evictions() == 1);
}

// Guards against connections that say nothing and keep others out of a server for few clients.
TEST_CASE("a server may replace connections that have been silent")
{
    Server server({.maxConnections = 2, .replacesSilentConnections = true});
    Peer first(serverEndpoint, "", false);
    Peer second(serverEndpoint, "", false);
    REQUIRE(runUntil([&] { return server.server.connectionCount() == 2; }));
    runUntil([start = EpollLoop::instance().now()] {
        return EpollLoop::instance().now() - start > milliseconds(1'200);
    });
    Peer third(serverEndpoint, getRequest, true);
    CHECK(runUntil([&third] { return third.received.starts_with("HTTP/1.1 200"); }));
    CHECK(server.server.connectionCount() == 2);
}

// Guards against connections that hold a place among the links without becoming one.
TEST_CASE("a link whose handshake takes too long is closed")
{
    WebsocketLinkTransport transport(
            {.listen = linkEndpoint, .handshakeTimeout = milliseconds(200)});
    SilentLinkObserver observer;
    REQUIRE(transport.start(observer).ok());
    Peer unfinished(linkEndpoint, "GET / HTTP/1.1\r\n", true);
    Peer finished(linkEndpoint, handshake, true);
    CHECK(runUntil([&unfinished] { return unfinished.ended; }));
    CHECK(observer.opened == 1);
    CHECK_FALSE(finished.ended);
}

// Guards against frames that are announced or begun on many links and never finished.
TEST_CASE("links with unfinished frames above the account's limit are evicted")
{
    const auto account = std::make_shared<ByteAccount>(ByteAccountOptions{.limit = 250'000});
    WebsocketLinkTransport transport({.listen = linkEndpoint, .account = account});
    SilentLinkObserver observer;
    REQUIRE(transport.start(observer).ok());
    const std::string frameHead("\x82\xff\x00\x00\x00\x00\x00\x10\x00\x00\x00\x00\x00\x00", 14);
    // What arrives in one read with the handshake, up to 64 KB, is not counted.
    const std::string unfinished = handshake + frameHead + std::string(200'000, 'f');
    Peer first(linkEndpoint, unfinished, true);
    REQUIRE(runUntil([&] { return account->bytes() >= 130'000; }));
    Peer second(linkEndpoint, unfinished, true);
    CHECK(runUntil([&first] { return first.ended; }));
    CHECK_FALSE(second.ended);
    CHECK(account->evictions() == 1);
}

} // namespace jacinthshift
