// Drives the hot paths of a mesh node in one process, for counting instructions with callgrind. Two
// runs that differ only in --rounds give the instructions of a round: the difference of the totals,
// divided by the difference of the rounds. docs/design/processor-time.md has the commands.
//
// processor_study --part=P --rounds=N
//
// Parts: requests (a call from the caller's node to an owner and back, both nodes' work, no
// sockets), heartbeats (one second of a node with links to 64 peers, no sockets), links (a frame to
// a peer and back over loopback), http (an exchange between HTTP client and server over loopback),
// log (a log line).
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>

#include <gflags/gflags.h>
#include <glib.h>

#include "core/logger.h"
#include "core/text.h"
#include "drivers/beast/beast_http_client.h"
#include "drivers/beast/beast_http_server.h"
#include "drivers/epoll/epoll_loop.h"
#include "drivers/websocket/websocket_link_transport.h"
#include "modules/fleet/message_codec.h"
#include "modules/forwarding/forwarder.h"
#include "modules/owner/backend_owner.h"
#include "platform/wire_names.h"
#include "tests/support/manual_timer_service.h"

DEFINE_string(part, "requests", "what to run: requests, heartbeats, links, http or log");
DEFINE_uint32(rounds, 1'000, "number of requests, seconds, frames, exchanges or lines");
DEFINE_uint32(peers, 64, "number of peers of the caller's node");
DEFINE_bool(compressed, false, "compress the frames of the part 'links'");
DEFINE_bool(log, true,
            "write the log lines of the part 'requests', as far as the rate limit allows");

using namespace jacinthshift;

namespace {

constexpr std::uint32_t DomainCount = 4;
constexpr std::uint32_t ServiceCount = 4;
constexpr LinkId OwnerLink{1}; ///< At the owner's node, to the caller's node.
const Endpoint httpEndpoint{"127.0.0.1", 39'481};
const Endpoint linkEndpoint{"127.0.0.1", 39'482};
const Endpoint secondlinkEndpoint{"127.0.0.1", 39'483};

/** A transport whose frames the study delivers. */
class StudyTransport final : public LinkTransport
{
public:
    std::function<void(LinkId, const std::string &)> sent;

    absl::Status start(LinkObserver &) override { return absl::OkStatus(); }
    LinkId connect(const Endpoint &) override { return LinkId::None; }
    bool send(LinkId link, const std::string &frame) override
    {
        sent(link, frame);
        return true;
    }
    bool sendUncompressed(LinkId link, const std::string &frame) override
    {
        return send(link, frame);
    }
    std::size_t queuedBytes(LinkId) const override { return 0; }
    std::size_t unacknowledgedBytes(LinkId) const override { return 0; }
    void setCompression(LinkId, bool) override {}
    void close(LinkId) override {}
};

/** An HTTP client that keeps the callback of the last request. */
class StudyHttpClient final : public HttpClient
{
public:
    Callback callback;

    HttpCallId send(const HttpSendOptions &, const HttpRequest &, Callback done) override
    {
        callback = std::move(done);
        return HttpCallId{1};
    }
    void cancel(HttpCallId) override {}
};

struct NoVersions final : public VersionPolicy
{
    VersionChoice chooseVersion(const std::string &) override { return {}; }
};

struct NoOwnerObserver final : public OwnerObserver
{
    void ownerStatusChanged() override {}
    void requestSuspected(std::uint64_t, const std::string &) override {}
    void requestCleared(std::uint64_t) override {}
};

struct CountingResponder final : public HttpResponder
{
    std::uint32_t &successes;

    explicit CountingResponder(std::uint32_t &counter) : successes(counter) {}
    void respond(const HttpResponse &response) override
    {
        successes += response.status == 200 ? 1 : 0;
    }
    void onCallerGone(std::function<void()>) override {}
};

HttpRequest sampleRequest()
{
    const HeaderNames names = wire::headerNames();
    return HttpRequest{.method = "POST",
                       .target = "/claims/v2/status?claim=48151623&lang=en",
                       .headers = {{"Host", "claims.example"},
                                   {names.requestId, "6f1c2d3e-7a5b-4c1d-9e8f-001122334455"},
                                   {names.deadline, "900"},
                                   {"User-Agent", "load/1.4"},
                                   {"Accept", "application/json"},
                                   {"Content-Type", "application/json"},
                                   {"Accept-Encoding", "identity"}},
                       .body = std::string(300, 'b')};
}

HttpResponse sampleResponse()
{
    const HeaderNames names = wire::headerNames();
    return HttpResponse{.status = 200,
                        .headers = {{"Content-Type", "application/json"},
                                    {names.requestId, "6f1c2d3e-7a5b-4c1d-9e8f-001122334455"},
                                    {names.seal, "0123456789abcdef0123456789abcdef"},
                                    {names.load, "3,0,8"},
                                    {names.instance, "claims-17"},
                                    {"Date", "Mon, 06 Jul 2026 10:00:00 GMT"}},
                        .body = std::string(400, 'r')};
}

NodeContact contact(std::uint32_t index)
{
    return NodeContact{.node = joinText("vm-", 1'000 + index),
                       .domain = joinText("domain-", index % DomainCount),
                       .linkEndpoint = {"10.0.0.1", static_cast<std::uint16_t>(1'000 + index)},
                       .incarnation = 1'780'000'000'000U + index,
                       .service = joinText("service-", index % ServiceCount)};
}

StatusMessage status(std::uint32_t index)
{
    return StatusMessage{.tableEnd = {.offset = 1'234},
                         .relayCapacity = 10,
                         .backend = {.availability = BackendAvailability::Ready,
                                     .id = joinText("backend-", index),
                                     .startedAt = 1'780'000'001'000U + index,
                                     .service = joinText("service-", index % ServiceCount),
                                     .version = "v1",
                                     .concurrencyLimit = 8,
                                     .running = 2,
                                     .serviceTime = std::chrono::milliseconds(120)}};
}

/** A caller's node with peers, and one owner's node that runs the requests for all of them. */
class StudyMesh
{
    struct Delivery
    {
        bool toOwner = false;
        LinkId link = LinkId::None; ///< At the receiver.
        std::string frame;
    };

    ManualTimerService m_timers;
    ManualTimerService m_networkTimers; ///< Heartbeats are sent only in their own part.
    std::deque<Delivery> m_deliveries;
    LinkId m_calledLink = LinkId::None;
    bool m_dropFrames = true;
    StudyTransport m_callerTransport;
    StudyTransport m_ownerTransport;
    FleetNetwork m_callerNetwork{FleetNetworkOptions{.self = contact(0)}, m_callerTransport,
                                 m_networkTimers};
    FleetNetwork m_ownerNetwork{FleetNetworkOptions{.self = contact(1)}, m_ownerTransport,
                                m_networkTimers};
    StudyHttpClient m_http;
    PoisonRegistry m_poison{PoisonRegistryOptions{}};
    NoOwnerObserver m_observer;
    BackendOwner m_owner{
            BackendOwnerOptions{.service = "service-1", .headers = wire::headerNames()}, m_http,
            m_timers, m_poison, m_observer};
    BackendOwner m_callersOwner{BackendOwnerOptions{.headers = wire::headerNames()}, m_http,
                                m_timers, m_poison, m_observer};
    CallServer m_server{CallServerOptions{}, m_ownerNetwork, m_timers, m_owner};
    RemoteCallClient m_remote{RemoteCallClientOptions{}, m_callerNetwork, m_timers};
    NoVersions m_versions;
    TrafficMetrics m_metrics;
    Forwarder m_forwarder{ForwarderOptions{.node = contact(0).node,
                                           .callerService = "service-0",
                                           .headers = wire::headerNames(),
                                           .randomSeed = 7},
                          m_timers,
                          m_callerNetwork,
                          m_remote,
                          m_callersOwner,
                          m_versions,
                          m_metrics};
    RouteTable m_routes;
    std::vector<std::string> m_statusFrames;
    std::uint32_t m_successes = 0;

    void deliver()
    {
        while (!m_deliveries.empty()) {
            const Delivery next = std::move(m_deliveries.front());
            m_deliveries.pop_front();
            if (next.toOwner)
                m_ownerNetwork.frameReceived(next.link, next.frame);
            else
                m_callerNetwork.frameReceived(next.link, next.frame);
        }
    }

    void connectPeers()
    {
        for (std::uint32_t i = 1; i <= FLAGS_peers; ++i) {
            const LinkId link{i};
            m_callerNetwork.linkOpened(link, true);
            m_callerNetwork.frameReceived(link,
                                          encodeFleetMessage(GreetingMessage{.self = contact(i)}));
            m_statusFrames.push_back(encodeFleetMessage(status(i)));
            m_callerNetwork.frameReceived(link, m_statusFrames.back());
        }
        m_ownerNetwork.linkOpened(OwnerLink, false);
        m_ownerNetwork.frameReceived(OwnerLink,
                                     encodeFleetMessage(GreetingMessage{.self = contact(0)}));
    }

    void configure()
    {
        TrafficConfig config;
        config.routes.push_back(TrafficRoute{.name = "claims-status",
                                             .host = "claims.example",
                                             .prefix = "/claims/",
                                             .idempotent = true,
                                             .timeout = std::chrono::milliseconds(900),
                                             .targetLatency = std::chrono::milliseconds(450),
                                             .maxAttempts = 2,
                                             .parts = {{.service = "service-1"}}});
        m_routes = RouteTable(config, 7);
        m_forwarder.setRoutes(&m_routes);
        const absl::Status accepted = m_owner.heartbeat(BackendHeartbeat{.id = "claims-17",
                                                                         .service = "service-1",
                                                                         .version = "v1",
                                                                         .slots = 8,
                                                                         .sequence = 1});
        if (!accepted.ok())
            std::abort();
    }

public:
    StudyMesh()
    {
        m_callerTransport.sent = [this](LinkId link, const std::string &frame) {
            if (m_dropFrames)
                return;
            m_calledLink = link;
            m_deliveries.push_back({true, OwnerLink, frame});
        };
        m_ownerTransport.sent = [this](LinkId, const std::string &frame) {
            if (!m_dropFrames)
                m_deliveries.push_back({false, m_calledLink, frame});
        };
        if (!m_callerNetwork.start().ok() || !m_ownerNetwork.start().ok())
            std::abort();
        connectPeers();
        configure();
        m_networkTimers.advance(std::chrono::seconds(1));
    }

    /** Returns the number of requests that were answered with status 200. */
    std::uint32_t runRequests(std::uint32_t count)
    {
        m_dropFrames = false;
        for (std::uint32_t i = 0; i < count; ++i) {
            m_forwarder.forward(sampleRequest(), std::make_shared<CountingResponder>(m_successes));
            deliver();
            m_timers.advance(std::chrono::milliseconds(5));
            const HttpClient::Callback done = std::exchange(m_http.callback, nullptr);
            if (done)
                done(HttpResult{.verdict = Verdict::Done, .response = sampleResponse()});
            deliver();
        }
        return m_successes;
    }

    void runHeartbeats(std::uint32_t seconds)
    {
        constexpr int StatusUpdatesPerSecond = 10;
        for (std::uint32_t second = 0; second < seconds; ++second) {
            for (int i = 0; i < StatusUpdatesPerSecond; ++i) {
                m_callerNetwork.setStatus(status(0), StatusAudience::Nobody);
                m_networkTimers.advance(std::chrono::milliseconds(1'000 / StatusUpdatesPerSecond));
            }
            for (std::uint32_t i = 1; i <= FLAGS_peers; ++i)
                m_callerNetwork.frameReceived(LinkId{i}, m_statusFrames[i - 1]);
        }
    }
};

/** One end of a link; the second one returns each frame. */
class LinkEnd final : public LinkObserver
{
public:
    LinkId link = LinkId::None; ///< Once it is open.
    std::uint32_t received = 0;
    WebsocketLinkTransport transport;
    bool returnsFrames = false;
    std::string reply;

    explicit LinkEnd(const Endpoint &listen) : transport(LinkTransportOptions{.listen = listen})
    {
        if (!transport.start(*this).ok())
            std::abort();
    }
    void linkOpened(LinkId opened, bool) override
    {
        link = opened;
        transport.setCompression(link, FLAGS_compressed);
    }
    void frameReceived(LinkId, const std::string &) override
    {
        ++received;
        if (returnsFrames)
            transport.send(link, reply);
    }
    void linkClosed(LinkId) override { std::abort(); }
};

void runLinks()
{
    LinkEnd caller(linkEndpoint);
    LinkEnd owner(secondlinkEndpoint);
    owner.returnsFrames = true;
    owner.reply = encodeFleetMessage(
            WorkResultMessage{.call = 17, .result = {.response = sampleResponse()}});
    const std::string frame = encodeFleetMessage(WorkCallMessage{
            .call = 17, .work = {.request = sampleRequest(), .route = "claims-status"}});
    caller.transport.connect(secondlinkEndpoint);
    while (caller.link == LinkId::None || owner.link == LinkId::None)
        g_main_context_iteration(nullptr, TRUE);
    for (std::uint32_t i = 0; i < FLAGS_rounds; ++i) {
        caller.transport.send(caller.link, frame);
        while (caller.received <= i)
            g_main_context_iteration(nullptr, TRUE);
    }
}

void runHttp()
{
    BeastHttpServer server{HttpServerOptions{}};
    const absl::Status listening = server.listen(
            httpEndpoint, [](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
                responder->respond(sampleResponse());
            });
    if (!listening.ok())
        std::abort();
    BeastHttpClient client{BeastHttpClientOptions{}};
    for (std::uint32_t i = 0; i < FLAGS_rounds; ++i) {
        bool done = false;
        client.send(HttpSendOptions{.server = httpEndpoint}, sampleRequest(),
                    [&done](const HttpResult &) { done = true; });
        while (!done)
            g_main_context_iteration(nullptr, TRUE);
    }
}

void runLog()
{
    for (std::uint32_t i = 0; i < FLAGS_rounds; ++i) {
        // This event has no rate limit.
        logEvent(Event::RouteChosen, {{"request", "6f1c2d3e-7a5b-4c1d-9e8f-001122334455"},
                                      {"route", "claims-status"},
                                      {"owner", "vm-1017"},
                                      {"backend", "claims-17"},
                                      {"try", 1},
                                      {"running", 3},
                                      {"queued", 0},
                                      {"limit", 8},
                                      {"left_ms", 900}});
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    if (FLAGS_log) {
        startLogging(LoggerOptions{.format = LogFormat::JsonLines,
                                   .target = LogTarget::StandardOutput,
                                   .node = "vm-1000",
                                   .failureDomain = "domain-0"});
    }
    if (FLAGS_part == "links") {
        runLinks();
    } else if (FLAGS_part == "http") {
        runHttp();
    } else if (FLAGS_part == "log") {
        runLog();
    } else {
        StudyMesh mesh;
        if (FLAGS_part == "heartbeats")
            mesh.runHeartbeats(FLAGS_rounds);
        else
            std::fprintf(stderr, "%u of %u answered with 200\n", mesh.runRequests(FLAGS_rounds),
                         FLAGS_rounds);
    }
    flushLog();
    return 0;
}
