#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <random>

#include "drivers/beast/beast_http_server.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const Endpoint listenAddress{"127.0.0.1", 18'393};

/** Requests below /r/ may run ahead of others. */
HttpServerOptions pipeliningOptions(HttpServerOptions options = {})
{
    options.mayRunAhead = [](const HttpRequest &request) {
        return request.target.starts_with("/r/");
    };
    return options;
}

std::string get(const std::string &target, const std::string &headers = "")
{
    return "GET " + target + " HTTP/1.1\r\nHost: h\r\n" + headers + "\r\n";
}

std::string post(const std::string &target, std::size_t size)
{
    return "POST " + target + " HTTP/1.1\r\nHost: h\r\nContent-Length: " + std::to_string(size)
           + "\r\n\r\n" + std::string(size, 'b');
}

/** A server whose requests are answered by the test. */
struct PipeliningFixture
{
    BeastHttpServer server;
    std::vector<std::string> targets;
    std::vector<std::shared_ptr<HttpResponder>> responders;
    std::vector<std::string> cancelled;
    std::size_t openBeforePayment = 0; ///< Requests open when one below /pay was passed on.
    bool answerAtOnce = false;

    explicit PipeliningFixture(const HttpServerOptions &options = pipeliningOptions())
        : server(options)
    {
        const absl::Status status = server.listen(
                listenAddress, [this](const HttpRequest &request,
                                      const std::shared_ptr<HttpResponder> &responder) {
                    targets.push_back(request.target);
                    if (request.target.starts_with("/pay"))
                        openBeforePayment += server.openRequests() - 1;
                    responders.push_back(responder);
                    responder->onCallerGone(
                            [this, target = request.target] { cancelled.push_back(target); });
                    if (answerAtOnce)
                        answer(targets.size() - 1);
                });
        REQUIRE(status.ok());
    }

    /** Answers the request that was forwarded at this position. */
    void answer(std::size_t position, std::size_t padding = 0)
    {
        responders.at(position)->respond(
                HttpResponse{.body = targets.at(position) + std::string(padding, '.')});
    }
};

template <typename Condition>
void runUntil(Condition condition)
{
    bool timedOut = false;
    EpollLoop &loop = EpollLoop::instance();
    const Timer limit(loop, loop.startOnce(milliseconds(5'000), [&] { timedOut = true; }));
    while (!condition() && !timedOut)
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE(condition());
}

/** Lets everything happen that is ready to happen. */
void settle(milliseconds time = milliseconds(30))
{
    bool over = false;
    EpollLoop &loop = EpollLoop::instance();
    const Timer end(loop, loop.startOnce(time, [&] { over = true; }));
    runUntil([&] { return over; });
}

/** Sends raw bytes and splits the bytes received into responses. */
struct PipeliningClient
{
    struct Response
    {
        int status = 0;
        bool closes = false;
        std::string body;
    };

    TcpSocket socket;
    std::string unsent;
    std::string received;
    bool reads = true;
    bool ended = false;

    explicit PipeliningClient(const std::string &bytes, bool readsResponses = true)
        : reads(readsResponses)
    {
        REQUIRE(socket.connect(listenAddress, ""));
        send(bytes);
    }

    void send(const std::string &bytes)
    {
        unsent += bytes;
        socket.waitWritable([this] { write(); });
    }

    void write()
    {
        std::size_t written = 0;
        if (!unsent.empty())
            socket.write(unsent.data(), unsent.size(), written);
        unsent.erase(0, written);
        if (!unsent.empty())
            return;
        if (reads)
            socket.waitReadable([this] { read(); });
        else
            socket.stopWaiting();
    }

    void startReading()
    {
        reads = true;
        socket.waitReadable([this] { read(); });
    }

    void read()
    {
        std::array<char, 65'536> buffer;
        std::size_t size = 0;
        const SocketResult outcome = socket.read(buffer.data(), buffer.size(), size);
        if (outcome == SocketResult::WouldBlock)
            return;
        if (outcome != SocketResult::Progress) {
            ended = true;
            socket.close();
            return;
        }
        received.append(buffer.data(), size);
    }

    std::vector<Response> responses() const
    {
        std::vector<Response> result;
        std::size_t start = 0;
        for (;;) {
            const std::size_t end = received.find("\r\n\r\n", start);
            if (end == std::string::npos)
                return result;
            const std::string head = received.substr(start, end + 2 - start);
            const std::string lengthName = "Content-Length: ";
            const std::size_t length =
                    std::stoul(head.substr(head.find(lengthName) + lengthName.size()));
            if (received.size() < end + 4 + length)
                return result;
            result.push_back({.status = std::stoi(head.substr(9, 3)),
                              .closes = head.find("Connection: close") != std::string::npos,
                              .body = received.substr(end + 4, length)});
            start = end + 4 + length;
        }
    }

    std::vector<std::string> bodies() const
    {
        std::vector<std::string> result;
        for (const Response &response : responses())
            result.push_back(response.body.substr(0, response.body.find('.')));
        return result;
    }
};

using Texts = std::vector<std::string>;

} // namespace

// Guards against a slow class of requests: each used to wait for the response to the one before it.
TEST_CASE("pipelined requests that may run ahead are forwarded at once and answered in order")
{
    PipeliningFixture fixture;
    PipeliningClient client(get("/r/0") + get("/r/1") + get("/r/2") + get("/r/3"));
    runUntil([&] { return fixture.targets.size() == 4; });
    CHECK(fixture.server.openRequests() == 4);
    CHECK(fixture.server.requestsRunAhead() == 3);
    for (const std::size_t position : {2, 1, 3})
        fixture.answer(position);
    settle();
    CHECK(client.received.empty());
    CHECK(fixture.server.bufferedResponseBytes() > 0);
    CHECK(fixture.server.openRequests() == 1);
    fixture.answer(0);
    runUntil([&] { return client.responses().size() == 4; });
    CHECK(client.bodies() == Texts{"/r/0", "/r/1", "/r/2", "/r/3"});
    CHECK(fixture.server.bufferedResponseBytes() == 0);
    CHECK_FALSE(client.ended);
}

// Guards against requests that run ahead on a server that has not allowed it.
TEST_CASE("without a predicate the requests of a connection are processed in series")
{
    PipeliningFixture fixture{HttpServerOptions{}};
    PipeliningClient client(get("/r/0") + get("/r/1") + get("/r/2"));
    for (std::size_t position = 0; position < 3; ++position) {
        runUntil([&] { return fixture.targets.size() == position + 1; });
        settle();
        CHECK(fixture.targets.size() == position + 1);
        fixture.answer(position);
    }
    runUntil([&] { return client.responses().size() == 3; });
    CHECK(fixture.server.requestsRunAhead() == 0);
}

// Guards against a payment that runs twice: its caller repeats it when the connection closes first.
TEST_CASE("a request that must not be repeated waits until all responses before it are written")
{
    PipeliningFixture fixture;
    SECTION("until they have arrived")
    {
        PipeliningClient client(get("/r/0") + get("/r/1") + post("/pay", 3) + get("/r/3"));
        runUntil([&] { return fixture.targets.size() == 2; });
        fixture.answer(1);
        settle();
        CHECK(fixture.targets.size() == 2);
        fixture.answer(0);
        runUntil([&] { return fixture.targets.size() == 4; });
        // What follows it may run beside it, as its response is written later.
        CHECK(fixture.targets[2] == "/pay");
        fixture.answer(3);
        fixture.answer(2);
        runUntil([&] { return client.responses().size() == 4; });
        CHECK(client.bodies() == Texts{"/r/0", "/r/1", "/pay", "/r/3"});
    }
    SECTION("until the caller has read them")
    {
        constexpr std::size_t LargeBytes = 32 * 1024 * 1024;
        PipeliningClient client(get("/r/0") + post("/pay", 3), false);
        runUntil([&] { return fixture.targets.size() == 1; });
        fixture.answer(0, LargeBytes);
        settle();
        CHECK(fixture.targets.size() == 1);
        client.startReading();
        runUntil([&] { return fixture.targets.size() == 2; });
        fixture.answer(1);
        runUntil([&] {
            return client.received.size() > LargeBytes && client.received.ends_with("/pay");
        });
    }
}

// Guards against a request that must not be repeated and whose response its caller never gets.
TEST_CASE("nothing closes a connection before the response to a request that must not be repeated")
{
    PipeliningFixture fixture(pipeliningOptions(
            {.headerTimeout = milliseconds(100), .idleTimeout = milliseconds(100)}));
    PipeliningClient client(post("/pay", 3));
    runUntil([&] { return fixture.targets.size() == 1; });
    SECTION("malformed input behind it")
    {
        client.send("nonsense\r\n\r\n");
        settle();
    }
    SECTION("a head that is cut off behind it, and time limits")
    {
        client.send("GET /r/1 HT");
        settle(milliseconds(2'200));
    }
    SECTION("a request that closes the connection behind it")
    {
        client.send(get("/r/1", "Connection: close\r\n"));
        runUntil([&] { return fixture.targets.size() == 2; });
        fixture.answer(1);
        settle();
    }
    SECTION("a stop of the node")
    {
        fixture.server.stopListening();
        settle();
    }
    CHECK(client.received.empty());
    CHECK_FALSE(client.ended);
    CHECK(fixture.cancelled.empty());
    fixture.answer(0);
    runUntil([&] { return !client.responses().empty(); });
    CHECK(client.bodies()[0] == "/pay");
}

// Guards against a forwarded request that its caller repeats, as its response is never sent.
TEST_CASE("no forwarded request is behind a response that closes the connection")
{
    PipeliningFixture fixture;
    SECTION("the caller asked to close")
    {
        PipeliningClient client(get("/r/0") + get("/r/1", "Connection: close\r\n") + get("/r/2")
                                + post("/pay", 2));
        runUntil([&] { return fixture.targets.size() == 2; });
        fixture.answer(1);
        settle();
        CHECK(fixture.targets.size() == 2);
        fixture.answer(0);
        runUntil([&] { return client.ended; });
        CHECK(client.bodies() == Texts{"/r/0", "/r/1"});
        CHECK_FALSE(client.responses()[0].closes);
        CHECK(client.responses()[1].closes);
        CHECK(fixture.targets.size() == 2);
    }
    SECTION("the node stops")
    {
        PipeliningClient client(get("/r/0") + get("/r/1") + post("/pay", 2));
        runUntil([&] { return fixture.targets.size() == 2; });
        fixture.server.disableKeepAlive();
        client.send(get("/r/3"));
        settle();
        CHECK(fixture.targets.size() == 2);
        fixture.answer(0);
        settle();
        REQUIRE(client.responses().size() == 1);
        CHECK_FALSE(client.responses()[0].closes);
        fixture.answer(1);
        runUntil([&] { return client.ended; });
        CHECK(client.bodies() == Texts{"/r/0", "/r/1"});
        CHECK(client.responses()[1].closes);
        CHECK(fixture.targets.size() == 2);
    }
    SECTION("the node stops and a request arrives behind one that may run ahead")
    {
        PipeliningClient client(get("/r/0"));
        runUntil([&] { return fixture.targets.size() == 1; });
        fixture.server.disableKeepAlive();
        client.send(get("/r/1"));
        settle();
        fixture.answer(0);
        runUntil([&] { return client.ended; });
        CHECK(client.bodies() == Texts{"/r/0"});
        CHECK(client.responses()[0].closes);
        CHECK(fixture.targets.size() == 1);
    }
    SECTION("there are too many connections")
    {
        fixture.server.setOptions(pipeliningOptions({.maxKeepAliveConnections = 1}));
        PipeliningClient client(get("/r/0") + get("/r/1"));
        runUntil([&] { return fixture.targets.size() == 1; });
        settle();
        fixture.answer(0);
        runUntil([&] { return client.ended; });
        CHECK(client.bodies() == Texts{"/r/0"});
        CHECK(fixture.targets.size() == 1);
    }
}

// Guards against responses that a reset destroys, as further requests of the caller were not read.
TEST_CASE("a caller that has sent more gets the closing response whole")
{
    PipeliningFixture fixture;
    std::string more;
    while (more.size() < 200'000)
        more += get("/r/next");
    PipeliningClient client(get("/r/0", "Connection: close\r\n") + more);
    runUntil([&] { return fixture.targets.size() == 1; });
    settle();
    fixture.answer(0, 300'000);
    runUntil([&] { return client.ended; });
    REQUIRE(client.responses().size() == 1);
    CHECK(client.responses()[0].body.size() == 300'004);
    CHECK(fixture.targets.size() == 1);
}

// Guards against malformed input that destroys or overtakes the responses to requests before it.
TEST_CASE("malformed input is answered in its turn and closes the connection")
{
    PipeliningFixture fixture(pipeliningOptions(
            {.maxBodyBytes = 100, .maxHeldBodyBytes = 50, .maxHeaderBytes = 500}));
    const auto statusFor = [&](const std::string &bytes) {
        fixture.targets.clear();
        fixture.responders.clear();
        PipeliningClient client(get("/r/0") + get("/r/1") + bytes + get("/r/3"));
        runUntil([&] { return fixture.targets.size() == 2; });
        fixture.answer(1);
        settle();
        CHECK(client.received.empty());
        fixture.answer(0);
        runUntil([&] { return client.ended; });
        CHECK(fixture.targets.size() == 2);
        const std::vector<PipeliningClient::Response> responses = client.responses();
        REQUIRE(responses.size() == 3);
        CHECK_FALSE(responses[1].closes);
        CHECK(responses[2].closes);
        return responses[2].status;
    };
    CHECK(statusFor("nonsense\r\n\r\n") == 400);
    CHECK(statusFor("POST /r/2 HTTP/1.1\r\nContent-Length: 101\r\n\r\n") == 413);
    CHECK(statusFor(get("/r/2", "X: " + std::string(600, 'x') + "\r\n")) == 431);
    CHECK(statusFor("POST /r/2 HTTP/1.1\r\nContent-Length: 60\r\n\r\n") == 503);
    CHECK(fixture.cancelled.empty());
    CHECK(fixture.server.openRequests() == 0);
}

// Guards against a connection that is stuck or closed early, as a head came in two parts.
TEST_CASE("a head that is cut in the middle does not hold up the requests before it")
{
    PipeliningFixture fixture(pipeliningOptions({.headerTimeout = milliseconds(100)}));
    PipeliningClient client(get("/r/0") + get("/r/1") + "GET /r/2 HTTP/1.1\r\nHo");
    runUntil([&] { return fixture.targets.size() == 2; });
    SECTION("its rest comes while they are open")
    {
        settle();
        client.send("st: h\r\n\r\n");
        runUntil([&] { return fixture.targets.size() == 3; });
        fixture.answer(2);
        fixture.answer(1);
        fixture.answer(0);
        runUntil([&] { return client.responses().size() == 3; });
        CHECK(client.bodies() == Texts{"/r/0", "/r/1", "/r/2"});
    }
    SECTION("its rest never comes")
    {
        fixture.answer(1);
        fixture.answer(0);
        runUntil([&] { return client.ended; });
        REQUIRE(client.responses().size() == 3);
        CHECK(client.responses()[2].status == 408);
    }
}

// Guards against a request without a response that stops more than the order of the responses.
TEST_CASE("a hanging request at any position holds up only the responses behind it")
{
    constexpr std::size_t Count = 4;
    for (std::size_t hanging = 0; hanging < Count; ++hanging) {
        PipeliningFixture fixture;
        std::string bytes;
        for (std::size_t position = 0; position < Count; ++position)
            bytes += get("/r/" + std::to_string(position));
        PipeliningClient client(bytes);
        runUntil([&] { return fixture.targets.size() == Count; });
        for (std::size_t position = Count; position-- > 0;) {
            if (position != hanging)
                fixture.answer(position);
        }
        settle();
        CHECK(client.responses().size() == hanging);
        client.send(get("/r/4"));
        runUntil([&] { return fixture.targets.size() == Count + 1; });
        fixture.answer(hanging);
        fixture.answer(Count);
        runUntil([&] { return client.responses().size() == Count + 1; });
        CHECK(client.bodies() == Texts{"/r/0", "/r/1", "/r/2", "/r/3", "/r/4"});
    }
}

// Guards against backend servers that work for callers that have gone.
TEST_CASE("a caller that disconnects cancels all of its requests without a response")
{
    PipeliningFixture fixture(pipeliningOptions({.maxRequestsInFlight = 3}));
    std::optional<PipeliningClient> client;
    client.emplace(get("/r/0") + get("/r/1") + post("/r/2", 5));
    runUntil([&] { return fixture.targets.size() == 3; });
    Texts expected{"/r/0", "/r/1", "/r/2"};
    SECTION("all are open") {}
    SECTION("one has its response")
    {
        fixture.answer(1);
        expected = {"/r/0", "/r/2"};
    }
    SECTION("a bound is reached and more input is waiting")
    {
        std::string more;
        while (more.size() < 100'000)
            more += get("/r/next");
        client->send(more);
        settle();
    }
    SECTION("malformed input is waiting for its turn")
    {
        client->send("nonsense\r\n\r\n");
        settle();
    }
    client.reset();
    runUntil([&] { return !fixture.cancelled.empty(); });
    CHECK(fixture.cancelled == expected);
    CHECK(fixture.server.openRequests() == 0);
    CHECK(fixture.server.bufferedResponseBytes() == 0);
    CHECK(fixture.server.connectionCount() == 0);
    for (std::size_t position = 0; position < 3; ++position)
        fixture.answer(position);
    settle();
}

// Guards against a caller that takes the node's memory by sending more than it reads or awaits.
TEST_CASE("at a bound a connection is not read, and is read again when there is room")
{
    std::string bytes;
    for (int number = 0; number < 8; ++number)
        bytes += get("/r/" + std::to_string(number));
    SECTION("requests in flight")
    {
        PipeliningFixture fixture(pipeliningOptions({.maxRequestsInFlight = 3}));
        PipeliningClient client(bytes);
        runUntil([&] { return fixture.targets.size() == 3; });
        fixture.answer(1);
        settle();
        CHECK(fixture.targets.size() == 3);
        fixture.answer(0);
        runUntil([&] { return fixture.targets.size() == 5; });
        settle();
        CHECK(fixture.targets.size() == 5);
        fixture.answerAtOnce = true;
        for (std::size_t position = 2; position < 5; ++position)
            fixture.answer(position);
        runUntil([&] { return client.responses().size() == 8; });
    }
    SECTION("bytes of one connection")
    {
        PipeliningFixture fixture(pipeliningOptions({.maxBufferedResponseBytes = 10'000}));
        PipeliningClient client(get("/r/0") + get("/r/1") + get("/r/2") + get("/r/3"));
        runUntil([&] { return fixture.targets.size() == 4; });
        fixture.answer(1, 9'900);
        CHECK(fixture.server.bufferedResponseBytes() > 9'900);
        client.send(bytes);
        settle();
        CHECK(fixture.targets.size() == 4);
        fixture.answer(0);
        // The estimate is now about 5,000 bytes, so there is room for one request.
        runUntil([&] { return fixture.targets.size() == 5; });
        settle();
        CHECK(fixture.targets.size() == 5);
        for (std::size_t position = 2; position < 12; ++position) {
            runUntil([&] { return fixture.targets.size() > position; });
            fixture.answer(position);
        }
        runUntil([&] { return client.responses().size() == 12; });
        CHECK(fixture.server.bufferedResponseBytes() == 0);
    }
    SECTION("bytes of all connections")
    {
        PipeliningFixture fixture(pipeliningOptions({.maxTotalBufferedResponseBytes = 20'000}));
        PipeliningClient first(bytes);
        runUntil([&] { return fixture.targets.size() == 3; });
        PipeliningClient second(bytes);
        // A connection without open requests is always read.
        runUntil([&] { return fixture.targets.size() == 4; });
        settle();
        CHECK(fixture.targets.size() == 4);
        fixture.answerAtOnce = true;
        for (std::size_t position = 0; position < 4; ++position)
            fixture.answer(position);
        runUntil([&] { return first.responses().size() == 8 && second.responses().size() == 8; });
        CHECK(fixture.server.bufferedResponseBytes() == 0);
    }
}

// Guards against reserved bytes that are never released: then nothing would run ahead any more.
TEST_CASE("the bytes of a closed connection are available to others")
{
    PipeliningFixture fixture(pipeliningOptions({.maxTotalBufferedResponseBytes = 20'000}));
    for (int round = 0; round < 3; ++round) {
        fixture.targets.clear();
        fixture.responders.clear();
        PipeliningClient client(get("/r/0") + get("/r/1") + get("/r/2"));
        runUntil([&] { return fixture.targets.size() == 3; });
        fixture.answer(2);
        client.socket.close();
        runUntil([&] { return fixture.server.connectionCount() == 0; });
    }
}

// Guards against bodies of pipelined requests that are not counted, or are counted for ever.
TEST_CASE("the bodies of all requests in flight count until their responses")
{
    PipeliningFixture fixture(pipeliningOptions({.maxHeldBodyBytes = 100}));
    PipeliningClient client(post("/r/0", 40) + post("/r/1", 40));
    runUntil([&] { return fixture.targets.size() == 2; });
    {
        PipeliningClient refused(post("/r/2", 40));
        runUntil([&] { return refused.ended; });
        CHECK(refused.responses().at(0).status == 503);
    }
    fixture.answer(1);
    client.send(post("/r/2", 40));
    runUntil([&] { return fixture.targets.size() == 3; });
    fixture.answer(0);
    fixture.answer(2);
    runUntil([&] { return client.responses().size() == 3; });
    client.send(post("/r/3", 100));
    runUntil([&] { return fixture.targets.size() == 4; });
}

// Guards against a stack that grows with each request of one read, and against quadratic copies.
TEST_CASE("many tiny requests in one read are answered in order")
{
    constexpr int Count = 5'000;
    PipeliningFixture fixture;
    std::string bytes;
    Texts expected;
    for (int number = 0; number < Count; ++number) {
        expected.push_back("/r/" + std::to_string(number));
        bytes += "GET " + expected.back() + " HTTP/1.1\r\n\r\n";
    }
    SECTION("answered at once")
    {
        fixture.answerAtOnce = true;
        PipeliningClient client(bytes);
        runUntil([&] { return client.responses().size() == Count; });
        CHECK(client.bodies() == expected);
    }
    SECTION("answered later, the newest first")
    {
        PipeliningClient client(bytes);
        std::size_t answered = 0;
        while (answered < Count) {
            const std::size_t size = std::min<std::size_t>(answered + 32, Count);
            runUntil([&] { return fixture.targets.size() == size; });
            for (std::size_t position = size; position-- > answered;)
                fixture.answer(position);
            answered = size;
        }
        runUntil([&] { return client.responses().size() == Count; });
        CHECK(client.bodies() == expected);
    }
}

// Guards against orders of events that no other test has: each forwarded request gets its response.
TEST_CASE("in random orders of events, each forwarded request gets its response in order")
{
    for (unsigned seed = 1; seed <= 300; ++seed) {
        CAPTURE(seed);
        std::mt19937 random(seed);
        const auto oneIn = [&](unsigned count) {
            return random() % count == 0;
        };
        PipeliningFixture fixture(
                pipeliningOptions({.maxRequestsInFlight = 1 + random() % 6,
                                   .maxBufferedResponseBytes = 1'000 + random() % 4'000}));
        std::string bytes;
        for (int number = 0; number < 12; ++number) {
            const std::string name = std::to_string(number);
            if (oneIn(4))
                bytes += post("/pay/" + name, random() % 50);
            else
                bytes += get("/r/" + name, oneIn(20) ? "Connection: close\r\n" : "");
            if (oneIn(40))
                bytes += "nonsense\r\n\r\n";
        }
        PipeliningClient client("");
        std::vector<std::size_t> open;
        std::size_t sent = 0;
        std::size_t seen = 0;
        int quietSteps = 0;
        while (quietSteps < 20) {
            ++quietSteps;
            if (sent < bytes.size() && !client.ended && oneIn(2)) {
                const std::size_t size =
                        std::min<std::size_t>(1 + random() % 200, bytes.size() - sent);
                client.send(bytes.substr(sent, size));
                sent += size;
                quietSteps = 0;
            }
            if (!open.empty() && oneIn(2)) {
                const std::size_t chosen = random() % open.size();
                const std::size_t position = open[chosen];
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(chosen));
                fixture.answer(position, random() % 500);
                quietSteps = 0;
            }
            if (oneIn(100))
                fixture.server.disableKeepAlive();
            for (int iteration = 0; iteration < 3; ++iteration)
                g_main_context_iteration(nullptr, FALSE);
            for (; seen < fixture.targets.size(); ++seen) {
                open.push_back(seen);
                quietSteps = 0;
            }
        }
        runUntil([&] {
            return client.ended || client.responses().size() >= fixture.targets.size();
        });
        Texts answered;
        const std::vector<PipeliningClient::Response> responses = client.responses();
        for (std::size_t position = 0; position < responses.size(); ++position) {
            const std::string &body = responses[position].body;
            if (responses[position].status == 200)
                answered.push_back(body.substr(0, body.find('.')));
            CHECK((!responses[position].closes || position + 1 == responses.size()));
        }
        CHECK(answered == fixture.targets);
        CHECK(fixture.openBeforePayment == 0);
        CHECK(fixture.cancelled.empty());
        CHECK(fixture.server.openRequests() == 0);
        CHECK(fixture.server.bufferedResponseBytes() == 0);
    }
}

} // namespace jacinthshift
