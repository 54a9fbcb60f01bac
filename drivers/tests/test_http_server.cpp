#include <catch2/catch.hpp>

#include <optional>

#include "drivers/beast/beast_http_client.h"
#include "drivers/beast/beast_http_server.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const Endpoint listenAddress{"127.0.0.1", 18'391};

struct ServerFixture
{
    BeastHttpServer server;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpResponder>> pendingResponders;
    bool delayResponses = false;
    int callersGone = 0;

    explicit ServerFixture(const HttpServerOptions &options = {}) : server(options)
    {
        const absl::Status status = server.listen(
                listenAddress,
                [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
                    requests.push_back(std::move(request));
                    responder->onCallerGone([this] { ++callersGone; });
                    if (delayResponses)
                        pendingResponders.push_back(responder);
                    else
                        responder->respond(
                                HttpResponse{.body = requests.back().body.string() + "!"});
                });
        REQUIRE(status.ok());
    }
};

template <typename Condition>
void runUntil(Condition condition)
{
    bool timedOut = false;
    EpollLoop &loop = EpollLoop::instance();
    const Timer limit(loop, loop.startOnce(milliseconds(3'000), [&] { timedOut = true; }));
    while (!condition() && !timedOut)
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
}

/** Sends raw bytes and stores the bytes received. */
struct RawClient
{
    TcpSocket socket;
    std::string received;
    bool ended = false;

    explicit RawClient(const std::string &bytes)
    {
        REQUIRE(socket.connect(listenAddress, ""));
        socket.waitWritable([this, bytes] {
            std::size_t written = 0;
            socket.write(bytes.data(), bytes.size(), written);
            socket.waitReadable([this] { read(); });
        });
    }

    void read()
    {
        char buffer[4096];
        std::size_t size = 0;
        if (socket.read(buffer, sizeof buffer, size) != SocketResult::Progress) {
            ended = true;
            socket.close();
            return;
        }
        received.append(buffer, size);
    }

    std::size_t count(const std::string &text) const
    {
        std::size_t found = 0;
        for (std::size_t at = received.find(text); at != std::string::npos;
             at = received.find(text, at + 1))
            ++found;
        return found;
    }
};

} // namespace

TEST_CASE("a keep-alive connection serves pipelined and chunked requests")
{
    ServerFixture fixture;
    RawClient peer("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
                   "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3\r\nyou\r\n0\r\n\r\n");
    runUntil([&] { return peer.count("HTTP/1.1 200") == 2; });
    REQUIRE(fixture.requests.size() == 2);
    CHECK(fixture.requests[1].body == "you");
    CHECK(peer.received.find("hi!") < peer.received.find("you!"));
    CHECK_FALSE(peer.ended);
}

TEST_CASE("a malformed or oversized request gets an error status and closes the connection")
{
    ServerFixture fixture(HttpServerOptions{.maxBodyBytes = 10, .maxHeaderBytes = 200});
    const auto statusLineFor = [](const std::string &bytes) {
        RawClient peer(bytes);
        runUntil([&] { return peer.ended; });
        return peer.received.substr(0, 12);
    };
    CHECK(statusLineFor("nonsense\r\n\r\n") == "HTTP/1.1 400");
    CHECK(statusLineFor("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") == "HTTP/1.1 413");
    CHECK(statusLineFor("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n")
          == "HTTP/1.1 431");
    CHECK(fixture.requests.empty());
}

// Guards against a node that runs out of memory because callers send long bodies.
TEST_CASE("a request whose body the server cannot hold is answered before its body is read")
{
    ServerFixture fixture(HttpServerOptions{.maxBodyBytes = 1'000'000, .maxHeldBodyBytes = 10'000});
    fixture.delayResponses = true;
    const std::string small =
            "POST /s HTTP/1.1\r\nHost: h\r\nContent-Length: 6000\r\n\r\n" + std::string(6'000, 's');
    RawClient held(small);
    runUntil([&] { return fixture.requests.size() == 1; });
    SECTION("announced")
    {
        RawClient refused("POST /l HTTP/1.1\r\nHost: h\r\nContent-Length: 5000\r\n\r\n");
        runUntil([&] { return refused.ended; });
        CHECK(refused.received.starts_with("HTTP/1.1 503"));
        CHECK(refused.received.find("Retry-After") != std::string::npos);
    }
    SECTION("in chunks")
    {
        RawClient refused("POST /l HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                          "1388\r\n"
                          + std::string(5'000, 'l') + "\r\n");
        runUntil([&] { return refused.ended; });
        CHECK(refused.received.starts_with("HTTP/1.1 503"));
    }
    CHECK(fixture.requests.size() == 1);
    CHECK_FALSE(held.ended);
    // Once the first request has been answered there is room again.
    fixture.pendingResponders.at(0)->respond(HttpResponse{.body = "ok"});
    runUntil([&] { return held.count("HTTP/1.1 200") == 1; });
    RawClient next(small);
    runUntil([&] { return fixture.requests.size() == 2; });
}

TEST_CASE("a caller that sends further requests without end is not read before its response")
{
    ServerFixture fixture;
    fixture.delayResponses = true;
    RawClient peer("GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return fixture.requests.size() == 1; });
    const std::string next = "GET /b HTTP/1.1\r\nHost: h\r\n\r\n";
    std::size_t sent = 0;
    std::string flood;
    while (flood.size() < 64 * 1024 * 1024)
        flood += next;
    const auto writeMore = [&] {
        while (sent < flood.size()
               && peer.socket.write(flood.data() + sent, flood.size() - sent, sent)
                          == SocketResult::Progress) {
        }
    };
    EpollLoop &loop = EpollLoop::instance();
    const Timer pump(loop, loop.startPeriodic(milliseconds(1), writeMore));
    bool over = false;
    const Timer end(loop, loop.startOnce(milliseconds(500), [&] { over = true; }));
    runUntil([&] { return over; });
    // What it could send is what the two sockets hold, and a little.
    CHECK(sent < 32 * 1024 * 1024);
    fixture.delayResponses = false;
    fixture.pendingResponders.at(0)->respond(HttpResponse{.body = "ok"});
    runUntil([&] { return fixture.requests.size() > 100; });
}

TEST_CASE("the handler is notified when a caller disconnects before the response")
{
    ServerFixture fixture;
    fixture.delayResponses = true;
    std::optional<RawClient> peer;
    peer.emplace("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return fixture.pendingResponders.size() == 1; });
    CHECK(fixture.server.openRequests() == 1);
    peer.reset();
    runUntil([&] { return fixture.callersGone == 1; });
    CHECK(fixture.server.openRequests() == 0);
    fixture.pendingResponders[0]->respond(HttpResponse{});
}

TEST_CASE("a server that stopped listening answers a request in flight and closes its connection")
{
    ServerFixture fixture;
    fixture.delayResponses = true;
    RawClient peer("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return fixture.pendingResponders.size() == 1; });
    fixture.server.stopListening();
    fixture.pendingResponders[0]->respond(HttpResponse{.body = "whole"});
    runUntil([&] { return peer.ended; });
    CHECK(peer.received.find("Connection: close") != std::string::npos);
    CHECK(peer.received.find("whole") != std::string::npos);
}

TEST_CASE("an idle connection is closed after its timeout, one with a request in flight is not")
{
    ServerFixture fixture(HttpServerOptions{.idleTimeout = milliseconds(100)});
    RawClient idle("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return idle.count("200 OK") == 1; });
    fixture.delayResponses = true;
    RawClient busy("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return idle.ended; });
    CHECK_FALSE(busy.ended);
}

TEST_CASE("with maxKeepAliveConnections open, each response closes its connection")
{
    ServerFixture fixture(HttpServerOptions{.maxKeepAliveConnections = 1});
    RawClient peer("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return peer.ended; });
    CHECK(peer.count("200 OK") == 1);
}

TEST_CASE("a response with another request's correlation header is dropped")
{
    ServerFixture fixture;
    fixture.server.stopListening();
    BeastHttpServer server({});
    const Endpoint address{"127.0.0.1", 18'392};
    REQUIRE(server.listen(address, [](const HttpRequest &request,
                                      const std::shared_ptr<HttpResponder> &responder) {
                      const std::string id(findHeader(request.headers, "Id"));
                      responder->respond(
                              HttpResponse{.headers = {{"Id", id == "2" ? "1" : id}}, .body = id});
                  }).ok());
    BeastHttpClient client({});
    const auto send = [&](const std::string &id) {
        std::optional<HttpResult> result;
        client.send(
                {.server = address, .timeout = milliseconds(150), .correlationHeader = {"Id", id}},
                {.headers = {{"Id", id}}}, [&](const HttpResult &outcome) { result = outcome; });
        runUntil([&] { return result.has_value(); });
        return *result;
    };
    CHECK(send("1").response.body == "1");
    const HttpResult mismatched = send("2");
    CHECK(mismatched.verdict == Verdict::MayHaveRun);
    CHECK(mismatched.failure == HttpFailure::TimedOut);
}

} // namespace jacinthshift
