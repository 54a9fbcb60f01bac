#include <algorithm>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/fleet/fleet_network.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t Domains = 5;
constexpr std::size_t LinksPerService = LinkPlanOptions{}.linksPerService;
constexpr std::size_t LinksPerRelayDomain = LinkPlanOptions{}.linksPerRelayDomain;

/** The contacts of a mesh with two services and five failure domains. */
std::vector<NodeContact> makeContacts(std::uint16_t count)
{
    std::vector<NodeContact> contacts;
    for (std::uint16_t i = 0; i < count; ++i) {
        const std::string domain = joinText("d", i % Domains);
        contacts.push_back(NodeContact{.node = joinText(domain, "-", i),
                                       .domain = domain,
                                       .linkEndpoint = {"127.0.0.1", std::uint16_t(i + 1)},
                                       .incarnation = 1,
                                       .service = i / Domains % 2 == 0 ? "dispatch" : "fleet",
                                       .relayCapacity = i < 2 * Domains ? 20U : 2U});
    }
    return contacts;
}

std::vector<LinkPlanNode> othersOf(const NodeContact &self,
                                   const std::vector<NodeContact> &contacts)
{
    std::vector<LinkPlanNode> nodes;
    for (const NodeContact &contact : contacts) {
        if (contact.node != self.node)
            nodes.push_back(LinkPlanNode{.contact = &contact});
    }
    return nodes;
}

} // namespace

TEST_CASE("large mesh: links to other failure domains do not grow with the number of nodes",
          "[plan]")
{
    const LinkPlan plan(LinkPlanOptions{});
    for (const std::uint16_t size : {120, 300, 1'000}) {
        const std::vector<NodeContact> contacts = makeContacts(size);
        for (const bool relay : {false, true}) {
            const std::set<std::string> chosen =
                    plan.choose(contacts[0], relay, othersOf(contacts[0], contacts));
            const std::size_t ownDomain = size / Domains - 1;
            const std::size_t perDomain = 2 * LinksPerService + (relay ? LinksPerRelayDomain : 0);
            CHECK(chosen.size() <= ownDomain + (Domains - 1) * perDomain);
            CHECK(chosen.size() >= ownDomain + (Domains - 1) * 2 * LinksPerService);
        }
    }
}

TEST_CASE("large mesh: all nodes of a service are chosen about equally often", "[plan]")
{
    const LinkPlan plan(LinkPlanOptions{});
    const std::vector<NodeContact> contacts = makeContacts(300);
    std::map<std::string, std::size_t> timesChosen;
    for (const NodeContact &self : contacts) {
        for (const std::string &node : plan.choose(self, false, othersOf(self, contacts)))
            ++timesChosen[node];
    }
    const std::size_t ownDomain = 300 / Domains - 1;
    // On average each is chosen by 4 of the 30 owners' places of each of 240 nodes, that is 32.
    for (const NodeContact &contact : contacts) {
        CHECK(timesChosen[contact.node] - ownDomain >= 12);
        CHECK(timesChosen[contact.node] - ownDomain <= 60);
    }
}

TEST_CASE("a mesh of up to a hundred nodes links to all", "[plan]")
{
    const LinkPlan plan(LinkPlanOptions{});
    const std::vector<NodeContact> contacts = makeContacts(100);
    CHECK(plan.choose(contacts[0], false, othersOf(contacts[0], contacts)).size() == 99);
}

TEST_CASE("loss of a failure domain: unreachable nodes are replaced within bounds", "[plan]")
{
    const LinkPlan plan(LinkPlanOptions{});
    const std::vector<NodeContact> contacts = makeContacts(300);
    std::vector<LinkPlanNode> nodes = othersOf(contacts[0], contacts);
    const std::set<std::string> before = plan.choose(contacts[0], false, nodes);
    const auto isChosenOther = [&](const LinkPlanNode &node) {
        return node.contact->domain == "d1" && before.contains(node.contact->node);
    };
    std::find_if(nodes.begin(), nodes.end(), isChosenOther)->unreachable = true;
    const std::set<std::string> after = plan.choose(contacts[0], false, nodes);
    CHECK(after.size() == before.size() + 1);
    CHECK(std::includes(after.begin(), after.end(), before.begin(), before.end()));
    for (LinkPlanNode &node : nodes)
        node.unreachable = node.contact->domain == "d1";
    const std::set<std::string> lost = plan.choose(contacts[0], false, nodes);
    CHECK(lost.size() == before.size() + 2 * LinksPerService);
}

namespace {

struct PlannedNode
{
    FakeLinkTransport transport;
    FleetNetwork network;

    PlannedNode(FakeLinkHub &hub, const NodeContact &contact)
        : transport(hub, contact.linkEndpoint)
        , network({.self = contact, .randomSeed = contact.linkEndpoint.port}, transport, hub.timers)
    {
        REQUIRE(network.start().ok());
    }
};

struct PlannedMesh
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    std::vector<NodeContact> contacts = makeContacts(150);
    std::vector<std::unique_ptr<PlannedNode>> nodes;

    PlannedMesh()
    {
        for (const NodeContact &contact : contacts)
            nodes.push_back(std::make_unique<PlannedNode>(hub, contact));
        for (const std::unique_ptr<PlannedNode> &node : nodes)
            node->network.addContacts(contacts);
        timers.advance(milliseconds(3'000));
    }

    static std::size_t linkedPeers(const PlannedNode &node)
    {
        return static_cast<std::size_t>(
                std::count_if(node.network.peers().begin(), node.network.peers().end(),
                              [](const auto &entry) { return !entry.second.links.empty(); }));
    }
};

} // namespace

TEST_CASE("large mesh: every node can reach owners of each service in each failure domain, and the "
          "relays of all failure domains reach each other",
          "[plan]")
{
    PlannedMesh mesh;
    std::size_t relays = 0;
    for (const std::unique_ptr<PlannedNode> &node : mesh.nodes) {
        std::map<std::string, std::size_t> reachable;
        for (const auto &[name, peer] : node->network.peers()) {
            if (node->network.isReachable(peer))
                ++reachable[peer.contact.domain + " " + peer.contact.service];
        }
        CHECK(reachable.size() == 2 * Domains);
        for (const auto &[group, count] : reachable)
            CHECK(count >= LinksPerService);
        CHECK(node->network.needsRelays());
        CHECK(node->network.peers().size() == 149);
        if (!node->network.isRelay())
            continue;
        ++relays;
        CHECK(node->network.otherDomainRelays().size() == 2 * (Domains - 1));
    }
    CHECK(relays == 2 * Domains);
}

TEST_CASE("large mesh: the relays are replaced when they end", "[plan]")
{
    PlannedMesh mesh;
    const auto isRelayOfFirst = [](const std::unique_ptr<PlannedNode> &node) {
        return node->network.self().domain == "d0" && node->network.isRelay();
    };
    for (int ended = 0; ended < 2; ++ended) {
        const auto relay = std::find_if(mesh.nodes.begin(), mesh.nodes.end(), isRelayOfFirst);
        REQUIRE(relay != mesh.nodes.end());
        mesh.hub.listeners.erase((*relay)->network.self().linkEndpoint);
        (*relay)->transport.closeAll();
        mesh.timers.advance(milliseconds(5));
        mesh.nodes.erase(relay);
    }
    mesh.timers.advance(milliseconds(3'000));
    CHECK(std::count_if(mesh.nodes.begin(), mesh.nodes.end(), isRelayOfFirst) == 2);
    for (const std::unique_ptr<PlannedNode> &node : mesh.nodes) {
        if (node->network.isRelay())
            CHECK(node->network.otherDomainRelays().size() == 2 * (Domains - 1));
    }
}

} // namespace jacinthshift
