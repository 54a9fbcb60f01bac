#include <thread>

#include <catch2/catch.hpp>

#include "drivers/beast/beast_http_server.h"
#include "drivers/epoll/epoll_loop.h"
#include "drivers/tcp/tcp_socket.h"
#include "modules/forwarding/forwarder.h"
#include "tests/support/fake_link_hub.h"
#include "tests/support/loopback_network.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr std::string_view RequestBytes = "GET /read/x HTTP/1.1\r\nHost: h\r\nId: r1\r\n\r\n";

/** An owner that never answers. */
class HangingOwner final : public WorkHandler
{
public:
    int started = 0;

    std::uint64_t run(const WorkRequest &, Callback) override
    {
        return static_cast<std::uint64_t>(++started);
    }
    bool cancel(std::uint64_t) override { return false; }
    BackendStatus status() const override
    {
        return {.availability = BackendAvailability::Ready,
                .id = "i",
                .service = "s",
                .concurrencyLimit = 10};
    }
};

struct AnyVersion final : public VersionPolicy
{
    VersionChoice chooseVersion(const std::string &) override { return {}; }
};

/** A node's path from a caller's connection to its own owner, on the real event loop. */
struct LateNode
{
    const LoopbackNetwork addresses; ///< Its own, as tests of other processes use ports as well.
    const Endpoint listen{addresses.prefix() + ".1.1", 8080};
    EpollLoop &loop = EpollLoop::instance();
    ManualTimerService linkTimers;
    FakeLinkHub hub{linkTimers};
    FakeLinkTransport transport{hub, {"127.0.0.1", 1}};
    FleetNetwork network{{.self = {.node = "n", .domain = "d", .linkEndpoint = {"127.0.0.1", 1}}},
                         transport,
                         linkTimers};
    HangingOwner owner;
    RemoteCallClient remote{RemoteCallClientOptions{}, network, linkTimers};
    AnyVersion versions;
    TrafficMetrics metrics;
    Forwarder forwarder{{.node = "n", .headers = {.requestId = "Id", .deadline = "Left"}},
                        loop,
                        network,
                        remote,
                        owner,
                        versions,
                        metrics};
    RouteTable routes{TrafficConfig{.routes = {TrafficRoute{.name = "read",
                                                            .host = "h",
                                                            .prefix = "/read/",
                                                            .idempotent = true,
                                                            .timeout = milliseconds(600),
                                                            .parts = {{.service = "s"}}}}},
                      1};
    BeastHttpServer server{HttpServerOptions{}};
    TcpSocket caller;

    LateNode()
    {
        forwarder.setRoutes(&routes);
        const absl::Status status = server.listen(
                listen, [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
                    forwarder.forward(std::move(request), std::move(responder));
                });
        REQUIRE(status.ok());
        REQUIRE(caller.connect(listen, ""));
        run(milliseconds(20)); // Accepts the connection.
    }
    void send()
    {
        std::size_t written = 0;
        REQUIRE(caller.write(RequestBytes.data(), RequestBytes.size(), written)
                == SocketResult::Progress);
    }
    template <typename Condition>
    static void runUntil(const Condition &condition)
    {
        while (!condition())
            g_main_context_iteration(nullptr, TRUE);
    }
    /** Runs a callback in the loop that takes a time, during which something happens outside. */
    template <typename Action>
    void runLate(milliseconds time, const Action &outside)
    {
        bool over = false;
        const Timer late(loop, loop.startOnce(milliseconds(0), [&] {
            outside();
            std::this_thread::sleep_for(time);
            over = true;
        }));
        runUntil([&] { return over; });
    }
    void run(milliseconds time)
    {
        bool over = false;
        const Timer end(loop, loop.startOnce(time, [&] { over = true; }));
        runUntil([&] { return over; });
    }
};

} // namespace

// Guards against work that a late node begins for a caller that has already left.
TEST_CASE("a late node does not forward a request whose caller has closed its connection", "[gone]")
{
    LateNode node;
    node.runLate(milliseconds(20), [&] {
        node.send();
        node.caller.close();
    });
    node.run(milliseconds(50));
    CHECK(node.owner.started == 0);
}

// Guards against answers that come too late because time limits count from when a late node reads.
TEST_CASE("the time limit of a request that waited for a late node counts from its arrival",
          "[late]")
{
    LateNode node;
    SteadyTime sentAt;
    node.runLate(milliseconds(400), [&] {
        sentAt = std::chrono::steady_clock::now();
        node.send();
    });
    bool answered = false;
    node.caller.waitReadable([&] { answered = true; });
    LateNode::runUntil([&] { return answered; });
    const auto taken =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sentAt);
    node.caller.close();
    CHECK(taken >= milliseconds(590));
    CHECK(taken < milliseconds(600 + 250));
}

TEST_CASE("the time limit of a request that a punctual node reads is not shortened", "[late]")
{
    LateNode node;
    node.runLate(milliseconds(400), [] {});
    node.run(milliseconds(50));
    const SteadyTime sentAt = std::chrono::steady_clock::now();
    node.send();
    bool answered = false;
    node.caller.waitReadable([&] { answered = true; });
    LateNode::runUntil([&] { return answered; });
    const auto taken =
            std::chrono::duration_cast<milliseconds>(std::chrono::steady_clock::now() - sentAt);
    node.caller.close();
    CHECK(taken >= milliseconds(590));
    CHECK(taken < milliseconds(600 + 250));
}

} // namespace jacinthshift
