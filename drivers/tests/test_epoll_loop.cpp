#include <catch2/catch.hpp>

#include <thread>

#include <sys/epoll.h>
#include <unistd.h>

#include "core/scope_guard.h"
#include "drivers/epoll/epoll_loop.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

void runUntil(const bool &done)
{
    for (int i = 0; i < 2'000 && !done; ++i)
        g_main_context_iteration(nullptr, TRUE);
    REQUIRE(done);
}

struct CountingHandler final : public DescriptorHandler
{
    int calls = 0;
    std::function<void()> action;

    void descriptorReady(std::uint32_t) override
    {
        ++calls;
        action();
    }
};

} // namespace

TEST_CASE("a timer that is started after the loop has stood still waits for its whole delay")
{
    EpollLoop &loop = EpollLoop::instance();
    std::this_thread::sleep_for(milliseconds(60));
    bool fired = false;
    const SteadyTime start = std::chrono::steady_clock::now();
    loop.startOnce(milliseconds(40), [&] { fired = true; });
    runUntil(fired);
    CHECK(std::chrono::steady_clock::now() - start >= milliseconds(40));
}

TEST_CASE("a periodic timer may stop itself, and a stopped timer does not fire")
{
    EpollLoop &loop = EpollLoop::instance();
    int fired = 0;
    bool done = false;
    TimerId periodic = TimerId::None;
    periodic = loop.startPeriodic(milliseconds(1), [&] {
        if (++fired == 3)
            loop.stop(periodic);
    });
    const TimerId stopped = loop.startOnce(milliseconds(5), [&] { fired = 100; });
    loop.stop(stopped);
    loop.startOnce(milliseconds(20), [&] { done = true; });
    runUntil(done);
    CHECK(fired == 3);
}

TEST_CASE("a handler that stops another one in the same round keeps it from being called")
{
    EpollLoop &loop = EpollLoop::instance();
    int first[2];
    int second[2];
    REQUIRE(pipe(first) == 0);
    REQUIRE(pipe(second) == 0);
    const ScopeGuard closing([&] {
        for (const int descriptor : {first[0], first[1], second[0], second[1]})
            close(descriptor);
    });
    CountingHandler a;
    CountingHandler b;
    bool done = false;
    const auto stopBoth = [&] {
        loop.unwatch(first[0], a);
        loop.unwatch(second[0], b);
        done = true;
    };
    a.action = stopBoth;
    b.action = stopBoth;
    loop.watch(first[0], EPOLLIN, a);
    loop.watch(second[0], EPOLLIN, b);
    REQUIRE(write(first[1], "x", 1) == 1);
    REQUIRE(write(second[1], "x", 1) == 1);
    runUntil(done);
    CHECK(a.calls + b.calls == 1);
}

TEST_CASE("what is deferred runs at the end of the round")
{
    EpollLoop &loop = EpollLoop::instance();
    std::string order;
    bool done = false;
    loop.startOnce(milliseconds(1), [&] {
        loop.defer([&] {
            order += "c";
            done = true;
        });
        order += "a";
    });
    loop.startOnce(milliseconds(1), [&] { order += "b"; });
    runUntil(done);
    CHECK(order.back() == 'c');
}

} // namespace jacinthshift
