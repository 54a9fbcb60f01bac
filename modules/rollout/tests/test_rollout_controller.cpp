#include <catch2/catch.hpp>

#include <memory>
#include <vector>

#include "core/text.h"
#include "modules/rollout/rollout_controller.h"
#include "tests/support/fake_http_client.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** Stores one entry; all calls fail while `unavailable` is set. */
class FakeRegister final : public RolloutRegister
{
public:
    RolloutEntry entry;
    bool unavailable = false;

    void read(const std::string &, ReadCallback callback) override
    {
        if (unavailable)
            callback(absl::UnavailableError("down"));
        else
            callback(entry);
    }
    void write(const std::string &, const RolloutEntry &written, WriteCallback callback) override
    {
        if (unavailable) {
            callback(absl::UnavailableError("down"));
            return;
        }
        entry = written;
        callback(absl::OkStatus());
    }
};

struct NullObserver final : public OwnerObserver
{
    void ownerStatusChanged() override {}
    void requestSuspected(std::uint64_t, const std::string &) override {}
    void requestCleared(std::uint64_t) override {}
};

struct RolloutNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    FakeHttpClient http;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    NullObserver observer;
    BackendOwner owner;
    RolloutController controller;

    RolloutNode(FakeLinkHub &hub, FakeRegister &rolloutRegister, const std::string &name,
                std::uint16_t port, const std::string &domain = "d",
                const LinkPlanOptions &linkPlan = {})
        : transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name,
                            .domain = domain,
                            .linkEndpoint = {"127.0.0.1", port},
                            .service = "s"},
                   .randomSeed = port,
                   .linkPlan = linkPlan},
                  transport, hub.timers)
        , owner({.node = name, .service = "s"}, http, hub.timers, poison, observer)
        , controller({.node = name}, network, hub.timers, rolloutRegister, owner)
    {
        REQUIRE(network.start().ok());
    }
};

/** Nodes of three failure domains that have links to few nodes of the others. */
struct LargeMesh
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    FakeRegister rolloutRegister;
    std::vector<std::unique_ptr<RolloutNode>> nodes;

    LargeMesh()
    {
        std::vector<NodeContact> contacts;
        for (std::uint16_t port = 1; port <= 36; ++port) {
            const std::string domain = joinText("d", port % 3);
            nodes.push_back(std::make_unique<RolloutNode>(
                    hub, rolloutRegister, joinText(domain, "-", port), port, domain,
                    LinkPlanOptions{.fullMeshNodes = 10, .linksPerService = 1}));
            contacts.push_back(nodes.back()->network.self());
        }
        for (const std::unique_ptr<RolloutNode> &node : nodes)
            node->network.addContacts(contacts);
        timers.advance(milliseconds(2'000));
    }

    /**
     * Lets a node report requests to the new version of which all failed, to the nodes of its own
     * failure domain: it may have no link to a node that has links to the other reporters.
     */
    void reportFailures(std::size_t index, std::uint64_t requests)
    {
        RolloutNode &node = *nodes.at(index);
        const VersionEvidenceMessage report{
                .node = node.network.self().node,
                .sequence = 1,
                .service = "s",
                .version = "v2",
                .backend = "i",
                .routes = {{.route = "r", .counts = {.requests = requests, .failures = requests}}}};
        for (const auto &[name, peer] : node.network.peers()) {
            if (node.network.isInOwnDomain(peer))
                node.network.send(name, report);
        }
    }
};

const RolloutOrder rolloutToV2{
        .service = "s", .targetVersion = "v2", .duration = milliseconds(15'000)};

} // namespace

TEST_CASE("a node that starts later adopts the outcome in the register")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister rolloutRegister;
    rolloutRegister.entry = {.targetVersion = "v2", .outcome = RolloutOutcome::RolledBack};
    RolloutNode node(hub, rolloutRegister, "a", 1);
    node.controller.setOrder(rolloutToV2, {.offset = 1});
    CHECK(node.controller.chooseVersion("s").excludedVersion == "v2");
}

TEST_CASE("a node that starts while the log is unreachable receives the outcome from its peers")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister rolloutRegister;
    rolloutRegister.entry = {.targetVersion = "v2", .outcome = RolloutOutcome::Completed};
    RolloutNode peer(hub, rolloutRegister, "a", 1);
    peer.controller.setOrder(rolloutToV2, {.offset = 1});
    rolloutRegister.unavailable = true;
    RolloutNode restarted(hub, rolloutRegister, "b", 2);
    restarted.network.addContacts({peer.network.self()});
    SECTION("when the order arrives before the progress message")
    {
        restarted.controller.setOrder(rolloutToV2, {.offset = 1});
    }
    timers.advance(milliseconds(600));
    restarted.controller.setOrder(rolloutToV2, {.offset = 1});
    CHECK(restarted.controller.chooseVersion("s").requiredVersion == "v2");
}

TEST_CASE("a new version gets no requests before the register has been read")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister rolloutRegister;
    rolloutRegister.unavailable = true;
    RolloutNode node(hub, rolloutRegister, "a", 1);
    node.controller.setOrder(rolloutToV2, {.offset = 1});
    for (int i = 0; i < 100; ++i)
        CHECK(node.controller.chooseVersion("s").excludedVersion == "v2");
}

// Guards against evidence that stays in the failure domain in which it was found, in a mesh whose
// nodes do not link to all others.
TEST_CASE("large mesh: failures spread over three failure domains are added up on every node")
{
    LargeMesh mesh;
    for (const std::unique_ptr<RolloutNode> &node : mesh.nodes)
        node->controller.setOrder(rolloutToV2, {.offset = 1});
    // No two of the three reports are enough for a verdict.
    mesh.reportFailures(0, 2);
    mesh.timers.advance(milliseconds(1'000));
    mesh.reportFailures(1, 2);
    mesh.timers.advance(milliseconds(1'000));
    REQUIRE(mesh.rolloutRegister.entry.outcome == RolloutOutcome::Open);
    mesh.reportFailures(2, 2);
    mesh.timers.advance(milliseconds(1'000));
    for (const std::unique_ptr<RolloutNode> &node : mesh.nodes)
        CHECK(node->controller.chooseVersion("s").excludedVersion == "v2");
    CHECK(mesh.rolloutRegister.entry.outcome == RolloutOutcome::RolledBack);
}

// Guards against a rollout that begins again, or whose outcome the operator never sees, because the
// store came back from a copy that was made before the end.
TEST_CASE("after a restore of the log the outcome of a rollout is written again")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister rolloutRegister;
    const RolloutOutcome outcome = GENERATE(RolloutOutcome::Completed, RolloutOutcome::RolledBack);
    rolloutRegister.entry = {.targetVersion = "v2", .outcome = outcome};
    RolloutNode node(hub, rolloutRegister, "a", 1);
    node.controller.setOrder(rolloutToV2, {.offset = 1});
    timers.advance(milliseconds(1'000));
    SECTION("the copy lacks the rollout")
    {
        rolloutRegister.entry = {};
    }
    SECTION("the copy has it in progress")
    {
        rolloutRegister.entry = {.targetVersion = "v2", .outcome = RolloutOutcome::Open};
    }
    node.controller.logRestored();
    node.controller.setOrder(rolloutToV2, {.era = 1, .offset = 0});
    timers.advance(milliseconds(3'000));
    CHECK(rolloutRegister.entry.targetVersion == "v2");
    CHECK(rolloutRegister.entry.outcome == outcome);
    const VersionChoice choice = node.controller.chooseVersion("s");
    CHECK((outcome == RolloutOutcome::Completed ? choice.requiredVersion : choice.excludedVersion)
          == "v2");
    SECTION("and a new order of the operator begins a rollout")
    {
        RolloutOrder next = rolloutToV2;
        next.targetVersion = "v3";
        node.controller.setOrder(next, {.era = 1, .offset = 3});
        timers.advance(milliseconds(1'000));
        CHECK(rolloutRegister.entry.targetVersion == "v3");
    }
}

} // namespace jacinthshift
