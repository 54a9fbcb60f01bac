#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

#include <glib.h>

#include "drivers/epoll/epoll_loop.h"
#include "drivers/websocket/websocket_link_transport.h"
#include "tests/support/processor_time.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;

const Endpoint receivingEndpoint{"127.0.0.1", 18'398};
const Endpoint sendingEndpoint{"127.0.0.1", 18'399};

/** Uses the processor for 200 microseconds for each frame. */
struct SlowObserver final : LinkObserver
{
    int frames = 0;

    void linkOpened(LinkId, bool) override {}
    void frameReceived(LinkId, const std::string &) override
    {
        ++frames;
        useProcessor(std::chrono::microseconds(200));
    }
    void linkClosed(LinkId) override {}
};

struct SendingObserver final : LinkObserver
{
    bool open = false;

    void linkOpened(LinkId, bool) override { open = true; }
    void frameReceived(LinkId, const std::string &) override {}
    void linkClosed(LinkId) override { open = false; }
};

} // namespace

// Guards against timers that wait until the short frames of one long read have been handled.
TEST_CASE("a link that is flooded with frames leaves timers their turn")
{
    constexpr int FrameCount = 5'000;
    EpollLoop &loop = EpollLoop::instance();
    WebsocketLinkTransport receiving({.listen = receivingEndpoint});
    WebsocketLinkTransport sending({.listen = sendingEndpoint});
    SlowObserver observer;
    SendingObserver sender;
    REQUIRE(receiving.start(observer).ok());
    REQUIRE(sending.start(sender).ok());
    const LinkId link = sending.connect(receivingEndpoint);
    const SteadyTime end = std::chrono::steady_clock::now() + milliseconds(8'000);
    const auto inTime = [end] {
        return std::chrono::steady_clock::now() < end;
    };
    while (!sender.open && inTime())
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE(sender.open);
    for (int i = 0; i < FrameCount; ++i)
        REQUIRE(sending.send(link, "a frame of the flood"));

    std::chrono::nanoseconds last = processorTime();
    std::chrono::nanoseconds longest(0);
    const Timer timer(loop, loop.startPeriodic(milliseconds(10), [&] {
        const std::chrono::nanoseconds now = processorTime();
        longest = std::max(longest, now - last);
        last = now;
    }));
    while (observer.frames < FrameCount && inTime())
        g_main_context_iteration(nullptr, TRUE);
    CHECK(observer.frames == FrameCount);
    CHECK(longest < milliseconds(100));
}

} // namespace jacinthshift
