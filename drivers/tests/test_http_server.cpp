#include <catch2/catch.hpp>

#include <optional>

#include "drivers/beast/beast_http_client.h"
#include "drivers/beast/beast_http_server.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const Endpoint listenAddress{"127.0.0.1", 18'391};

struct ServerBench
{
    BeastHttpServer server;
    std::vector<HttpRequest> requests;
    std::vector<std::shared_ptr<HttpResponder>> held;
    bool hold = false;
    int gone = 0;

    explicit ServerBench(const HttpServerOptions &options = {}) : server(options)
    {
        const absl::Status status = server.listen(
                listenAddress,
                [this](HttpRequest request, const std::shared_ptr<HttpResponder> &responder) {
                    requests.push_back(std::move(request));
                    responder->onCallerGone([this] { ++gone; });
                    if (hold)
                        held.push_back(responder);
                    else
                        responder->respond(HttpResponse{.body = requests.back().body + "!"});
                });
        REQUIRE(status.ok());
    }
};

template <typename Condition>
void runUntil(Condition condition)
{
    bool late = false;
    EpollLoop &loop = EpollLoop::instance();
    const Timer limit(loop, loop.startOnce(milliseconds(3'000), [&] { late = true; }));
    while (!condition() && !late)
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
}

/** Sends raw bytes and collects what comes back. */
struct RawPeer
{
    TcpSocket socket;
    std::string received;
    bool ended = false;

    explicit RawPeer(const std::string &bytes)
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
        if (socket.read(buffer, sizeof buffer, size) != SocketStep::Progress) {
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

TEST_CASE("a kept connection carries several requests, also sent at once and in chunks")
{
    ServerBench bench;
    RawPeer peer("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi"
                 "POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
                 "3\r\nyou\r\n0\r\n\r\n");
    runUntil([&] { return peer.count("HTTP/1.1 200") == 2; });
    REQUIRE(bench.requests.size() == 2);
    CHECK(bench.requests[1].body == "you");
    CHECK(peer.received.find("hi!") < peer.received.find("you!"));
    CHECK_FALSE(peer.ended);
}

TEST_CASE("what is not HTTP or too large gets a clear status and ends the connection")
{
    ServerBench bench(HttpServerOptions{.maxBodyBytes = 10, .maxHeaderBytes = 200});
    const auto answer = [](const std::string &bytes) {
        RawPeer peer(bytes);
        runUntil([&] { return peer.ended; });
        return peer.received.substr(0, 12);
    };
    CHECK(answer("nonsense\r\n\r\n") == "HTTP/1.1 400");
    CHECK(answer("POST / HTTP/1.1\r\nContent-Length: 11\r\n\r\n") == "HTTP/1.1 413");
    CHECK(answer("GET / HTTP/1.1\r\nX: " + std::string(300, 'x') + "\r\n\r\n") == "HTTP/1.1 431");
    CHECK(bench.requests.empty());
}

TEST_CASE("the handler hears of a caller that leaves before its answer")
{
    ServerBench bench;
    bench.hold = true;
    std::optional<RawPeer> peer;
    peer.emplace("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return bench.held.size() == 1; });
    CHECK(bench.server.openRequests() == 1);
    peer.reset();
    runUntil([&] { return bench.gone == 1; });
    CHECK(bench.server.openRequests() == 0);
    bench.held[0]->respond(HttpResponse{});
}

TEST_CASE("after it stopped listening a server answers what it has and then closes")
{
    ServerBench bench;
    bench.hold = true;
    RawPeer peer("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return bench.held.size() == 1; });
    bench.server.stopListening();
    bench.held[0]->respond(HttpResponse{.body = "whole"});
    runUntil([&] { return peer.ended; });
    CHECK(peer.received.find("Connection: close") != std::string::npos);
    CHECK(peer.received.find("whole") != std::string::npos);
}

TEST_CASE("an idle connection is closed after its time, one with a request under way is not")
{
    ServerBench bench(HttpServerOptions{.idleTimeout = milliseconds(100)});
    RawPeer idle("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return idle.count("200 OK") == 1; });
    bench.hold = true;
    RawPeer busy("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return idle.ended; });
    CHECK_FALSE(busy.ended);
}

TEST_CASE("past the connections to be kept each answer ends its connection")
{
    ServerBench bench(HttpServerOptions{.maxKeptConnections = 1});
    RawPeer peer("GET / HTTP/1.1\r\nHost: h\r\n\r\n");
    runUntil([&] { return peer.ended; });
    CHECK(peer.count("200 OK") == 1);
}

TEST_CASE("an answer to an earlier request is not taken for the one to this request")
{
    ServerBench bench;
    bench.server.stopListening();
    BeastHttpServer crossed({});
    const Endpoint address{"127.0.0.1", 18'392};
    REQUIRE(crossed.listen(address,
                           [](const HttpRequest &request,
                              const std::shared_ptr<HttpResponder> &responder) {
                               const std::string id(findHeader(request.headers, "Id"));
                               responder->respond(HttpResponse{
                                       .headers = {{"Id", id == "2" ? "1" : id}}, .body = id});
                           })
                    .ok());
    BeastHttpClient client({});
    const auto send = [&](const std::string &id) {
        std::optional<HttpResult> result;
        client.send({.server = address, .timeout = milliseconds(150), .correlation = {"Id", id}},
                    {.headers = {{"Id", id}}},
                    [&](const HttpResult &outcome) { result = outcome; });
        runUntil([&] { return result.has_value(); });
        return *result;
    };
    CHECK(send("1").response.body == "1");
    const HttpResult wrong = send("2");
    CHECK(wrong.verdict == Verdict::MayHaveRun);
    CHECK(wrong.failure == HttpFailure::TimedOut);
}

} // namespace jacinthshift
