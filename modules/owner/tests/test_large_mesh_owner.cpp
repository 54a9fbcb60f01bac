#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_call_client.h"
#include "modules/owner/backend_owner.h"
#include "tests/support/fake_http_client.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr std::uint16_t VmCount = 300;
constexpr std::uint16_t Domains = 5;
constexpr milliseconds Step{100};

NodeContact contactOf(std::uint16_t number, std::uint64_t incarnation = 1)
{
    const std::string domain = joinText("d", number % Domains);
    return {.node = joinText(domain, "-", number),
            .domain = domain,
            .linkEndpoint = {"127.0.0.1", std::uint16_t(number + 1)},
            .incarnation = incarnation,
            .service = "s"};
}

/** A node that forwards requests and has no backend server. */
struct Sender
{
    FakeLinkTransport transport;
    FleetNetwork network;
    RemoteCallClient calls;

    Sender(FakeLinkHub &hub, const NodeContact &self)
        : transport(hub, self.linkEndpoint)
        , network({.self = self, .randomSeed = self.linkEndpoint.port}, transport, hub.timers)
        , calls(RemoteCallClientOptions{}, network, hub.timers)
    {
        REQUIRE(network.start().ok());
    }
};

/** One process of the node beside the backend server. */
struct OwnerProcess final : public OwnerObserver, public FleetObserver
{
    FakeLinkTransport transport;
    FleetNetwork network;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    BackendOwner owner;
    CallServer server;

    OwnerProcess(FakeLinkHub &hub, HttpClient &http, const NodeContact &self)
        : transport(hub, self.linkEndpoint)
        , network({.self = self, .randomSeed = self.incarnation}, transport, hub.timers)
        , owner({.node = self.node,
                 .service = "s",
                 .headers = {.requestId = "Id",
                             .seal = "Seal",
                             .requestRateLimit = "Limit",
                             .leaving = "Leaving"}},
                http, hub.timers, poison, *this)
        , server(CallServerOptions{}, network, hub.timers, owner)
    {
        network.addObserver(*this);
        REQUIRE(network.start().ok());
    }

    void ownerStatusChanged() override
    {
        network.setStatus({.backend = owner.status()}, StatusAudience::Everywhere);
    }
    void requestSuspected(std::uint64_t, const std::string &) override {}
    void requestCleared(std::uint64_t) override {}
    void messageReceived(const std::string &, const FleetMessage &message) override
    {
        if (const BackendLeftMessage *left = std::get_if<BackendLeftMessage>(&message))
            owner.backendLeft(left->backend);
    }
    void linksChanged(const std::string &) override {}
};

/** All nodes of a large mesh send requests to the owner of one backend server. */
struct LargeMesh
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    FakeHttpClient http;
    std::vector<NodeContact> contacts;
    std::vector<std::unique_ptr<Sender>> senders;
    std::unique_ptr<OwnerProcess> process;
    std::vector<std::unique_ptr<OwnerProcess>> ended; ///< The hub still refers to them.
    std::vector<HttpHeader> answerHeaders{{"Seal", "x"}};
    std::vector<std::size_t> sentByStep{0}; ///< Requests that have reached the backend server.
    int lastRequest = 0;

    LargeMesh()
    {
        for (std::uint16_t number = 0; number < VmCount; ++number)
            contacts.push_back(contactOf(number));
        for (std::uint16_t number = 1; number < VmCount; ++number)
            senders.push_back(std::make_unique<Sender>(hub, contacts[number]));
        for (const std::unique_ptr<Sender> &sender : senders)
            sender->network.addContacts(contacts);
        startProcess(1);
        timers.advance(milliseconds(2'000));
    }

    void startProcess(std::uint64_t incarnation)
    {
        contacts[0] = contactOf(0, incarnation);
        process = std::make_unique<OwnerProcess>(hub, http, contacts[0]);
        process->network.addContacts(contacts);
        heartbeat();
    }
    void restartProcess()
    {
        hub.listeners.erase(contacts[0].linkEndpoint);
        process->transport.closeAll();
        process->owner.setLeaving(); // An ended process starts nothing from its queue.
        ended.push_back(std::move(process));
        const std::uint64_t incarnation = contacts[0].incarnation + 1;
        // What the ended process ran stays without an answer.
        http.pendingExchanges.clear();
        timers.advance(milliseconds(50));
        startProcess(incarnation);
    }
    void heartbeat()
    {
        REQUIRE(process->owner
                        .heartbeat(BackendHeartbeat{.id = "i",
                                                    .service = "s",
                                                    .version = "v1",
                                                    .endpoint = {"127.0.0.1", 80},
                                                    .slots = 18,
                                                    .sequence = 1,
                                                    .startedAt = 70})
                        .ok());
    }
    void runFor(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += Step) {
            for (const std::unique_ptr<Sender> &sender : senders) {
                const FleetPeer *peer = sender->network.peer(contacts[0].node);
                if (peer == nullptr || !sender->network.isReachable(*peer))
                    continue;
                const std::string id = std::to_string(++lastRequest);
                sender->calls.call(
                        contacts[0].node,
                        WorkRequest{.request = {.target = "/" + id, .headers = {{"Id", id}}},
                                    .route = "r",
                                    .service = "s",
                                    .timeLeft = milliseconds(1'000),
                                    .targetTimeLeft = milliseconds(400)},
                        [](const WorkResult &) {});
            }
            timers.advance(Step);
            for (std::size_t open = http.pendingExchanges.size(); open > 0; --open)
                http.respond(200, answerHeaders);
            sentByStep.push_back(http.sentRequests.size());
        }
    }
    std::size_t step() const { return sentByStep.size() - 1; }
    std::size_t mostInFourSeconds(std::size_t firstStep) const
    {
        const std::size_t steps = static_cast<std::size_t>(milliseconds(4'000) / Step);
        std::size_t most = 0;
        for (std::size_t end = firstStep + steps; end < sentByStep.size(); ++end)
            most = std::max(most, sentByStep[end] - sentByStep[end - steps]);
        return most;
    }
};

} // namespace

// Guards against a limit that holds for each node by itself, or only until the owner's restart.
TEST_CASE("large mesh: a backend server's named limit holds for all nodes together", "[largemesh]")
{
    LargeMesh mesh;
    mesh.runFor(milliseconds(1'000));
    mesh.answerHeaders.push_back({"Limit", "3"});
    mesh.runFor(milliseconds(500));
    const std::size_t begin = mesh.step();
    for (int restart = 0; restart < 3; ++restart) {
        mesh.runFor(milliseconds(3'000));
        mesh.restartProcess();
    }
    mesh.runFor(milliseconds(3'000));
    // One and a half times what the limit allows in 4 s, and 5 more.
    CHECK(mesh.mostInFourSeconds(begin) <= 1.5 * 4 * 3 + 5);
    CHECK(mesh.sentByStep.back() - mesh.sentByStep[begin] >= 0.5 * 12 * 3);
}

// Guards against a backend server in use after it said that it leaves, once its owner restarted.
TEST_CASE("large mesh: a backend server that says it leaves gets nothing more", "[largemesh]")
{
    LargeMesh mesh;
    mesh.runFor(milliseconds(1'000));
    REQUIRE(mesh.http.sentRequests.size() > 10);
    mesh.answerHeaders.push_back({"Leaving", "1"});
    mesh.runFor(milliseconds(500));
    const std::size_t sent = mesh.http.sentRequests.size();
    mesh.runFor(milliseconds(2'000));
    CHECK(mesh.http.sentRequests.size() == sent);
    mesh.restartProcess();
    mesh.timers.advance(milliseconds(1'000));
    mesh.heartbeat();
    mesh.runFor(milliseconds(3'000));
    CHECK(mesh.http.sentRequests.size() == sent);
}

} // namespace jacinthshift
