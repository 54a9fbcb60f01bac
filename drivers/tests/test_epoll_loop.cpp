#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <functional>
#include <thread>
#include <vector>

#include <sys/epoll.h>
#include <unistd.h>

#include "core/scope_guard.h"
#include "drivers/epoll/epoll_loop.h"
#include "drivers/epoll/signal_watch.h"
#include "tests/support/processor_time.h"

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

/** Descriptors that are always ready and whose handlers take 200 ms together by default. */
class ReadyDescriptors
{
    static constexpr std::size_t Count = 100;

    EpollLoop &m_loop = EpollLoop::instance();
    std::array<std::array<int, 2>, Count> m_pipes{};
    std::array<CountingHandler, Count> m_handlers;

public:
    explicit ReadyDescriptors(milliseconds handlerTime = milliseconds(2))
    {
        for (std::size_t i = 0; i < Count; ++i) {
            REQUIRE(pipe(m_pipes[i].data()) == 0);
            REQUIRE(write(m_pipes[i][1], "x", 1) == 1);
            m_handlers[i].action = [handlerTime] {
                useProcessor(handlerTime);
            };
            m_loop.watch(m_pipes[i][0], EPOLLIN, m_handlers[i]);
        }
    }
    ~ReadyDescriptors()
    {
        unwatch();
        for (const std::array<int, 2> &pipe : m_pipes) {
            close(pipe[0]);
            close(pipe[1]);
        }
    }
    ReadyDescriptors(const ReadyDescriptors &) = delete;
    ReadyDescriptors &operator=(const ReadyDescriptors &) = delete;

    void unwatch()
    {
        for (std::size_t i = 0; i < Count; ++i)
            m_loop.unwatch(m_pipes[i][0], m_handlers[i]);
    }
    std::vector<int> calls() const
    {
        std::vector<int> calls;
        for (const CountingHandler &handler : m_handlers)
            calls.push_back(handler.calls);
        return calls;
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

// Guards against timers that wait until all input of many descriptors has been handled.
TEST_CASE("a timer has its turn between descriptors that are always ready")
{
    EpollLoop &loop = EpollLoop::instance();
    const ReadyDescriptors descriptors;
    for (int i = 0; i < 5; ++i) {
        bool fired = false;
        const std::chrono::nanoseconds start = processorTime();
        loop.startOnce(milliseconds(5), [&] { fired = true; });
        runUntil(fired);
        CHECK(processorTime() - start < milliseconds(65));
    }
}

// Guards against output that waits until all input of many descriptors has been handled.
TEST_CASE("deferred callbacks and other sources have their turn between ready descriptors")
{
    const ReadyDescriptors descriptors;
    const std::chrono::nanoseconds start = processorTime();
    bool ran = false;
    EpollLoop::instance().defer([&] { ran = true; });
    runUntil(ran);
    CHECK(processorTime() - start < milliseconds(60));
}

// Guards against a delay of the loop of which nobody can say what caused it.
TEST_CASE("the longest time of each part of an iteration is measured")
{
    EpollLoop &loop = EpollLoop::instance();
    bool done = false;
    loop.startOnce(milliseconds(1), [&] {
        useProcessor(milliseconds(30));
        loop.defer([&] {
            useProcessor(milliseconds(40));
            done = true;
        });
    });
    runUntil(done);
    CHECK(loop.longestParts().timers >= milliseconds(30));
    CHECK(loop.longestParts().deferred >= milliseconds(40));
    const ReadyDescriptors descriptors(milliseconds(20));
    done = false;
    loop.startOnce(milliseconds(1), [&] { done = true; });
    runUntil(done);
    CHECK(loop.longestParts().events >= milliseconds(20));
}

// Guards against a stop that begins seconds after its signal, and counts from there.
TEST_CASE("a signal has its turn between ready descriptors and is given when it was received")
{
    const ReadyDescriptors descriptors;
    bool called = false;
    SteadyTime receivedAt;
    const SignalWatch watch(SIGUSR1, [&](SteadyTime at) {
        receivedAt = at;
        called = true;
    });
    for (int i = 0; i < 3; ++i) {
        bool waited = false;
        EpollLoop::instance().startOnce(milliseconds(10), [&] { waited = true; });
        runUntil(waited);
        called = false;
        const std::chrono::nanoseconds start = processorTime();
        const SteadyTime before = std::chrono::steady_clock::now();
        REQUIRE(raise(SIGUSR1) == 0);
        const SteadyTime after = std::chrono::steady_clock::now();
        runUntil(called);
        CHECK(processorTime() - start < milliseconds(60));
        CHECK(receivedAt >= before);
        CHECK(receivedAt <= after);
    }
}

TEST_CASE("a signal wakes a loop that waits, and its watch restores what it replaced")
{
    bool called = false;
    {
        const SignalWatch watch(SIGCHLD, [&](SteadyTime) { called = true; });
        std::thread sender([pid = getpid()] {
            std::this_thread::sleep_for(milliseconds(20));
            kill(pid, SIGCHLD);
        });
        runUntil(called);
        sender.join();
    }
    called = false;
    REQUIRE(raise(SIGCHLD) == 0); // Ignored by default.
    bool waited = false;
    EpollLoop::instance().startOnce(milliseconds(10), [&] { waited = true; });
    runUntil(waited);
    CHECK_FALSE(called);
}

// Guards against a descriptor that is handled twice while others wait.
TEST_CASE("descriptors that are always ready are handled in turn")
{
    const ReadyDescriptors descriptors;
    const std::chrono::nanoseconds start = processorTime();
    while (processorTime() - start < milliseconds(700))
        g_main_context_iteration(nullptr, TRUE);
    const std::vector<int> calls = descriptors.calls();
    const auto [least, most] = std::minmax_element(calls.begin(), calls.end());
    CHECK(*least >= 1);
    CHECK(*most - *least <= 1);
}

// Guards against time limits that begin late for input that waits behind other input.
TEST_CASE("the input delay counts the time since the input was collected")
{
    EpollLoop &loop = EpollLoop::instance();
    std::array<std::array<int, 2>, 3> pipes{};
    std::array<CountingHandler, 3> handlers;
    std::vector<milliseconds> delays;
    for (std::size_t i = 0; i < pipes.size(); ++i) {
        REQUIRE(pipe(pipes[i].data()) == 0);
        handlers[i].action = [&] {
            delays.push_back(loop.inputDelay());
            useProcessor(milliseconds(40));
        };
        loop.watch(pipes[i][0], EPOLLIN, handlers[i]);
        REQUIRE(write(pipes[i][1], "x", 1) == 1);
    }
    while (delays.size() < pipes.size())
        g_main_context_iteration(nullptr, TRUE);
    for (std::size_t i = 0; i < pipes.size(); ++i) {
        loop.unwatch(pipes[i][0], handlers[i]);
        close(pipes[i][0]);
        close(pipes[i][1]);
    }
    CHECK(delays[1] - delays[0] >= milliseconds(39));
    CHECK(delays[2] - delays[1] >= milliseconds(39));
}

// Guards against a call of a handler that is gone for an event of an earlier iteration.
TEST_CASE("a handler that is unwatched between two loop iterations is not called")
{
    ReadyDescriptors descriptors;
    bool done = false;
    EpollLoop::instance().startOnce(milliseconds(5), [&] { done = true; });
    runUntil(done);
    descriptors.unwatch();
    const std::vector<int> calls = descriptors.calls();
    done = false;
    EpollLoop::instance().startOnce(milliseconds(20), [&] { done = true; });
    runUntil(done);
    CHECK(descriptors.calls() == calls);
}

// Guards against callbacks that hold the loop up by deferring or starting further ones.
TEST_CASE("callbacks that schedule themselves again leave timers and descriptors their turn")
{
    EpollLoop &loop = EpollLoop::instance();
    const ReadyDescriptors descriptors(milliseconds(0));
    const SteadyTime end = std::chrono::steady_clock::now() + milliseconds(400);
    bool fired = false;
    bool isScheduled = true;
    std::function<void(std::function<void()>)> schedule;
    SECTION("deferred callbacks")
    {
        schedule = [&](std::function<void()> callback) {
            loop.defer(std::move(callback));
        };
    }
    SECTION("timers without a delay")
    {
        schedule = [&](std::function<void()> callback) {
            loop.startOnce(milliseconds(0), std::move(callback));
        };
    }
    const std::function<void()> again = [&] {
        useProcessor(milliseconds(1));
        isScheduled = !fired && std::chrono::steady_clock::now() < end;
        if (isScheduled)
            schedule(again);
    };
    schedule(again);
    loop.startOnce(milliseconds(20), [&] { fired = true; });
    runUntil(fired);
    CHECK(std::chrono::steady_clock::now() < end);
    const std::vector<int> calls = descriptors.calls();
    CHECK(std::count(calls.begin(), calls.end(), 0) == 0);
    while (isScheduled)
        g_main_context_iteration(nullptr, TRUE);
}

} // namespace jacinthshift
