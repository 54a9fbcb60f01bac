#include <catch2/catch.hpp>

#include "node/node_discovery.h"
#include "platform/wire_names.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct DiscoveringNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    NodeDiscovery discovery;

    DiscoveringNode(FakeLinkHub &hub, FakeKeyedLog &log, const std::string &name,
                    std::uint16_t port)
        : transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name, .domain = "a", .linkEndpoint = {"127.0.0.1", port}}},
                  transport, hub.timers)
        , discovery({}, log, network, hub.timers)
    {
        REQUIRE(network.start().ok());
        discovery.start();
    }
};

} // namespace

TEST_CASE("a node with a link does not read the contacts again")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    const DiscoveringNode first(hub, log, "a-1", 1);
    const DiscoveringNode second(hub, log, "a-2", 2);
    timers.advance(milliseconds(1'400));
    CHECK(first.network.peers().size() == 1);
    CHECK(second.network.peers().size() == 1);
    const int calls = log.callCount;
    timers.advance(milliseconds(10'000));
    CHECK(calls == 4);
    CHECK(log.callCount == calls);
}

TEST_CASE("a node without links reads the contacts again until it has a link")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    const DiscoveringNode first(hub, log, "a-1", 1);
    timers.advance(milliseconds(5'000));
    CHECK(log.callCount >= 4);
    const DiscoveringNode second(hub, log, "a-2", 2);
    timers.advance(milliseconds(2'000));
    CHECK(first.network.peers().size() == 1);
}

// Guards against nodes that started after a restore and cannot find the others.
TEST_CASE("after a restore of the log a node writes its contact again")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    DiscoveringNode node(hub, log, "a-1", 1);
    const std::string table = wire::NodesTable;
    REQUIRE_FALSE(log.newest(table, "a-1").empty());
    log.restoreWithout(table, 1);
    REQUIRE(log.newest(table, "a-1").empty());
    node.discovery.logRestored();
    timers.advance(milliseconds(1'000));
    CHECK_FALSE(log.newest(table, "a-1").empty());
}

} // namespace jacinthshift
