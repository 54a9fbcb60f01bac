#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_call_client.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr std::size_t LongBody = 2'000'000;

/** Answers each request at once with a body of a given size. */
class RecordingWorkHandler final : public WorkHandler
{
public:
    std::vector<WorkRequest> requests;
    std::size_t responseBytes = 10;

    std::uint64_t run(const WorkRequest &work, Callback callback) override
    {
        requests.push_back(work);
        callback(WorkResult{.verdict = Verdict::Done,
                            .reachedBackend = true,
                            .response = {.body = std::string(responseBytes, 'r')}});
        return requests.size();
    }
    bool cancel(std::uint64_t) override { return false; }
    BackendStatus status() const override { return {}; }
};

struct LongBodyNode
{
    std::shared_ptr<ByteAccount> account =
            std::make_shared<ByteAccount>(ByteAccountOptions{.limit = 10'000'000});
    FakeLinkTransport transport;
    FleetNetwork network;
    RecordingWorkHandler work;
    CallServer server;
    RemoteCallClient client;

    LongBodyNode(FakeLinkHub &hub, const std::string &name, std::uint16_t port)
        : transport(hub, Endpoint{"127.0.0.1", port})
        , network(FleetNetworkOptions{.self = {.node = name,
                                               .domain = "d",
                                               .linkEndpoint = {"127.0.0.1", port},
                                               .incarnation = 1}},
                  transport, hub.timers)
        , server(CallServerOptions{.account = account, .parts = {.account = account}}, network,
                 hub.timers, work)
        , client(RemoteCallClientOptions{.parts = {.kind = BodyKind::Request,
                                                   .bytesPerSecond = 1'000'000.0},
                                         .account = account},
                 network, hub.timers)
    {
        REQUIRE(network.start().ok());
    }
};

/** Two linked nodes; request bodies take a second per megabyte. */
struct LongBodyNodes
{
    ManualTimerService timers;
    FakeLinkHub hub{timers};
    LongBodyNode caller{hub, "a", 1};
    LongBodyNode owner{hub, "b", 2};
    const std::string body = std::string(LongBody, 'b');
    std::optional<WorkResult> result;

    LongBodyNodes()
    {
        caller.network.addContacts({owner.network.self()});
        timers.advance(milliseconds(100));
    }

    std::uint64_t call(SharedBytes requestBody)
    {
        return caller.client.call(
                "b",
                WorkRequest{.request = {.method = "POST", .body = std::move(requestBody)},
                            .timeLeft = milliseconds(9'000),
                            .targetTimeLeft = milliseconds(1'000)},
                [this](const WorkResult &received) { result = received; });
    }
    void closeLinks()
    {
        for (const LinkId link : caller.network.peer("b")->links)
            caller.transport.close(link);
    }
};

} // namespace

TEST_CASE("a long request body arrives as a whole, and the time that it took is counted")
{
    LongBodyNodes nodes;
    nodes.call(nodes.body);
    nodes.timers.advance(milliseconds(1'500));
    CHECK(nodes.owner.work.requests.empty());
    CHECK(nodes.owner.account->bytes() >= LongBody);
    nodes.timers.advance(milliseconds(1'000));
    REQUIRE(nodes.owner.work.requests.size() == 1);
    const WorkRequest &received = nodes.owner.work.requests.front();
    CHECK((received.request.body == nodes.body));
    CHECK(received.timeLeft < milliseconds(7'200));
    CHECK(received.timeLeft > milliseconds(6'500));
    CHECK(received.targetTimeLeft == milliseconds(0));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::Done);
    nodes.owner.work.requests.clear();
    CHECK(nodes.owner.account->bytes() == 0);
}

// Guards against a request that runs although its caller was told that it has not, or runs twice.
TEST_CASE("a request whose body was on its way when the link was lost has not run and never will")
{
    LongBodyNodes nodes;
    nodes.call(nodes.body);
    nodes.timers.advance(milliseconds(1'000));
    nodes.closeLinks();
    nodes.timers.advance(milliseconds(5'000));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::NotRun);
    CHECK(nodes.owner.work.requests.empty());
    CHECK(nodes.owner.account->bytes() == 0);
}

TEST_CASE("a cancelled request whose body is on its way does not run and frees its room")
{
    LongBodyNodes nodes;
    const std::uint64_t call = nodes.call(nodes.body);
    nodes.timers.advance(milliseconds(1'000));
    nodes.caller.client.cancel(call);
    nodes.timers.advance(milliseconds(3'000));
    CHECK(nodes.owner.work.requests.empty());
    CHECK(nodes.owner.account->bytes() == 0);
}

TEST_CASE("a call without room at its owner is refused at once and has not run")
{
    LongBodyNodes nodes;
    nodes.owner.account->setLimit(1'000'000);
    nodes.call(nodes.body);
    nodes.timers.advance(milliseconds(10));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::NotRun);
    CHECK(nodes.result->refusal == WorkRefusal::Overloaded);
    CHECK(nodes.result->retryAfter > milliseconds(0));
    nodes.timers.advance(milliseconds(3'000));
    CHECK(nodes.owner.work.requests.empty());
}

// Guards against a node that holds more than it can because others answer at the same moment.
TEST_CASE("a long response is sent once the caller's node has room for it")
{
    LongBodyNodes nodes;
    nodes.owner.work.responseBytes = LongBody;
    nodes.caller.account->setLimit(LongBody * 2);
    ByteLease others;
    const SteadyTime now = nodes.timers.now();
    REQUIRE(nodes.caller.account->extend(others, LongBody, {.since = now}, now)
            == LeaseResult::Granted);
    nodes.call("short");
    nodes.timers.advance(milliseconds(1'000));
    CHECK_FALSE(nodes.result.has_value());
    others.reset();
    nodes.timers.advance(milliseconds(1'000));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->response.body.size() == LongBody);
    nodes.result.reset();
    CHECK(nodes.caller.account->bytes() == 0);
}

TEST_CASE("a long response that never fits is given up at once")
{
    LongBodyNodes nodes;
    nodes.owner.work.responseBytes = LongBody;
    nodes.caller.account->setLimit(1'000'000);
    nodes.call("short");
    nodes.timers.advance(milliseconds(20));
    REQUIRE(nodes.result.has_value());
    CHECK(nodes.result->verdict == Verdict::MayHaveRun);
}

} // namespace jacinthshift
