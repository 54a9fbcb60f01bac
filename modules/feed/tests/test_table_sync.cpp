#include <algorithm>
#include <memory>
#include <vector>

#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/feed/table_sync.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** A node with the objects that maintain its copy of the table. */
struct TableNode
{
    std::uint32_t relayCapacity;
    FakeLinkTransport transport;
    FleetNetwork network;
    OperatorTable table;
    TableFollower follower;
    TableSync sync;

    TableNode(FakeLinkHub &hub, FakeKeyedLog &log, std::uint16_t port, milliseconds longPollWait)
        : relayCapacity(port)
        , transport(hub, Endpoint{"127.0.0.1", port})
        , network({.self = {.node = joinText("a-", port),
                            .domain = "a",
                            .linkEndpoint = {"127.0.0.1", port},
                            .incarnation = 1},
                   .randomSeed = port},
                  transport, hub.timers)
        , follower({.table = "t", .longPollWait = longPollWait}, log, hub.timers, table)
        , sync({.relayCapacity = relayCapacity, .randomSeed = port}, network, hub.timers, table,
               follower)
    {
        REQUIRE(network.start().ok());
    }

    void updateStatus()
    {
        network.setStatus({.tableEnd = table.position(),
                           .readsLog = follower.isActive() && follower.isReachable(),
                           .relayCapacity = relayCapacity},
                          StatusAudience::Nobody);
    }
};

struct TableMesh
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    FakeKeyedLog log{timers};
    milliseconds longPollWait{25'000}; ///< Longer than most tests, so that reads can be counted.
    std::vector<std::unique_ptr<TableNode>> nodes;

    void addNode()
    {
        const auto port = static_cast<std::uint16_t>(nodes.size() + 1);
        nodes.push_back(std::make_unique<TableNode>(hub, log, port, longPollWait));
        std::vector<NodeContact> contacts;
        for (const std::unique_ptr<TableNode> &node : nodes)
            contacts.push_back(node->network.self());
        for (const std::unique_ptr<TableNode> &node : nodes)
            node->network.addContacts(contacts);
        nodes.back()->follower.setActive(true);
    }
    void advance(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(50)) {
            timers.advance(milliseconds(50));
            for (const std::unique_ptr<TableNode> &node : nodes)
                node->updateStatus();
        }
    }
    /** Silences all open connections, between the nodes and to the log. New ones work. */
    void silenceOpenConnections()
    {
        for (const std::unique_ptr<TableNode> &node : nodes)
            node->transport.silenceOpenLinks();
        log.losePendingReads();
    }
    /** Returns how many nodes know all records before an offset. */
    std::ptrdiff_t nodesWithTableEnd(std::uint64_t offset) const
    {
        return std::count_if(nodes.begin(), nodes.end(),
                             [offset](const auto &node) { return node->table.end() >= offset; });
    }
    std::size_t readerCount() const
    {
        return static_cast<std::size_t>(
                std::count_if(nodes.begin(), nodes.end(),
                              [](const auto &node) { return node->follower.isActive(); }));
    }
};

} // namespace

TEST_CASE("when many nodes start each reads the table once and only the readers follow it")
{
    TableMesh mesh;
    mesh.log.put("t", "config", "r1");
    for (int i = 0; i < 8; ++i)
        mesh.addNode();
    mesh.advance(milliseconds(4'000));
    CHECK(mesh.readerCount() == 2);
    // One first read by each node and one long poll by each reader.
    CHECK(mesh.log.callCount <= 8 + 2);
    mesh.log.put("t", "config", "r2");
    mesh.advance(milliseconds(1'500));
    for (const std::unique_ptr<TableNode> &node : mesh.nodes)
        CHECK(node->table.end() == 2);
}

TEST_CASE("a node that starts during an outage of the log fetches the table from other nodes")
{
    TableMesh mesh;
    mesh.log.put("t", "config", "r1");
    for (int i = 0; i < 3; ++i)
        mesh.addNode();
    mesh.advance(milliseconds(4'000));
    mesh.log.unavailable = true;
    mesh.addNode();
    mesh.advance(milliseconds(1'500));
    CHECK(mesh.nodes.back()->table.end() == 1);
}

// Guards against nodes of a large failure domain that stay on an older configuration because their
// links to the readers are dead and count as reachable until four heartbeats are missed.
TEST_CASE("when all open connections go silent every node has a change within three seconds")
{
    TableMesh mesh;
    mesh.longPollWait = TableFollowerOptions().longPollWait;
    mesh.log.put("t", "config", "r1");
    const std::size_t nodeCount = GENERATE(4, 54);
    for (std::size_t i = 0; i < nodeCount; ++i)
        mesh.addNode();
    mesh.advance(milliseconds(6'000));
    mesh.silenceOpenConnections();
    mesh.advance(milliseconds(400));
    mesh.log.put("t", "config", "r2");
    mesh.advance(milliseconds(2'600));
    CHECK(mesh.nodesWithTableEnd(2) == static_cast<std::ptrdiff_t>(nodeCount));
}

// Guards against nodes that ignore what was written after a restore of the log.
TEST_CASE("after restores of the log all nodes follow it from its new end")
{
    TableMesh mesh;
    mesh.longPollWait = TableFollowerOptions().longPollWait;
    mesh.log.put("t", "config", "r1");
    mesh.log.put("t", "config", "r2");
    for (int i = 0; i < 5; ++i)
        mesh.addNode();
    mesh.advance(milliseconds(4'000));
    const std::uint64_t restores = GENERATE(1U, 2U);
    for (std::uint64_t i = 0; i < restores; ++i) {
        mesh.log.restoreWithout("t", 1);
        mesh.advance(milliseconds(300));
    }
    mesh.addNode();
    mesh.advance(milliseconds(2'000));
    mesh.log.put("t", "config", "r3");
    mesh.advance(milliseconds(2'500));
    const TablePosition end{.era = restores, .offset = 3 - restores};
    for (const std::unique_ptr<TableNode> &node : mesh.nodes)
        CHECK(node->table.position() == end);
}

// Guards against links that are filled with whole tables when all nodes return after a restore and
// answers take longer than the time after which a fetch is repeated.
TEST_CASE("after a restore a node fetches few whole tables however late the answers are")
{
    TableMesh mesh;
    mesh.log.restoreWithout("t", 0);
    mesh.log.put("t", "config", std::string(100'000, 'x'));
    for (int i = 0; i < 6; ++i) {
        mesh.addNode();
        // A whole table takes a second.
        mesh.hub.bandwidth[Endpoint{"127.0.0.1", static_cast<std::uint16_t>(i + 1)}] = 500.0;
    }
    mesh.advance(milliseconds(12'000));
    std::size_t fetches = 0;
    for (const std::unique_ptr<TableNode> &node : mesh.nodes) {
        const std::size_t type = FleetMessage(TableFetchMessage()).index();
        fetches += node->network.sentFrames(type, false).frames;
    }
    CHECK(fetches <= 2 * mesh.nodes.size());
}

} // namespace jacinthshift
