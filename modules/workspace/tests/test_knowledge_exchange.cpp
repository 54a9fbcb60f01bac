#include <catch2/catch.hpp>

#include <memory>

#include "core/text.h"
#include "modules/workspace/key_check.h"
#include "modules/workspace/knowledge_exchange.h"
#include "tests/support/fake_link_hub.h"
#include "tests/support/manual_boot_clock.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds RevokeTime{5'000};

/** A node that asks others, and answers them. */
struct AskingNode
{
    std::string name;
    ManualBootClock &clock;
    FakeLinkTransport transport;
    FleetNetwork network;
    KnowledgeAge knowledge;
    KnowledgeExchange exchange;
    bool reads = false; ///< It reads the store, at every step of the clock.
    bool knows = true;  ///< The store answers its reads.

    AskingNode(FakeLinkHub &hub, ManualBootClock &bootClock, const std::string &domain,
               std::uint16_t port)
        : name(joinText(domain, "-", port))
        , clock(bootClock)
        , transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name,
                            .domain = domain,
                            .linkEndpoint = {"127.0.0.1", port},
                            .incarnation = 1},
                   .randomSeed = port},
                  transport, hub.timers)
        , exchange({.randomSeed = port}, network, hub.timers, bootClock, knowledge,
                   [] { return true; })
    {
        REQUIRE(network.start().ok());
        knowledge.installed(1);
    }

    void step()
    {
        network.setStatus({.readsLog = reads}, StatusAudience::Nobody);
        if (reads && knows)
            knowledge.tableRead(clock.now());
    }
    milliseconds age() const { return knowledge.age(clock.now()).value_or(milliseconds(1 << 30)); }
};

/** Nodes whose boot clocks are the same and run with the timers. */
struct AskingMesh
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    ManualBootClock clock;
    std::vector<std::unique_ptr<AskingNode>> nodes;
    std::uint16_t lastPort = 0;

    AskingNode &add(const std::string &domain, bool reads)
    {
        nodes.push_back(std::make_unique<AskingNode>(hub, clock, domain, ++lastPort));
        nodes.back()->reads = reads;
        nodes.back()->step();
        std::vector<NodeContact> contacts;
        for (const auto &node : nodes)
            contacts.push_back(node->network.self());
        for (const auto &node : nodes)
            node->network.addContacts(contacts);
        return *nodes.back();
    }
    /** Returns the greatest age of a node's knowledge at the steps of this time. */
    milliseconds advance(milliseconds time, const AskingNode &observed)
    {
        milliseconds greatest(0);
        for (milliseconds passed(0); passed < time; passed += milliseconds(50)) {
            clock.advance(milliseconds(50));
            timers.advance(milliseconds(50));
            for (const auto &node : nodes)
                node->step();
            greatest = std::max(greatest, observed.age());
        }
        return greatest;
    }
};

std::uint64_t questionsOf(const AskingNode &node, bool otherDomain)
{
    const std::size_t kind = FleetMessage(KnowledgeQuestionMessage()).index();
    return node.network.sentFrames(kind, otherDomain).frames;
}

} // namespace

// Guards against nodes that refuse keys although they have contact to a reader, and against more
// questions than about one a second.
TEST_CASE("a node that does not read the store learns from a reader of its own domain")
{
    AskingMesh mesh;
    mesh.add("a", true);
    mesh.add("a", true);
    mesh.add("b", true);
    AskingNode &node = mesh.add("a", false);
    mesh.advance(milliseconds(3'000), node);
    const std::uint64_t before = questionsOf(node, false);
    CHECK(mesh.advance(milliseconds(20'000), node) <= milliseconds(1'700));
    CHECK(questionsOf(node, false) - before <= 20);
    CHECK(questionsOf(node, true) == 0);
    CHECK(questionsOf(*mesh.nodes.front(), false) == 0);
}

// Guards against nodes that ask one reader for ever although it has lost the store or its link.
TEST_CASE("a node asks another reader when one does not answer or lost the store")
{
    AskingMesh mesh;
    AskingNode &first = mesh.add("a", true);
    AskingNode &second = mesh.add("a", true);
    mesh.add("b", true);
    AskingNode &node = mesh.add("a", false);
    mesh.advance(milliseconds(3'000), node);
    const bool silent = GENERATE(false, true);
    if (silent) {
        first.transport.silenceOpenLinks();
    } else {
        first.reads = false;
        second.reads = false;
    }
    CHECK(mesh.advance(milliseconds(15'000), node) <= milliseconds(3'200));
    CHECK(node.age() <= milliseconds(2'000));
}

// Guards against a domain without readers whose nodes refuse all keys.
TEST_CASE("a node asks a reader of another domain if its own has none")
{
    AskingMesh mesh;
    mesh.add("b", true);
    mesh.add("a", false);
    AskingNode &node = mesh.add("a", false);
    mesh.advance(milliseconds(3'000), node);
    CHECK(mesh.advance(milliseconds(10'000), node) <= milliseconds(1'700));
    CHECK(questionsOf(node, true) > 0);
}

// Guards against an answer that was delayed in a link and counts from its arrival.
TEST_CASE("a delayed answer counts from when its question was sent")
{
    AskingMesh mesh;
    AskingNode &reader = mesh.add("a", false);
    reader.reads = true;
    reader.knows = false; // Its own answers contain no age.
    AskingNode &node = mesh.add("a", false);
    while (questionsOf(node, false) == 0)
        mesh.advance(milliseconds(50), node);
    const BootTime asked = mesh.clock.now(); // At most 50 ms after the question was sent.
    mesh.advance(milliseconds(3'000), node);
    REQUIRE(questionsOf(node, false) > 1);
    CHECK_FALSE(node.knowledge.age(mesh.clock.now()).has_value());
    const KnowledgeAnswerMessage late{.number = 1, .configVersion = 1, .age = milliseconds(100)};
    node.exchange.messageReceived(reader.name, late);
    const auto sinceAsked = std::chrono::duration_cast<milliseconds>(mesh.clock.now() - asked);
    CHECK(node.age() >= sinceAsked + milliseconds(100));
    CHECK(node.age() <= sinceAsked + milliseconds(150));
    // An answer to a question that this process did not ask changes nothing.
    node.exchange.messageReceived(reader.name, KnowledgeAnswerMessage{.number = 1'000'000,
                                                                      .configVersion = 1,
                                                                      .age = milliseconds(0)});
    CHECK(node.age() >= sinceAsked + milliseconds(100));
}

// Guards against keys that are accepted for longer than the revoke time on a node that is cut off
// or whose readers have lost the store, and against a node that does not recover.
TEST_CASE("keys become unverified within the revoke time without contact, and verified after it")
{
    AskingMesh mesh;
    AskingNode &reader = mesh.add("a", true);
    AskingNode &node = mesh.add("a", false);
    KeyCheck check({.revokeTime = RevokeTime}, node.knowledge, mesh.clock);
    check.setWorkspaces(std::vector<Workspace>{});
    mesh.advance(milliseconds(3'000), node);
    CHECK(check.isVerified());
    const bool storeAway = GENERATE(true, false);
    if (storeAway)
        reader.reads = false;
    else
        mesh.nodes.front()->transport.silenceOpenLinks();
    const BootTime lostAt = mesh.clock.now();
    if (!storeAway) {
        // The other node may open a new link, so this one is cut off from it as well.
        for (int i = 0; i < 100; ++i) {
            mesh.advance(milliseconds(50), node);
            reader.transport.silenceOpenLinks();
            if (!check.isVerified())
                break;
        }
    } else {
        while (check.isVerified() && mesh.clock.now() - lostAt < milliseconds(6'000))
            mesh.advance(milliseconds(50), node);
    }
    CHECK_FALSE(check.isVerified());
    CHECK(mesh.clock.now() - lostAt >= milliseconds(3'000)); // 0.6 of the revoke time.
    CHECK(mesh.clock.now() - lostAt <= RevokeTime);
    reader.reads = true;
    mesh.advance(milliseconds(6'000), node);
    CHECK(check.isVerified());
}

// Guards against a frozen node that accepts keys when it wakes up, before it asked a reader.
TEST_CASE("after a freeze keys are unverified until a reader has answered")
{
    AskingMesh mesh;
    mesh.add("a", true);
    AskingNode &node = mesh.add("a", false);
    KeyCheck check({.revokeTime = RevokeTime}, node.knowledge, mesh.clock);
    check.setWorkspaces(std::vector<Workspace>{});
    mesh.advance(milliseconds(3'000), node);
    CHECK(check.isVerified());
    mesh.clock.advance(milliseconds(6'000)); // The timers do not notice.
    CHECK_FALSE(check.isVerified());
    mesh.advance(milliseconds(1'000), node);
    CHECK(check.isVerified());
}

// Guards against a node that just started and accepts keys from a configuration of unknown age.
TEST_CASE("a started node accepts no keys before its first confirmation")
{
    AskingMesh mesh;
    AskingNode &node = mesh.add("a", false);
    KeyCheck check({.revokeTime = RevokeTime}, node.knowledge, mesh.clock);
    check.setWorkspaces(std::vector<Workspace>{});
    CHECK_FALSE(check.isVerified());
    mesh.add("a", true);
    mesh.advance(milliseconds(2'000), node);
    CHECK(check.isVerified());
}

} // namespace jacinthshift
