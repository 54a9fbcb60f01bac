#include <catch2/catch.hpp>

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
                std::uint16_t port)
        : transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name, .domain = "d", .linkEndpoint = {"127.0.0.1", port}}},
                  transport, hub.timers)
        , owner({.node = name, .service = "s"}, http, hub.timers, poison, observer)
        , controller({.node = name}, network, hub.timers, rolloutRegister, owner)
    {
        REQUIRE(network.start().ok());
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
    node.controller.setOrder(rolloutToV2, 1);
    CHECK(node.controller.chooseVersion("s").excludedVersion == "v2");
}

TEST_CASE("a node that starts while the log is unreachable receives the outcome from its peers")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister rolloutRegister;
    rolloutRegister.entry = {.targetVersion = "v2", .outcome = RolloutOutcome::Completed};
    RolloutNode peer(hub, rolloutRegister, "a", 1);
    peer.controller.setOrder(rolloutToV2, 1);
    rolloutRegister.unavailable = true;
    RolloutNode restarted(hub, rolloutRegister, "b", 2);
    restarted.network.addContacts({peer.network.self()});
    SECTION("when the order arrives before the progress message")
    {
        restarted.controller.setOrder(rolloutToV2, 1);
    }
    timers.advance(milliseconds(600));
    restarted.controller.setOrder(rolloutToV2, 1);
    CHECK(restarted.controller.chooseVersion("s").requiredVersion == "v2");
}

TEST_CASE("a new version gets no requests before the register has been read")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister rolloutRegister;
    rolloutRegister.unavailable = true;
    RolloutNode node(hub, rolloutRegister, "a", 1);
    node.controller.setOrder(rolloutToV2, 1);
    for (int i = 0; i < 100; ++i)
        CHECK(node.controller.chooseVersion("s").excludedVersion == "v2");
}

} // namespace jacinthshift
