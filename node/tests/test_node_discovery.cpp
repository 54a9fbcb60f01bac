#include <catch2/catch.hpp>

#include "node/node_discovery.h"
#include "platform/store_departure_register.h"
#include "platform/wire_names.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct RecordingObserver final : public DepartureObserver
{
    std::vector<Departure> departures;

    void departuresRead(const std::vector<Departure> &read) override { departures = read; }
};

struct DiscoveringNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    NodeDiscovery discovery;

    DiscoveringNode(FakeLinkHub &hub, FakeKeyedLog &log, const std::string &name,
                    std::uint16_t port, DepartureObserver *observer = nullptr)
        : transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name, .domain = "a", .linkEndpoint = {"127.0.0.1", port}}},
                  transport, hub.timers)
        , discovery({}, log, network, hub.timers)
    {
        REQUIRE(network.start().ok());
        if (observer != nullptr)
            discovery.setDepartureObserver(*observer);
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

// Guards against a process that does not learn which backend servers left before it started.
TEST_CASE("a node that starts reads the departures, without a further call")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    StoreDepartureRegister departures("a-1", log, timers);
    const BackendLifetime backend{.id = "i-1", .startedAt = 7};
    departures.write(backend, [](const absl::Status &status) { REQUIRE(status.ok()); });
    const int calls = log.callCount;
    RecordingObserver observer;
    const DiscoveringNode node(hub, log, "a-1", 1, &observer);
    CHECK(log.callCount == calls + 2);
    REQUIRE(observer.departures.size() == 1);
    CHECK(observer.departures[0].node == "a-1");
    CHECK(observer.departures[0].backend == backend);
    CHECK(node.network.peers().empty());
}

TEST_CASE("departures are removed once no heartbeat can be on its way any more")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeKeyedLog log;
    StoreDepartureRegister departures("a-9", log, timers);
    const BackendLifetime backend{.id = "i-1", .startedAt = 7};
    departures.write(backend, [](const absl::Status &) {});
    const std::string key = departureKey("a-9", backend);
    timers.advance(std::chrono::minutes(10));
    const DiscoveringNode early(hub, log, "a-1", 1);
    CHECK_FALSE(log.newest(wire::NodesTable, key).empty());
    timers.advance(std::chrono::minutes(10));
    const DiscoveringNode late(hub, log, "a-2", 2);
    CHECK(log.newest(wire::NodesTable, key).empty());
}

} // namespace jacinthshift
