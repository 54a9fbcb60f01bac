#include <catch2/catch.hpp>

#include <optional>
#include <string>

#include "modules/owner/crash_exchange.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct CrashNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    PoisonRegistry registry{PoisonRegistryOptions{}};
    CrashExchange crashes;

    CrashNode(FakeLinkHub &hub, std::uint16_t port, std::uint64_t incarnation)
        : transport(hub, Endpoint{"127.0.0.1", port})
        , network(FleetNetworkOptions{.self = {.node = std::to_string(port),
                                               .domain = "d",
                                               .linkEndpoint = {"127.0.0.1", port},
                                               .incarnation = incarnation}},
                  transport, hub.timers)
        , crashes(CrashExchangeOptions{.maxToldCrashes = 4}, network, hub.timers, registry)
    {
        REQUIRE(network.start().ok());
    }
};

/** Two linked nodes; the second one is replaced by a new process during the test. */
struct Restart
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    CrashNode first{hub, 1, 1};
    CrashNode ended{hub, 2, 1};
    std::optional<CrashNode> successor;

    Restart()
    {
        first.network.addContacts({ended.network.self()});
        timers.advance(milliseconds(100));
    }
    void crash(std::uint64_t fingerprint, const std::string &backend)
    {
        ended.registry.recordCrash(fingerprint, backend, timers.now());
        ended.crashes.report(fingerprint, backend);
        timers.advance(milliseconds(10));
    }
    void replace()
    {
        ended.transport.closeAll();
        timers.advance(milliseconds(5));
        successor.emplace(hub, 2, 2);
        successor->network.addContacts({first.network.self()});
        timers.advance(milliseconds(500));
    }
};

} // namespace

// Guards against a request that crashes further backend servers after nodes have been restarted.
TEST_CASE("a new process refuses a request that has crashed backend servers before it started")
{
    Restart nodes;
    nodes.crash(7, "i-1#1");
    nodes.crash(7, "i-2#1");
    REQUIRE(nodes.first.registry.isRefused(7, nodes.timers.now()));
    nodes.replace();
    CHECK(nodes.successor->registry.isRefused(7, nodes.timers.now()));
}

TEST_CASE("a new process is told of the last crashes only")
{
    Restart nodes;
    for (std::uint64_t fingerprint = 1; fingerprint <= 5; ++fingerprint) {
        nodes.crash(fingerprint, "i-1#1");
        nodes.crash(fingerprint, "i-2#1");
    }
    nodes.replace();
    const PoisonRegistry &registry = nodes.successor->registry;
    CHECK(registry.isRefused(5, nodes.timers.now()));
    CHECK(registry.isRefused(4, nodes.timers.now()));
    CHECK_FALSE(registry.isSuspect(3));
}

TEST_CASE("a request that has succeeded since is not refused by a new process")
{
    Restart nodes;
    nodes.crash(7, "i-1#1");
    nodes.crash(7, "i-2#1");
    nodes.ended.crashes.reportCleared(7);
    nodes.timers.advance(milliseconds(10));
    nodes.replace();
    CHECK_FALSE(nodes.successor->registry.isSuspect(7));
}

} // namespace jacinthshift
