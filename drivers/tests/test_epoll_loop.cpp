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

TEST_CASE("a timer started after the loop was blocked waits for its full delay")
{
    EpollLoop &loop = EpollLoop::instance();
    std::this_thread::sleep_for(milliseconds(60));
    bool fired = false;
    const SteadyTime start = std::chrono::steady_clock::now();
    loop.startOnce(milliseconds(40), [&] { fired = true; });
    runUntil(fired);
    CHECK(std::chrono::steady_clock::now() - start >= milliseconds(40));
}

// Guards against a wake-up of the loop for each of several timers of the same period.
TEST_CASE("periodic timers that were started at different times fire together")
{
    constexpr milliseconds Period{40};
    EpollLoop &loop = EpollLoop::instance();
    SteadyTime firstAt;
    SteadyTime secondAt;
    bool done = false;
    const SteadyTime start = std::chrono::steady_clock::now();
    const Timer first(loop, loop.startPeriodic(Period, [&] { firstAt = loop.now(); }));
    std::this_thread::sleep_for(milliseconds(15));
    const Timer second(loop, loop.startPeriodic(Period, [&] {
        secondAt = loop.now();
        done = firstAt != SteadyTime();
    }));
    runUntil(done);
    CHECK(firstAt == secondAt);
    CHECK(firstAt - start >= Period / 2);
}

TEST_CASE("a periodic timer can stop itself and a stopped timer does not fire")
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

TEST_CASE("a handler that another one unwatches in the same loop iteration is not called")
{
    EpollLoop &loop = EpollLoop::instance();
    int firstPipe[2];
    int secondPipe[2];
    REQUIRE(pipe(firstPipe) == 0);
    REQUIRE(pipe(secondPipe) == 0);
    const ScopeGuard closeDescriptors([&] {
        for (const int descriptor : {firstPipe[0], firstPipe[1], secondPipe[0], secondPipe[1]})
            close(descriptor);
    });
    CountingHandler firstHandler;
    CountingHandler secondHandler;
    bool done = false;
    const auto unwatchBoth = [&] {
        loop.unwatch(firstPipe[0], firstHandler);
        loop.unwatch(secondPipe[0], secondHandler);
        done = true;
    };
    firstHandler.action = unwatchBoth;
    secondHandler.action = unwatchBoth;
    loop.watch(firstPipe[0], EPOLLIN, firstHandler);
    loop.watch(secondPipe[0], EPOLLIN, secondHandler);
    REQUIRE(write(firstPipe[1], "x", 1) == 1);
    REQUIRE(write(secondPipe[1], "x", 1) == 1);
    runUntil(done);
    CHECK(firstHandler.calls + secondHandler.calls == 1);
}

TEST_CASE("a deferred callback runs at the end of the loop iteration")
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
