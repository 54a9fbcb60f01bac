#include <catch2/catch.hpp>

#include "modules/rollout/rollout_controller.h"
#include "tests/support/fake_http_client.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** Holds one entry; every call fails while it is down. */
class FakeRegister final : public RolloutRegister
{
public:
    RolloutEntry entry;
    bool down = false;

    void read(const std::string &, ReadCallback callback) override
    {
        if (down)
            callback(absl::UnavailableError("down"));
        else
            callback(entry);
    }
    void write(const std::string &, const RolloutEntry &written, WriteCallback callback) override
    {
        if (down) {
            callback(absl::UnavailableError("down"));
            return;
        }
        entry = written;
        callback(absl::OkStatus());
    }
};

struct NoObserver final : public OwnerObserver
{
    void ownerChanged() override {}
    void requestSuspected(std::uint64_t, const std::string &) override {}
    void requestCleared(std::uint64_t) override {}
};

struct RolloutNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    FakeHttpClient http;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    NoObserver observer;
    BackendOwner owner;
    RolloutController controller;

    RolloutNode(FakeLinkHub &hub, FakeRegister &outcomes, const std::string &name,
                std::uint16_t port)
        : transport(hub, {"127.0.0.1", port})
        , network({.self = {.node = name, .domain = "d", .links = {"127.0.0.1", port}}}, transport,
                  hub.timers)
        , owner({.node = name, .service = "s"}, http, hub.timers, poison, observer)
        , controller({.node = name}, network, hub.timers, outcomes, owner)
    {
        REQUIRE(network.start().ok());
    }
};

const RolloutOrder moveToV2{
        .service = "s", .targetVersion = "v2", .duration = milliseconds(15'000)};

} // namespace

TEST_CASE("an outcome in the register holds for a node that starts later")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister outcomes;
    outcomes.entry = {.targetVersion = "v2", .outcome = RolloutOutcome::RolledBack};
    RolloutNode node(hub, outcomes, "a", 1);
    node.controller.setOrder(moveToV2, 1);
    CHECK(node.controller.nextRequest("s").excluded == "v2");
}

TEST_CASE("a node that starts while the log is away learns the outcome from the others")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister outcomes;
    outcomes.entry = {.targetVersion = "v2", .outcome = RolloutOutcome::Completed};
    RolloutNode old(hub, outcomes, "a", 1);
    old.controller.setOrder(moveToV2, 1);
    outcomes.down = true;
    RolloutNode restarted(hub, outcomes, "b", 2);
    restarted.network.addContacts({old.network.self()});
    SECTION("when it hears of the order first")
    {
        restarted.controller.setOrder(moveToV2, 1);
    }
    timers.advance(milliseconds(600));
    restarted.controller.setOrder(moveToV2, 1);
    CHECK(restarted.controller.nextRequest("s").only == "v2");
}

TEST_CASE("without a word of the register a new version gets nothing yet")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    FakeRegister outcomes;
    outcomes.down = true;
    RolloutNode node(hub, outcomes, "a", 1);
    node.controller.setOrder(moveToV2, 1);
    for (int i = 0; i < 100; ++i)
        CHECK(node.controller.nextRequest("s").excluded == "v2");
}

} // namespace jacinthshift
