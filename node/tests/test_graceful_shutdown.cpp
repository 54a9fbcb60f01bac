#include <catch2/catch.hpp>

#include "node/graceful_shutdown.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct StoppingProcess
{
    ManualTimerService timers;
    GracefulShutdown shutdown{GracefulShutdownOptions{}, timers};
    std::size_t openRequests = 0;
    std::size_t unreadResponses = 0;
    bool ended = false;

    StoppingProcess()
    {
        shutdown.addTask({.name = "requests", .limit = milliseconds(3'000), .unfinished = [this] {
                              return UnfinishedWork{.items = openRequests};
                          }});
        shutdown.addTask({.name = "responses", .limit = milliseconds(4'000), .unfinished = [this] {
                              return UnfinishedWork{.items = unreadResponses, .bytes = 100};
                          }});
    }
    void begin(milliseconds minDuration)
    {
        shutdown.begin(timers.now(), minDuration, [this] { ended = true; });
    }
};

} // namespace

TEST_CASE("a process without unfinished work ends after the shortest duration of a shutdown")
{
    StoppingProcess process;
    process.begin(milliseconds(1'000));
    process.timers.advance(milliseconds(950));
    CHECK_FALSE(process.ended);
    process.timers.advance(milliseconds(100));
    CHECK(process.ended);
}

// Guards against a stop that ends the process while a caller still reads a response.
TEST_CASE("a process does not end while a response is unread, although no request is open")
{
    StoppingProcess process;
    process.unreadResponses = 1;
    process.begin(milliseconds(1'000));
    process.timers.advance(milliseconds(2'000));
    CHECK_FALSE(process.ended);
    process.unreadResponses = 0;
    process.timers.advance(milliseconds(50));
    CHECK(process.ended);
}

TEST_CASE("each part is waited for until its own limit")
{
    StoppingProcess process;
    process.openRequests = 1;
    SECTION("only a part that has reached its limit is unfinished")
    {
        process.begin(milliseconds(1'000));
        process.timers.advance(milliseconds(2'950));
        CHECK_FALSE(process.ended);
        process.timers.advance(milliseconds(100));
        CHECK(process.ended);
    }
    SECTION("another part is waited for beyond that")
    {
        process.unreadResponses = 1;
        process.begin(milliseconds(1'000));
        process.timers.advance(milliseconds(3'950));
        CHECK_FALSE(process.ended);
        process.timers.advance(milliseconds(100));
        CHECK(process.ended);
    }
}

// Guards against a stop that begins late and ends after the process has been killed.
TEST_CASE("a shutdown that begins late takes what is due at once and keeps its limits")
{
    StoppingProcess process;
    std::string taken;
    process.shutdown.addStep({.after = milliseconds(2'000), .action = [&taken] {
                                  taken += "b";
                              }});
    process.shutdown.addStep({.after = milliseconds(500), .action = [&taken] {
                                  taken += "a";
                              }});
    process.shutdown.addStep({.after = milliseconds(2'800), .action = [&taken] {
                                  taken += "c";
                              }});
    process.openRequests = 1;
    const SteadyTime askedAt = process.timers.now();
    process.timers.advance(milliseconds(2'500));
    process.shutdown.begin(askedAt, milliseconds(1'000), [&process] { process.ended = true; });
    CHECK(taken == "ab");
    CHECK(process.shutdown.elapsed() == milliseconds(2'500));
    process.timers.advance(milliseconds(450));
    CHECK(taken == "abc");
    CHECK_FALSE(process.ended);
    process.timers.advance(milliseconds(100));
    CHECK(process.ended);
}

// Guards against counts that differ within one check, and against their cost.
TEST_CASE("a check asks each task once")
{
    StoppingProcess process;
    int asked = 0;
    process.shutdown.addTask("counted", milliseconds(4'000), [&asked] {
        ++asked;
        return std::size_t(1);
    });
    process.begin(milliseconds(0));
    process.timers.advance(milliseconds(50));
    CHECK(asked == 1);
}

TEST_CASE("steps are taken once and by their times, whatever the order in which they were added")
{
    StoppingProcess process;
    std::string taken;
    process.shutdown.addStep({.after = milliseconds(2'000), .action = [&taken] {
                                  taken += "b";
                              }});
    process.shutdown.addStep({.after = milliseconds(500), .action = [&taken] {
                                  taken += "a";
                              }});
    process.openRequests = 1;
    process.begin(milliseconds(100));
    process.timers.advance(milliseconds(1'000));
    CHECK(taken == "a");
    process.timers.advance(milliseconds(1'800));
    CHECK(taken == "ab");
}

} // namespace jacinthshift
