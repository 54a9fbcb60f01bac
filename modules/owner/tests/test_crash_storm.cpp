#include <catch2/catch.hpp>

#include <memory>
#include <numeric>
#include <string>
#include <vector>

#include "core/random.h"
#include "core/text.h"
#include "modules/owner/crash_exchange.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** A node of a mesh that is too large for links to all nodes. */
struct StormNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    PoisonRegistry registry{PoisonRegistryOptions{}};
    CrashExchange crashes;

    StormNode(FakeLinkHub &hub, std::uint16_t port, std::size_t domains, std::uint64_t incarnation)
        : transport(hub, Endpoint{"127.0.0.1", port})
        , network(FleetNetworkOptions{.self = {.node = joinText("n", port),
                                               .domain = joinText("d", port % domains),
                                               .linkEndpoint = {"127.0.0.1", port},
                                               .incarnation = incarnation,
                                               .service = joinText("s", port % 2)},
                                      .randomSeed = port,
                                      .linkPlan = {.fullMeshNodes = 10, .linksPerService = 2}},
                  transport, hub.timers)
        , crashes(CrashExchangeOptions{}, network, hub.timers, registry)
    {
        REQUIRE(network.start().ok());
    }

    /** What an owner does for a request that was running when its backend server crashed. */
    void crash(std::uint64_t fingerprint, const std::string &backend, SteadyTime now)
    {
        if (registry.recordCrash(fingerprint, backend, now))
            crashes.report(fingerprint, backend);
    }
    /** What an owner does for a request that has succeeded. */
    void succeed(std::uint64_t fingerprint)
    {
        if (!registry.isSuspect(fingerprint))
            return;
        registry.removeSuspect(fingerprint);
        crashes.reportCleared(fingerprint);
    }
    /** Frames sent, without those that a mesh without crashes sends as well. */
    std::uint64_t crashFrames() const
    {
        std::uint64_t frames = 0;
        for (std::size_t type = 0; type < std::variant_size_v<FleetMessage>; ++type) {
            if (type != FleetMessage(StatusMessage{}).index()
                && type != FleetMessage(ContactsFetchMessage{}).index()
                && type != FleetMessage(ContactsMessage{}).index()
                && type != FleetMessage(ProbeMessage{}).index())
                frames += network.sentFrames(type, false).frames
                          + network.sentFrames(type, true).frames;
        }
        return frames;
    }
};

/** Nodes of four failure domains. Their links are of different speeds, so messages overtake. */
struct StormMesh
{
    static constexpr std::uint16_t Nodes = 120;
    static constexpr std::size_t Domains = 4;
    /** More than this is a storm, which the model does not follow to its end. */
    static constexpr std::uint64_t FrameLimit = 400'000;

    ManualTimerService timers;
    FakeLinkHub hub{timers};
    Random random;
    std::vector<std::unique_ptr<StormNode>> nodes;
    std::vector<NodeContact> contacts;

    explicit StormMesh(std::uint64_t seed) : random(seed)
    {
        for (std::uint16_t port = 1; port <= Nodes; ++port) {
            nodes.push_back(std::make_unique<StormNode>(hub, port, Domains, 1));
            contacts.push_back(nodes.back()->network.self());
        }
        for (const std::unique_ptr<StormNode> &node : nodes)
            node->network.addContacts(contacts);
        timers.advance(milliseconds(3'000));
        for (const NodeContact &contact : contacts)
            hub.bandwidth[contact.linkEndpoint] = 200'000.0 * (1.0 + 9.0 * random.uniform());
    }

    StormNode &anyNode() { return *nodes.at(random.below(nodes.size())); }
    std::uint64_t crashFrames() const
    {
        return std::accumulate(nodes.begin(), nodes.end(), std::uint64_t{0},
                               [](std::uint64_t sum, const std::unique_ptr<StormNode> &node) {
                                   return sum + node->crashFrames();
                               });
    }
    /** Advances the clock; ends early in a storm. */
    void advance(milliseconds time)
    {
        const SteadyTime end = timers.now() + time;
        while (timers.now() < end && crashFrames() < FrameLimit)
            timers.advance(milliseconds(1));
    }
    /** Returns the time until the last frame about crashes was sent. */
    milliseconds runUntilQuiet()
    {
        const SteadyTime begin = timers.now();
        SteadyTime lastSent = begin;
        std::uint64_t frames = crashFrames();
        while (timers.now() - lastSent < milliseconds(1'000)
               && timers.now() - begin < milliseconds(20'000) && frames < FrameLimit) {
            advance(milliseconds(10));
            if (crashFrames() == frames)
                continue;
            frames = crashFrames();
            lastSent = timers.now();
        }
        return std::chrono::duration_cast<milliseconds>(lastSent - begin);
    }
    std::size_t countRefusing(std::uint64_t fingerprint) const
    {
        std::size_t refusing = 0;
        for (const std::unique_ptr<StormNode> &node : nodes)
            refusing += node->registry.isRefused(fingerprint, timers.now()) ? 1 : 0;
        return refusing;
    }
    std::size_t countSuspecting(std::uint64_t fingerprint) const
    {
        std::size_t suspecting = 0;
        for (const std::unique_ptr<StormNode> &node : nodes)
            suspecting += node->registry.isSuspect(fingerprint) ? 1 : 0;
        return suspecting;
    }
    /** Closes the links of a node's process, which must not open any others until it is removed. */
    void closeLinks(StormNode &node)
    {
        node.transport.closeAll();
        timers.advance(milliseconds(2));
        for (const auto &[name, peer] : node.network.peers())
            REQUIRE((peer.links.empty() && peer.dialing == LinkId::None));
    }
    /** Replaces the process of a node. */
    StormNode &restart(std::size_t index)
    {
        // No frame may be under way to the process that is removed.
        hub.bandwidth.clear();
        timers.advance(milliseconds(500));
        closeLinks(*nodes.at(index));
        nodes.at(index).reset();
        const auto port = static_cast<std::uint16_t>(index + 1);
        nodes.at(index) = std::make_unique<StormNode>(hub, port, Domains, 2);
        nodes.at(index)->network.addContacts(contacts);
        timers.advance(milliseconds(2'000));
        return *nodes.at(index);
    }
    /** Removes a node for good. */
    void remove(std::size_t index)
    {
        closeLinks(*nodes.at(index));
        hub.listeners.erase(nodes.at(index)->network.self().linkEndpoint);
        nodes.erase(nodes.begin() + static_cast<std::ptrdiff_t>(index));
    }
};

constexpr std::size_t CrashCount = 6;
constexpr std::size_t RequestsPerCrash = 4;

} // namespace

// Guards against a few crashes that keep all nodes of a large mesh busy with their reports for
// good.
TEST_CASE("reports of crashes and clearances in a large mesh end soon, with few frames",
          "[crash_storm]")
{
    const std::uint64_t seed = GENERATE(range(1, 5));
    StormMesh mesh(seed);
    // The copies of a request run on several servers, so its crashes and successes overlap.
    for (std::uint64_t crash = 0; crash < CrashCount; ++crash) {
        StormNode &node = mesh.anyNode();
        for (std::uint64_t request = 0; request < RequestsPerCrash; ++request)
            node.crash(crash / 2 * 10 + request, joinText("i-", crash, "#1"), mesh.timers.now());
        mesh.advance(milliseconds(mesh.random.below(40)));
        for (std::uint64_t success = 0; success < 2 * RequestsPerCrash; ++success)
            mesh.anyNode().succeed(crash / 2 * 10 + mesh.random.below(RequestsPerCrash));
    }
    const milliseconds time = mesh.runUntilQuiet();
    INFO("seed " << seed << ": " << mesh.crashFrames() << " frames in " << time.count() << " ms");
    // A report reaches each node twice at most, and so does a clearance.
    REQUIRE(mesh.crashFrames() <= CrashCount * 2 * 2 * 2 * StormMesh::Nodes);
    CHECK(time <= milliseconds(3'000));
    for (std::uint64_t group = 0; group < CrashCount / 2; ++group) {
        for (std::uint64_t request = 0; request < RequestsPerCrash; ++request) {
            const std::size_t suspecting = mesh.countSuspecting(group * 10 + request);
            CHECK((suspecting == 0 || suspecting == StormMesh::Nodes));
            const std::size_t refusing = mesh.countRefusing(group * 10 + request);
            CHECK((refusing == 0 || refusing == StormMesh::Nodes));
        }
    }
}

// Guards against frames that grow with the number of requests that run when a server crashes.
TEST_CASE("a crash with many running requests takes few frames in a large mesh", "[crash_storm]")
{
    StormMesh mesh(1);
    for (std::uint64_t request = 0; request < 50; ++request)
        mesh.nodes.at(0)->crash(request, "i-1#1", mesh.timers.now());
    const milliseconds time = mesh.runUntilQuiet();
    INFO(mesh.crashFrames() << " frames in " << time.count() << " ms");
    REQUIRE(mesh.crashFrames() <= 6 * StormMesh::Nodes);
    CHECK(time <= milliseconds(2'000));
    for (std::uint64_t request = 0; request < 50; ++request)
        CHECK(mesh.countSuspecting(request) == StormMesh::Nodes);
}

// Guards against a rate of frames that grows with the number of crashes.
TEST_CASE("crashes without end take a bounded number of frames in a large mesh", "[crash_storm]")
{
    StormMesh mesh(1);
    StormNode &node = *mesh.nodes.at(0);
    const auto crashFor = [&](milliseconds time) {
        for (milliseconds passed{0}; passed < time; passed += milliseconds(10)) {
            const std::uint64_t crash = mesh.random.below(~0ULL);
            for (std::uint64_t request = 0; request < 20; ++request)
                node.crash(crash + request, joinText("i-", crash), mesh.timers.now());
            mesh.timers.advance(milliseconds(10));
        }
    };
    crashFor(milliseconds(1'000));
    const std::uint64_t frames = mesh.crashFrames();
    crashFor(milliseconds(3'000));
    INFO(mesh.crashFrames() - frames << " frames in 3 s");
    // At most 7 messages a second and link; each node gets its reports from two relays.
    CHECK(mesh.crashFrames() - frames <= 3 * 7 * 3 * StormMesh::Nodes);
}

// Guards against crashes that a part of the mesh never learns of, as the relays ended before they
// passed them on and the others took them for relays until then.
TEST_CASE("crashes that ended relays have not passed on reach all failure domains", "[crash_storm]")
{
    StormMesh mesh(1);
    std::vector<std::size_t> relays;
    std::size_t origin = 0;
    for (std::size_t index = 0; index < mesh.nodes.size(); index += StormMesh::Domains) {
        if (mesh.nodes.at(index)->network.isRelay())
            relays.push_back(index);
        else
            origin = index;
    }
    REQUIRE(relays.size() == 2);
    for (const std::size_t relay : relays)
        mesh.nodes.at(relay)->transport.silenceOpenLinks();
    mesh.nodes.at(origin)->crash(7, "i-1#1", mesh.timers.now());
    mesh.timers.advance(milliseconds(500));
    REQUIRE(mesh.countSuspecting(7) < StormMesh::Nodes / 2);
    mesh.remove(relays.back());
    mesh.remove(relays.front());
    mesh.timers.advance(milliseconds(3'000));
    CHECK(mesh.countSuspecting(7) == StormMesh::Nodes - 2);
}

// Guards against a late report that brings a cleared crash back, and against a clearance that hides
// crashes after it.
TEST_CASE("in a large mesh a crash counts until it is cleared and never again", "[crash_storm]")
{
    StormMesh mesh(GENERATE(range(1, 4)));
    mesh.anyNode().crash(7, "i-1#1", mesh.timers.now());
    mesh.runUntilQuiet();
    CHECK(mesh.countSuspecting(7) == StormMesh::Nodes);
    mesh.anyNode().succeed(7);
    mesh.runUntilQuiet();
    REQUIRE(mesh.countSuspecting(7) == 0);
    SECTION("a crash that is already cleared is no news")
    {
        const std::uint64_t frames = mesh.crashFrames();
        mesh.anyNode().crash(7, "i-1#1", mesh.timers.now());
        mesh.runUntilQuiet();
        CHECK(mesh.crashFrames() == frames);
        CHECK(mesh.countSuspecting(7) == 0);
    }
    SECTION("crashes of other lifetimes are counted, and a new process learns of them")
    {
        mesh.anyNode().crash(7, "i-1#2", mesh.timers.now());
        mesh.runUntilQuiet();
        CHECK(mesh.countSuspecting(7) == StormMesh::Nodes);
        CHECK(mesh.countRefusing(7) == 0);
        mesh.anyNode().crash(7, "i-2#1", mesh.timers.now());
        mesh.advance(milliseconds(1'000));
        CHECK(mesh.countRefusing(7) == StormMesh::Nodes);
        CHECK(mesh.restart(mesh.random.below(StormMesh::Nodes))
                      .registry.isRefused(7, mesh.timers.now()));
    }
    SECTION("a new process is not told of a cleared crash")
    {
        CHECK_FALSE(mesh.restart(5).registry.isSuspect(7));
        mesh.runUntilQuiet();
        CHECK(mesh.countSuspecting(7) == 0);
    }
}

} // namespace jacinthshift
