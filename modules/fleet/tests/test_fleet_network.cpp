#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/fleet/fleet_network.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

struct FleetNode
{
    FakeLinkTransport transport;
    FleetNetwork network;

    FleetNode(FakeLinkHub &hub, const std::string &domain, std::uint16_t port,
              std::uint64_t incarnation = 1)
        : transport(hub, Endpoint{"127.0.0.1", port})
        , network(FleetNetworkOptions{.self = {.node = joinText(domain, "-", port),
                                               .domain = domain,
                                               .linkEndpoint = {"127.0.0.1", port},
                                               .incarnation = incarnation},
                                      .randomSeed = port},
                  transport, hub.timers)
    {
        REQUIRE(network.start().ok());
    }
};

/** Linked nodes of one failure domain. */
struct Fleet
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    std::vector<std::unique_ptr<FleetNode>> nodes;

    explicit Fleet(std::uint16_t size)
    {
        std::vector<NodeContact> contacts;
        for (std::uint16_t port = 1; port <= size; ++port) {
            nodes.push_back(std::make_unique<FleetNode>(hub, "a", port));
            contacts.push_back(nodes.back()->network.self());
        }
        for (const std::unique_ptr<FleetNode> &node : nodes)
            node->network.addContacts(contacts);
        timers.advance(milliseconds(1'000));
    }

    NodeContact firstContact() const { return nodes.front()->network.self(); }
};

/** Returns the bytes that a node and a peer in another failure domain send to open a link. */
std::size_t bytesToOpenLink(std::uint16_t fleetSize)
{
    Fleet fleet(fleetSize);
    FleetNode other(fleet.hub, "b", 200);
    const Endpoint peer = fleet.firstContact().linkEndpoint;
    const std::size_t before = fleet.hub.sentBytes[peer];
    fleet.nodes.front()->network.addContacts({other.network.self()});
    fleet.timers.advance(milliseconds(20));
    REQUIRE(other.network.isReachable(*other.network.peer(fleet.firstContact().node)));
    return fleet.hub.sentBytes[peer] - before + fleet.hub.sentBytes[Endpoint{"127.0.0.1", 200}];
}

} // namespace

TEST_CASE("rolling restarts: the bytes sent to open a link between failure domains do not depend "
          "on the number of nodes",
          "[fleet]")
{
    REQUIRE(bytesToOpenLink(40) == bytesToOpenLink(2));
}

namespace {

/** Bytes that nodes which join a failure domain at once send and receive, per link that they open.
 */
std::size_t bytesPerLinkToJoin(std::uint16_t fleetSize, std::uint16_t joiningCount)
{
    Fleet fleet(fleetSize);
    fleet.timers.advance(milliseconds(20'000));
    std::vector<NodeContact> contacts;
    for (const std::unique_ptr<FleetNode> &node : fleet.nodes)
        contacts.push_back(node->network.self());
    std::vector<std::unique_ptr<FleetNode>> joining;
    for (std::uint16_t i = 0; i < joiningCount; ++i) {
        joining.push_back(
                std::make_unique<FleetNode>(fleet.hub, "a", static_cast<std::uint16_t>(500 + i)));
        contacts.push_back(joining.back()->network.self());
    }
    for (const std::unique_ptr<FleetNode> &node : joining)
        node->network.addContacts(contacts);
    fleet.timers.advance(milliseconds(1'000));
    const Endpoint first = joining.front()->network.self().linkEndpoint;
    const std::size_t links = contacts.size() - 1;
    REQUIRE(joining.front()->network.contacts().size() == links);
    return (fleet.hub.sentBytes[first] + fleet.hub.receivedBytes[first]) / links;
}

} // namespace

// Guards against nodes that are late for seconds after they have joined, and with them answers and
// cancellations.
TEST_CASE("mass join: the bytes on each new link do not grow with the failure domain", "[join]")
{
    const std::size_t small = bytesPerLinkToJoin(10, 1);
    const std::size_t large = bytesPerLinkToJoin(60, 1);
    CAPTURE(small, large);
    CHECK(large <= small * 3 / 2);
    const std::size_t many = bytesPerLinkToJoin(60, 30);
    const std::size_t all = bytesPerLinkToJoin(1, 60);
    CAPTURE(many, all);
    CHECK(many <= small * 3 / 2);
    CHECK(all <= small * 3 / 2);
}

namespace {

/** Records what other nodes say about the backend server of an earlier process. */
struct LeftBackendObserver final : public FleetObserver
{
    std::vector<BackendLifetime> left;

    void messageReceived(const std::string &, const FleetMessage &message) override
    {
        if (const BackendLeftMessage *found = std::get_if<BackendLeftMessage>(&message))
            left.push_back(found->backend);
    }
    void linksChanged(const std::string &) override {}
};

} // namespace

// Guards against a restarted owner that takes a late heartbeat of a backend server that has left.
TEST_CASE("a new process learns from its peers which backend server on its VM has left", "[fleet]")
{
    Fleet fleet(3);
    FleetNode &ended = *fleet.nodes.back();
    const BackendLifetime backend{.id = "i", .startedAt = 70};
    SECTION("it was leaving when the process ended")
    {
        ended.network.setStatus({.backend = {.id = "i", .startedAt = 70, .leaving = true}},
                                StatusAudience::Everywhere);
        fleet.timers.advance(milliseconds(10));
        ended.transport.closeAll();
        fleet.timers.advance(milliseconds(5));
        FleetNode successor(fleet.hub, "a", 3, 2);
        LeftBackendObserver observer;
        successor.network.addObserver(observer);
        successor.network.addContacts({fleet.firstContact()});
        fleet.timers.advance(milliseconds(1'000));
        REQUIRE(observer.left.size() == 2);
        CHECK(observer.left[0] == backend);
        CHECK(observer.left[1] == backend);
    }
    SECTION("a link of the same process is replaced")
    {
        ended.network.setStatus({.backend = {.id = "i", .startedAt = 70, .leaving = true}},
                                StatusAudience::Everywhere);
        LeftBackendObserver observer;
        ended.network.addObserver(observer);
        fleet.timers.advance(milliseconds(10));
        ended.transport.closeAll();
        fleet.timers.advance(milliseconds(1'000));
        CHECK(observer.left.empty());
    }
}

TEST_CASE("A node discovers all others through one node of its failure domain", "[fleet]")
{
    Fleet fleet(10);
    FleetNode joining(fleet.hub, "a", 100);
    joining.network.addContacts({fleet.firstContact()});
    fleet.timers.advance(milliseconds(1'000));
    REQUIRE(joining.network.contacts().size() == 10);
}

// Guards against a table of peers that grows with what others claim, and that then keeps nodes out.
TEST_CASE("the number of known peers is bounded, and a peer that greets takes the place of another",
          "[fleet]")
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    FakeLinkTransport transport(hub, Endpoint{"127.0.0.1", 1});
    FleetNetwork network(FleetNetworkOptions{.self = {.node = "self",
                                                      .domain = "a",
                                                      .linkEndpoint = {"127.0.0.1", 1},
                                                      .incarnation = 1},
                                             .maxPeers = 10},
                         transport, timers);
    REQUIRE(network.start().ok());
    std::vector<NodeContact> claimed;
    for (std::uint16_t port = 100; port < 200; ++port)
        claimed.push_back({.node = joinText("claimed-", port),
                           .domain = "a",
                           .linkEndpoint = {"127.0.0.1", port},
                           .incarnation = 1});
    network.addContacts(claimed);
    CHECK(network.peers().size() == 10);
    FleetNode greeting(hub, "a", 2);
    greeting.network.addContacts({network.self()});
    timers.advance(milliseconds(2'000));
    CHECK(network.peers().size() == 10);
    REQUIRE(network.peer("a-2") != nullptr);
    CHECK(network.peer("a-2")->links.size() == 1);
}

TEST_CASE("A node without peers in its failure domain discovers all others through another domain",
          "[fleet]")
{
    Fleet fleet(10);
    FleetNode joining(fleet.hub, "b", 100);
    joining.network.addContacts({fleet.firstContact()});
    fleet.timers.advance(milliseconds(4'000));
    REQUIRE(joining.network.contacts().size() == 10);
}

} // namespace jacinthshift
