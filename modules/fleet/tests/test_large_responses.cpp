#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_call_client.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr double NarrowLink = 1'500'000.0; // Bytes per second: 12 Mbit/s.
constexpr std::size_t LargeBody = 90'000;
constexpr milliseconds ServiceTime{200};
constexpr milliseconds TargetLatency{800};

/** Answers each request after its service time: large bodies for "large", short ones for others. */
class TimedWorkHandler final : public WorkHandler
{
    TimerService &m_timers;

public:
    int started = 0;

    explicit TimedWorkHandler(TimerService &timers) : m_timers(timers) {}

    std::uint64_t run(const WorkRequest &work, Callback callback) override
    {
        const bool large = work.route == "large";
        m_timers.startOnce(large ? ServiceTime : milliseconds(20), [callback, large] {
            callback(WorkResult{
                    .verdict = Verdict::Done,
                    .reachedBackend = true,
                    .response = {.body = large ? std::string(LargeBody, 'x') : "short"}});
        });
        return static_cast<std::uint64_t>(++started);
    }
    bool cancel(std::uint64_t) override { return false; }
    BackendStatus status() const override { return {.concurrencyLimit = 18}; }
};

struct LargeResponseNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    TimedWorkHandler work;
    CallServer server;
    RemoteCallClient client;

    LargeResponseNode(FakeLinkHub &hub, const std::string &name, std::uint16_t port)
        : transport(hub, Endpoint{"127.0.0.1", port})
        , network(FleetNetworkOptions{.self = {.node = name,
                                               .domain = "d",
                                               .linkEndpoint = {"127.0.0.1", port},
                                               .incarnation = 1}},
                  transport, hub.timers)
        , work(hub.timers)
        , server(CallServerOptions{.parts = {.bytesPerSecond = 0.92 * NarrowLink},
                                   .budget = {.bytesPerSecond = 0.92 * NarrowLink}},
                 network, hub.timers, work)
        , client(RemoteCallClientOptions{}, network, hub.timers)
    {
        REQUIRE(network.start().ok());
    }
};

/** How a call ended and after what time. */
struct CallOutcome
{
    WorkResult result;
    milliseconds after{0};
};

/** An owner on a narrow link and the node that calls it. */
struct NarrowOwner
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    LargeResponseNode caller{hub, "a", 1};
    LargeResponseNode owner{hub, "b", 2};
    std::vector<CallOutcome> large;
    std::vector<CallOutcome> shortOnes;

    NarrowOwner()
    {
        hub.bandwidth[Endpoint{"127.0.0.1", 2}] = NarrowLink;
        caller.network.addContacts({owner.network.self()});
        timers.advance(milliseconds(100));
    }

    std::uint64_t call(const std::string &route, bool isCallerRetry = false,
                       milliseconds targetLeft = TargetLatency)
    {
        const SteadyTime sentAt = timers.now();
        std::vector<CallOutcome> &outcomes = route == "large" ? large : shortOnes;
        return caller.client.call("b",
                                  WorkRequest{.route = route,
                                              .isCallerRetry = isCallerRetry,
                                              .timeLeft = milliseconds(4'000),
                                              .targetTimeLeft = targetLeft},
                                  [this, sentAt, &outcomes](const WorkResult &result) {
                                      outcomes.push_back(
                                              {result, std::chrono::duration_cast<milliseconds>(
                                                               timers.now() - sentAt)});
                                  });
    }
    /** Lets the owner learn how large the route's responses are. */
    void warmUp()
    {
        call("large");
        timers.advance(milliseconds(1'000));
        REQUIRE(large.size() == 1);
        large.clear();
    }
};

milliseconds longest(const std::vector<CallOutcome> &outcomes)
{
    milliseconds most(0);
    for (const CallOutcome &outcome : outcomes)
        most = std::max(most, outcome.after);
    return most;
}

} // namespace

TEST_CASE("a large response arrives whole", "[large]")
{
    NarrowOwner mesh;
    mesh.call("large");
    mesh.timers.advance(milliseconds(1'000));
    REQUIRE(mesh.large.size() == 1);
    CHECK(mesh.large.front().result.response.body == std::string(LargeBody, 'x'));
}

TEST_CASE("a large response arrives whole although its link is lost half way", "[large]")
{
    NarrowOwner mesh;
    mesh.call("large");
    mesh.timers.advance(ServiceTime + milliseconds(30));
    mesh.owner.transport.closeAll();
    mesh.timers.advance(milliseconds(1'500));
    REQUIRE(mesh.large.size() == 1);
    CHECK(mesh.large.front().result.verdict == Verdict::Done);
    CHECK(mesh.large.front().result.response.body == std::string(LargeBody, 'x'));
    CHECK(mesh.owner.work.started == 1);
}

TEST_CASE("when the caller leaves, the rest of its large response is not sent", "[large]")
{
    NarrowOwner mesh;
    const std::uint64_t call = mesh.call("large");
    mesh.timers.advance(ServiceTime + milliseconds(20));
    mesh.caller.client.cancel(call);
    mesh.timers.advance(milliseconds(1'000));
    CHECK(mesh.large.empty());
    CHECK(mesh.hub.sentBytes[Endpoint{"127.0.0.1", 2}] < LargeBody);
    CHECK(mesh.owner.server.responseBacklog() == milliseconds(0));
}

TEST_CASE("surge of large responses on a narrow link: short responses are not delayed", "[large]")
{
    NarrowOwner mesh;
    for (int i = 0; i < 10; ++i)
        mesh.call("large");
    mesh.timers.advance(ServiceTime);
    for (int i = 0; i < 30; ++i) {
        mesh.call("short");
        mesh.timers.advance(milliseconds(20));
    }
    mesh.timers.advance(milliseconds(3'000));
    CHECK(mesh.large.size() == 10);
    REQUIRE(mesh.shortOnes.size() == 30);
    // The service time of 20 ms, and parts of 32 KB that are ahead on the link.
    CHECK(longest(mesh.shortOnes) <= milliseconds(60));
}

TEST_CASE("large responses for half as much again as a narrow link carries: what is admitted is in "
          "time, the rest is refused at once, and the link stays in use",
          "[large]")
{
    NarrowOwner mesh;
    mesh.warmUp();
    constexpr int Requests = 250; // 25 a second; the link carries 16.
    for (int i = 0; i < Requests; ++i) {
        mesh.call("large");
        mesh.timers.advance(milliseconds(40));
    }
    mesh.timers.advance(milliseconds(2'000));
    REQUIRE(mesh.large.size() == Requests);
    int inTime = 0;
    for (const CallOutcome &outcome : mesh.large) {
        if (outcome.result.verdict == Verdict::Done) {
            ++inTime;
            CHECK(outcome.after <= TargetLatency);
            continue;
        }
        CHECK(outcome.result.verdict == Verdict::NotRun);
        CHECK(outcome.result.refusal == WorkRefusal::LinkBusy);
        CHECK(outcome.result.retryAfter.count() > 0);
        CHECK(outcome.after <= milliseconds(60));
    }
    // 10 s at 0.92 of 1.5 MB/s are 153 responses.
    CHECK(inTime >= 140);
}

TEST_CASE("a caller that returns to a busy narrow link finds room before new callers", "[large]")
{
    NarrowOwner mesh;
    mesh.warmUp();
    for (int i = 0; i < 20; ++i)
        mesh.call("large");
    mesh.timers.advance(milliseconds(60));
    const std::size_t refused = mesh.large.size();
    REQUIRE(refused > 0);
    // It was refused 60 ms ago, so it has less time left than a new caller.
    mesh.call("large", false);
    mesh.call("large", true, TargetLatency - milliseconds(60));
    mesh.timers.advance(milliseconds(40));
    CHECK(mesh.large.size() == refused + 1);
    mesh.timers.advance(milliseconds(2'000));
    CHECK(mesh.large.back().result.verdict == Verdict::Done);
    CHECK(mesh.large.back().after <= TargetLatency);
}

} // namespace jacinthshift
