#include <catch2/catch.hpp>

#include "node/contact_book.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct BookNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    ContactBook book;

    BookNode(FakeLinkHub &hub, FakeKeyedLog &log, const std::string &name, std::uint16_t port)
        : transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name, .domain = "a", .links = {"127.0.0.1", port}}}, transport,
                  hub.timers)
        , book({}, log, network, hub.timers)
    {
        REQUIRE(network.start().ok());
        book.start();
    }
};

} // namespace

TEST_CASE("a node that found another one does not read the contacts again")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    const BookNode first(hub, log, "a-1", 1);
    const BookNode second(hub, log, "a-2", 2);
    timers.advance(milliseconds(1'400));
    CHECK(first.network.peers().size() == 1);
    CHECK(second.network.peers().size() == 1);
    const int calls = log.calls;
    timers.advance(milliseconds(10'000));
    CHECK(calls == 4);
    CHECK(log.calls == calls);
}

TEST_CASE("a node without any link looks for contacts until it has one")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    const BookNode first(hub, log, "a-1", 1);
    timers.advance(milliseconds(5'000));
    CHECK(log.calls >= 4);
    const BookNode second(hub, log, "a-2", 2);
    timers.advance(milliseconds(2'000));
    CHECK(first.network.peers().size() == 1);
}

} // namespace jacinthshift
