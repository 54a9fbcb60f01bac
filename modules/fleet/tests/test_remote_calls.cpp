#include <catch2/catch.hpp>

#include <optional>
#include <string>
#include <vector>

#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_call_client.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** Keeps the requests that it receives pending until the test finishes them. */
class PendingWorkHandler final : public WorkHandler
{
public:
    std::map<std::uint64_t, Callback> open;
    std::uint64_t lastId = 0;
    int started = 0;
    int cancelled = 0;

    std::uint64_t run(const WorkRequest &, Callback callback) override
    {
        ++started;
        open[++lastId] = std::move(callback);
        return lastId;
    }
    bool cancel(std::uint64_t id) override
    {
        cancelled += static_cast<int>(open.erase(id));
        return false;
    }
    BackendStatus status() const override { return {.concurrencyLimit = 10, .running = 1}; }

    void finishAll()
    {
        const std::map<std::uint64_t, Callback> finished = std::exchange(open, {});
        for (const auto &[id, callback] : finished) {
            callback(WorkResult{.verdict = Verdict::Done,
                                .reachedBackend = true,
                                .response = {.status = 200, .body = "done"}});
        }
    }
};

struct TestNode
{
    FakeLinkTransport transport;
    FleetNetwork network;
    PendingWorkHandler work;
    CallServer server;
    RemoteCallClient client;

    TestNode(FakeLinkHub &hub, const std::string &name, std::uint16_t port,
             std::uint64_t incarnation = 1)
        : transport(hub, Endpoint{"127.0.0.1", port})
        , network(FleetNetworkOptions{.self = {.node = name,
                                               .domain = "d",
                                               .linkEndpoint = {"127.0.0.1", port},
                                               .incarnation = incarnation}},
                  transport, hub.timers)
        , server(CallServerOptions{}, network, hub.timers, work)
        , client(RemoteCallClientOptions{}, network, hub.timers)
    {
        REQUIRE(network.start().ok());
    }
};

struct TwoNodes
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    TestNode a{hub, "a", 1};
    TestNode b{hub, "b", 2};
    std::optional<WorkResult> result;

    TwoNodes()
    {
        a.network.addContacts({b.network.self()});
        timers.advance(milliseconds(100));
    }

    std::uint64_t call()
    {
        return a.client.call("b", WorkRequest{.timeLeft = milliseconds(3'000)},
                             [this](const WorkResult &received) { result = received; });
    }
};

} // namespace

TEST_CASE("a request runs at its owner and its result is returned")
{
    TwoNodes nodes;
    nodes.call();
    nodes.timers.advance(milliseconds(10));
    nodes.b.work.finishAll();
    nodes.timers.advance(milliseconds(10));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::Done);
    CHECK(nodes.result->response.body == "done");
}

TEST_CASE("a reset link delays a request but does not fail it")
{
    TwoNodes nodes;
    nodes.call();
    nodes.timers.advance(milliseconds(10));
    nodes.a.transport.closeAll();
    nodes.timers.advance(milliseconds(5));
    nodes.b.work.finishAll();
    nodes.timers.advance(milliseconds(500));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::Done);
    CHECK(nodes.b.work.started == 1);
}

TEST_CASE("a permanently silent link is replaced and results arrive over the new one")
{
    TwoNodes nodes;
    nodes.call();
    nodes.timers.advance(milliseconds(10));
    nodes.a.transport.silenceOpenLinks();
    nodes.b.work.finishAll();
    nodes.timers.advance(milliseconds(2'500));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::Done);
    CHECK(nodes.b.work.started == 1);
}

TEST_CASE("a call that never arrived is reported as not run and cannot start later")
{
    TwoNodes nodes;
    nodes.a.transport.silenceOpenLinks();
    nodes.call();
    nodes.timers.advance(milliseconds(2'500));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::NotRun);
    CHECK(nodes.b.work.started == 0);
}

TEST_CASE("a call that was reported as not run does not start if it arrives later")
{
    TwoNodes nodes;
    nodes.a.transport.silenceOpenLinks();
    nodes.call();
    nodes.timers.advance(milliseconds(2'000));
    REQUIRE(nodes.result.has_value());
    REQUIRE(nodes.result->verdict == Verdict::NotRun);
    // A CPU-starved process reads its old connection only now, after other calls have arrived.
    nodes.timers.advance(milliseconds(1'900));
    nodes.call();
    nodes.timers.advance(milliseconds(10));
    const int started = nodes.b.work.started;
    nodes.hub.deliverHeldFrames();
    nodes.timers.advance(milliseconds(10));
    CHECK(nodes.b.work.started == started);
}

TEST_CASE("a call whose result is no longer stored is not reported as not run")
{
    TwoNodes nodes;
    nodes.call();
    nodes.timers.advance(milliseconds(10));
    nodes.a.transport.silenceOpenLinks();
    nodes.hub.listeners.clear();
    nodes.b.work.finishAll();
    nodes.timers.advance(milliseconds(3'500));
    nodes.b.server.messageReceived("a", WorkCallMessage{.call = 77});
    nodes.b.server.messageReceived("a", WorkResumeMessage{.callerProcess = 1, .calls = {1}});
    nodes.hub.deliverHeldFrames();
    nodes.timers.advance(milliseconds(10));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict != Verdict::NotRun);
}

TEST_CASE("a call reports that it may have run after the owner's process was replaced")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    TestNode a(hub, "a", 1);
    std::optional<TestNode> b;
    b.emplace(hub, "b", 2, 1);
    a.network.addContacts({b->network.self()});
    timers.advance(milliseconds(100));
    std::optional<WorkResult> result;
    a.client.call("b", WorkRequest{.timeLeft = milliseconds(3'000)},
                  [&](const WorkResult &received) { result = received; });
    timers.advance(milliseconds(10));
    b->transport.closeAll();
    timers.advance(milliseconds(5));
    TestNode successor(hub, "b", 2, 2);
    timers.advance(milliseconds(1'000));
    REQUIRE(result.has_value());
    CHECK(result->verdict == Verdict::MayHaveRun);
}

namespace {

/** Node "a", whose process has made a call to "b" and was then replaced by another process. */
struct RestartedCaller
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    TestNode ended{hub, "a", 1, 1};
    TestNode b{hub, "b", 2, 1};
    std::optional<TestNode> successor;
    std::vector<std::string> answers; ///< Bodies that the successor got.
    std::optional<WorkResult> result; ///< The last one that the successor got.

    RestartedCaller()
    {
        ended.network.addContacts({b.network.self()});
        timers.advance(milliseconds(100));
        callFrom(ended, [](const WorkResult &) {});
        timers.advance(milliseconds(10));
        ended.transport.closeAll();
        timers.advance(milliseconds(5));
        successor.emplace(hub, "a", 1, 2);
        successor->network.addContacts({b.network.self()});
        timers.advance(milliseconds(100));
    }

    static void callFrom(TestNode &node, RemoteCallClient::Callback callback)
    {
        node.client.call("b", WorkRequest{.timeLeft = milliseconds(3'000)}, std::move(callback));
    }
    void callFromSuccessor()
    {
        callFrom(*successor, [this](const WorkResult &received) {
            result = received;
            answers.push_back(received.response.body);
        });
        timers.advance(milliseconds(10));
    }
    /** Ends the oldest call at the owner. */
    void finishOldest(const WorkResult &workResult)
    {
        const auto oldest = b.work.open.begin();
        const WorkHandler::Callback callback = oldest->second;
        b.work.open.erase(oldest);
        callback(workResult);
        timers.advance(milliseconds(10));
    }
};

WorkResult answered(std::string body)
{
    return WorkResult{.verdict = Verdict::Done,
                      .reachedBackend = true,
                      .response = {.status = 200, .body = std::move(body)}};
}

} // namespace

// Guards against bookings that run twice after the caller's node was killed and started again.
TEST_CASE("a refused call of an ended process is not taken for a call of its successor")
{
    RestartedCaller nodes;
    nodes.callFromSuccessor();
    REQUIRE(nodes.b.work.open.size() == 2);
    nodes.finishOldest({.verdict = Verdict::NotRun, .refusal = WorkRefusal::Overloaded});
    CHECK_FALSE(nodes.result.has_value());
    nodes.finishOldest(answered("new"));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->response.body == "new");
    CHECK(nodes.b.server.orphanedCalls() == 1);
}

// Guards against callers that get the answer to a request of another caller.
TEST_CASE("the answer to a call of an ended process does not go to a call of its successor")
{
    RestartedCaller nodes;
    nodes.callFromSuccessor();
    SECTION("in one message")
    {
        nodes.finishOldest(answered("old"));
        nodes.finishOldest(answered("new"));
        CHECK(nodes.answers == std::vector<std::string>{"new"});
    }
    SECTION("in parts")
    {
        const std::string oldBody(200'000, 'o');
        const std::string newBody(200'000, 'n');
        nodes.finishOldest(answered(oldBody));
        nodes.finishOldest(answered(newBody));
        nodes.timers.advance(milliseconds(1'000));
        REQUIRE(nodes.answers.size() == 1);
        CHECK(nodes.answers[0] == newBody);
    }
}

TEST_CASE("a call of an ended process that arrives late does not block its successor's")
{
    RestartedCaller nodes;
    nodes.b.server.messageReceived("a", WorkCallMessage{.callerProcess = 1, .call = 5});
    nodes.b.server.messageReceived("a", WorkCallMessage{.callerProcess = 2, .call = 5});
    nodes.timers.advance(milliseconds(0));
    CHECK(nodes.b.work.started == 3);
    nodes.b.server.messageReceived("a", WorkCancelMessage{.callerProcess = 1, .call = 5});
    CHECK(nodes.b.work.cancelled == 1);
    CHECK(nodes.b.work.open.size() == 2);
}

// Guards against a request that runs at the ended process and is reported as not run by the next.
TEST_CASE("a call to an ended process of which only others have told is not reported as not run")
{
    ManualTimerService timers;
    FakeLinkHub hub(timers);
    TestNode a(hub, "a", 1);
    TestNode ended(hub, "b", 2, 1);
    a.network.addContacts({ended.network.self()});
    timers.advance(milliseconds(100));
    std::optional<WorkResult> result;
    NodeContact successorContact = ended.network.self();
    successorContact.incarnation = 2;
    a.network.addContacts({successorContact});
    a.client.call("b", WorkRequest{.timeLeft = milliseconds(3'000)},
                  [&](const WorkResult &received) { result = received; });
    timers.advance(milliseconds(3));
    ended.transport.closeAll();
    TestNode successor(hub, "b", 2, 2);
    timers.advance(milliseconds(1'500));
    REQUIRE(result.has_value());
    const bool ran = ended.work.started + successor.work.started > 0;
    CHECK((!ran || result->verdict != Verdict::NotRun));
}

TEST_CASE("when the caller cancels a request its owner stops running it")
{
    TwoNodes nodes;
    const std::uint64_t call = nodes.call();
    nodes.timers.advance(milliseconds(10));
    nodes.a.client.cancel(call);
    nodes.timers.advance(milliseconds(10));
    CHECK(nodes.b.work.cancelled == 1);
    CHECK_FALSE(nodes.result.has_value());
    CHECK(nodes.a.client.outstanding("b") == 0);
}

// Guards against work for a caller that left before a late owner read its call.
TEST_CASE("a late owner does not start a call whose cancellation has arrived with it", "[gone]")
{
    TwoNodes nodes;
    const std::uint64_t call = nodes.call();
    nodes.a.client.cancel(call);
    nodes.timers.advance(milliseconds(10));
    CHECK(nodes.b.work.started == 0);
}

// Guards against work that goes on for a caller that was answered, or left, without a link.
TEST_CASE("a call that its caller's node gave up is cancelled over the next link", "[gone]")
{
    TwoNodes nodes;
    const std::map<Endpoint, FakeLinkTransport *> listeners = nodes.hub.listeners;
    std::uint64_t call = 0;
    bool isCancelled = false;
    call = nodes.a.client.call(
            "b", WorkRequest{.idempotent = true, .timeLeft = milliseconds(5'000)},
            [&](const WorkResult &received) { nodes.result = received; },
            [&] {
                nodes.a.client.cancel(call);
                isCancelled = true;
            });
    nodes.timers.advance(milliseconds(10));
    REQUIRE(nodes.b.work.started == 1);
    nodes.hub.listeners.clear();
    SECTION("since the owner was silent")
    {
        nodes.a.transport.silenceOpenLinks();
        nodes.timers.advance(milliseconds(900));
        REQUIRE(isCancelled);
    }
    SECTION("since the link was lost")
    {
        nodes.a.transport.closeAll();
        nodes.timers.advance(milliseconds(900));
        REQUIRE(nodes.result.has_value());
    }
    nodes.hub.listeners = listeners;
    nodes.timers.advance(milliseconds(2'500));
    REQUIRE(nodes.a.network.isReachable(*nodes.a.network.peer("b")));
    CHECK(nodes.b.work.cancelled == 1);
}

TEST_CASE("a call that is cancelled while there is no link is cancelled over the next one",
          "[gone]")
{
    TwoNodes nodes;
    const std::map<Endpoint, FakeLinkTransport *> listeners = nodes.hub.listeners;
    const std::uint64_t call = nodes.call();
    nodes.timers.advance(milliseconds(10));
    nodes.hub.listeners.clear();
    nodes.a.transport.closeAll();
    nodes.timers.advance(milliseconds(10));
    nodes.a.client.cancel(call);
    nodes.hub.listeners = listeners;
    nodes.timers.advance(milliseconds(2'500));
    REQUIRE(nodes.a.network.isReachable(*nodes.a.network.peer("b")));
    CHECK(nodes.b.work.cancelled == 1);
}

TEST_CASE("after loss of a failure domain the owner is suspected in time for a retry elsewhere")
{
    TwoNodes nodes;
    int suspicions = 0;
    nodes.a.client.call(
            "b", WorkRequest{.idempotent = true, .timeLeft = milliseconds(1'200)},
            [&](const WorkResult &received) { nodes.result = received; }, [&] { ++suspicions; });
    nodes.timers.advance(milliseconds(10));
    CHECK(suspicions == 0);
    nodes.hub.listeners.clear();
    nodes.a.transport.silenceOpenLinks();
    nodes.timers.advance(milliseconds(890));
    CHECK(suspicions > 0);
    CHECK_FALSE(nodes.result.has_value());
    CHECK_FALSE(nodes.a.network.isReachable(*nodes.a.network.peer("b")));
}

TEST_CASE("nodes discover each other through a node that both know")
{
    TwoNodes nodes;
    TestNode c(nodes.hub, "c", 3);
    c.network.addContacts({nodes.b.network.self()});
    nodes.timers.advance(milliseconds(1'000));
    const FleetPeer *peer = c.network.peer("a");
    REQUIRE(peer != nullptr);
    CHECK(c.network.isReachable(*peer));
}

} // namespace jacinthshift
