#include "node/node.h"

#include <algorithm>
#include <csignal>

#include "core/duration.h"
#include "core/hash.h"
#include "core/logger.h"
#include "drivers/beast/beast_http_client.h"
#include "drivers/epoll/signal_watch.h"
#include "drivers/glib/glib_timer_service.h"
#include "drivers/http_log/http_log_client.h"
#include "drivers/soup/soup_http_client.h"
#include "drivers/soup/soup_http_server.h"
#include "drivers/websocket/websocket_link_transport.h"
#include "modules/backend/backend_agent.h"
#include "modules/config/config_codec.h"
#include "modules/distribution/distributor.h"
#include "modules/distribution/status_collector.h"
#include "modules/gossip/member_gossip.h"
#include "modules/release/config_change_logger.h"
#include "modules/release/release_controller.h"
#include "modules/routing/link_owner_client.h"
#include "modules/routing/router.h"
#include "node/graceful_shutdown.h"
#include "node/local_api.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds IdempotencyKeyRetention{120'000};
constexpr std::chrono::milliseconds ShutdownTimeout{30'000};
// Time for other nodes to receive the leaving status; the node answers with refusals meanwhile.
constexpr std::chrono::milliseconds LeaveNoticeTime{500};
constexpr std::chrono::milliseconds ServingCheckPeriod{100};
constexpr std::size_t FrameOverheadBytes = 256 * 1024;

std::uint64_t currentUnixMilliseconds()
{
    return static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
}

} // namespace

/** The node's components; each is declared after those that it depends on. */
struct Node::Components final : public BackendObserver, public PeerObserver
{
    NodeSettings settings;
    std::uint64_t incarnation = currentUnixMilliseconds();
    std::uint64_t randomSeed;
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    GlibTimerService timers;
    SoupHttpClient platformHttp;
    BeastHttpClient backendHttp;
    HttpLogClient log;
    WebsocketLinkTransport transport;
    SoupHttpServer callerServer;
    SoupHttpServer localServer;
    MemberTable members;
    ConfigStore configStore;
    PeerNetwork network;
    MemberGossip gossip;
    Distributor distributor;
    StatusCollector statusCollector;
    PoisonRegistry poison;
    BackendAgent agent;
    InstanceDirectory directory;
    Balancer balancer;
    LinkOwnerClient ownerClient;
    ReleaseController releases;
    Router router;
    ConfigChangeLogger changeLogger;
    LocalApi api;
    GracefulShutdown shutdown{GracefulShutdownOptions{}, timers};
    Timer servingTimer;
    bool stopping = false;
    bool serving = false;

    explicit Components(const NodeSettings &nodeSettings);
    ~Components() override { g_main_loop_unref(loop); }
    Components(const Components &) = delete;
    Components &operator=(const Components &) = delete;

    MemberRecord ownRecord() const;
    std::vector<std::string> proposerCandidates(const Release &release) const;
    void publishOwnRecord() { members.setSelf(ownRecord()); }
    void handleCallerRequest(HttpRequest request, const std::shared_ptr<HttpResponder> &responder);
    void configurationChanged(const ConfigState &state);
    void updateServing();
    /** Begins a graceful shutdown; the time is when the process was asked for it. */
    void beginShutdown(SteadyTime askedAt);
    /** Sets what the process finishes before it ends. */
    void addShutdownTasks();

    void backendChanged() override { publishOwnRecord(); }
    void requestSuspected(std::uint64_t fingerprint) override;
    void requestCleared(std::uint64_t fingerprint) override;
    void messageReceived(const std::string &peer, LinkId link, const Message &message) override;
};

Node::Components::Components(const NodeSettings &nodeSettings)
    : settings(nodeSettings)
    , randomSeed(combineHash(stableHash(settings.node), incarnation))
    , platformHttp(SoupHttpClientOptions{.localAddress = settings.links.address})
    , backendHttp(BeastHttpClientOptions{.localAddress = settings.links.address})
    , log(HttpLogClientOptions{.server = settings.log}, platformHttp)
    , transport(LinkTransportOptions{.listen = settings.links,
                                     .maxFrameBytes =
                                             ConfigCodec::MaxSnapshotBytes + FrameOverheadBytes})
    , callerServer(HttpServerOptions{.maxBodyBytes = settings.maxBodyBytes})
    , localServer(HttpServerOptions{})
    , members(MemberTableOptions{.self = settings.node}, timers)
    , network(PeerNetworkOptions{.mesh = settings.mesh}, transport, timers, members,
              [this] {
                  return AppliedVersion{.version = configStore.version(),
                                        .serving = configStore.mayServe()};
              })
    , gossip(MemberGossipOptions{.node = settings.node,
                                 .domain = settings.domain,
                                 .seeds = settings.seeds,
                                 .randomSeed = randomSeed},
             members, network, timers)
    , distributor(DistributorOptions{.node = settings.node,
                                     .domain = settings.domain,
                                     .randomSeed = randomSeed,
                                     .readersPerDomain = settings.readersPerDomain},
                  configStore, network, members, log, timers)
    , statusCollector(distributor, network, members, configStore, timers)
    , poison(PoisonRegistryOptions{})
    , agent(BackendAgentOptions{.node = settings.node,
                                .idempotency = {.retention = IdempotencyKeyRetention}},
            backendHttp, timers, *this, poison)
    , directory(members, timers, IdempotencyKeyRetention)
    , balancer(BalancerOptions{.domain = settings.domain, .randomSeed = randomSeed}, timers)
    , ownerClient(LinkOwnerClientOptions{.node = settings.node}, network, agent, timers)
    , releases(
              ReleaseControllerOptions{.node = settings.node, .incarnation = incarnation},
              configStore, members, network, log, timers,
              [this](const Release &release) { return proposerCandidates(release); },
              [this](const BrakeMessage &brake) { gossip.broadcast(brake); })
    , router(RouterOptions{.node = settings.node,
                           .domain = settings.domain,
                           .randomSeed = randomSeed},
             configStore, directory, balancer, ownerClient, releases, poison, timers)
    , api(LocalApiComponents{.settings = settings,
                             .configStore = configStore,
                             .members = members,
                             .network = network,
                             .distributor = distributor,
                             .statusCollector = statusCollector,
                             .agent = agent,
                             .releases = releases,
                             .router = router,
                             .ownerClient = ownerClient})
{
    network.addObserver(*this);
    configStore.addInstallObserver(
            [this](const ConfigState &state) { configurationChanged(state); });
    publishOwnRecord();
}

MemberRecord Node::Components::ownRecord() const
{
    MemberRecord record{.node = settings.node,
                        .domain = settings.domain,
                        .links = settings.advertisedLinks,
                        .incarnation = incarnation,
                        .status = stopping ? MemberStatus::Left : MemberStatus::Alive,
                        .backend = agent.state(),
                        .backendSince = agent.backendSince()};
    if (record.backend != BackendState::None) {
        record.service = agent.announcement().service;
        record.version = agent.announcement().version;
        record.slots = agent.announcement().slots;
    }
    if (stopping && record.backend == BackendState::Ready)
        record.backend = BackendState::Leaving;
    return record;
}

std::vector<std::string> Node::Components::proposerCandidates(const Release &release) const
{
    // The nodes of the released services propose steps; they are few in a mesh of any size. If
    // there are none, any reachable node may propose.
    std::vector<std::string> nodes;
    for (const std::string &service : release.services) {
        for (const MemberRecord &record : directory.instances(service))
            nodes.push_back(record.node);
    }
    std::sort(nodes.begin(), nodes.end());
    nodes.erase(std::unique(nodes.begin(), nodes.end()), nodes.end());
    return nodes.empty() ? members.reachableNodes("") : nodes;
}

void Node::Components::configurationChanged(const ConfigState &state)
{
    router.configurationChanged(state);
    changeLogger.configurationChanged(state);
    agent.setDomainTakenOut(state.isDomainTakenOut(settings.domain));
}

void Node::Components::updateServing()
{
    const bool mayServe = configStore.mayServe();
    if (mayServe == serving)
        return;
    serving = mayServe;
    logEvent(mayServe ? Event::NodeServing : Event::NodeNotServing,
             {{"version", configStore.version()}, {"floor", configStore.floor()}});
}

void Node::Components::handleCallerRequest(HttpRequest request,
                                           const std::shared_ptr<HttpResponder> &responder)
{
    if (request.target.empty() || request.target.front() != '/') {
        responder->respond(
                HttpResponse{.status = 400,
                             .headers = {{.name = "Jacinthshift-Verdict", .value = "not-run"}},
                             .body = "the target must be /SERVICE/PATH\n"});
        return;
    }
    const auto hasResponded = std::make_shared<bool>(false);
    const RoutedRequestId id = router.route(
            std::move(request), [responder, hasResponded](const HttpResponse &response) {
                *hasResponded = true;
                responder->respond(response);
            });
    // The router may respond before route() returns; there is nothing to cancel then.
    if (!*hasResponded)
        responder->onCallerGone([this, id] { router.cancel(id); });
}

void Node::Components::requestSuspected(std::uint64_t fingerprint)
{
    if (poison.recordCrash(fingerprint, settings.node, timers.now()))
        gossip.broadcast(SuspectRequestMessage{.fingerprint = fingerprint, .node = settings.node});
}

void Node::Components::requestCleared(std::uint64_t fingerprint)
{
    gossip.broadcast(SuspectRequestMessage{
            .fingerprint = fingerprint, .node = settings.node, .cleared = true});
}

void Node::Components::messageReceived(const std::string &peer, LinkId, const Message &message)
{
    const SuspectRequestMessage *suspect = std::get_if<SuspectRequestMessage>(&message);
    if (suspect == nullptr)
        return;
    const bool changed = suspect->cleared ? poison.forgetSuspect(suspect->fingerprint)
                                          : poison.recordCrash(suspect->fingerprint, suspect->node,
                                                               timers.now());
    if (changed)
        gossip.broadcast(*suspect, peer);
}

void Node::Components::beginShutdown(SteadyTime askedAt)
{
    if (stopping)
        return;
    stopping = true;
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(timers.now() - askedAt);
    logEvent(Event::NodeStopping, {{"requests", router.openRequests()},
                                   {"in_flight", agent.inFlight()},
                                   {"late_ms", late.count()}});
    router.stopAccepting();
    agent.stopAccepting();
    publishOwnRecord();
    addShutdownTasks();
    shutdown.begin(askedAt, LeaveNoticeTime, [this] { g_main_loop_quit(loop); });
}

void Node::Components::addShutdownTasks()
{
    shutdown.addTask("requests", ShutdownTimeout, [this] { return router.openRequests(); });
    shutdown.addTask("work", ShutdownTimeout, [this] {
        return agent.isIdle() ? 0 : std::max<std::size_t>(agent.inFlight(), 1);
    });
    shutdown.addTask("responses", ShutdownTimeout,
                     [this] { return callerServer.undeliveredResponses().connections; });
}

Node::Node(const NodeSettings &settings) : m_components(std::make_unique<Components>(settings)) {}

Node::~Node() = default;

absl::Status Node::start()
{
    Components &components = *m_components;
    absl::Status status = components.transport.start(components.network);
    if (status.ok())
        status = components.localServer.listen(
                components.settings.local,
                [&components](const HttpRequest &request,
                              const std::shared_ptr<HttpResponder> &responder) {
                    components.api.handle(request, responder);
                });
    if (status.ok())
        status = components.callerServer.listen(
                components.settings.callers,
                [&components](HttpRequest request,
                              const std::shared_ptr<HttpResponder> &responder) {
                    components.handleCallerRequest(std::move(request), responder);
                });
    if (!status.ok())
        return status;
    components.servingTimer =
            Timer(components.timers,
                  components.timers.startPeriodic(ServingCheckPeriod,
                                                  [&components] { components.updateServing(); }));
    logEvent(Event::NodeStarted, {{"callers", components.settings.callers.text()},
                                  {"links", components.settings.links.text()},
                                  {"local", components.settings.local.text()}});
    return absl::OkStatus();
}

void Node::run()
{
    const auto stop = [this](SteadyTime receivedAt) {
        m_components->beginShutdown(receivedAt);
    };
    const SignalWatch terminate(SIGTERM, stop);
    const SignalWatch interrupt(SIGINT, stop);
    g_main_loop_run(m_components->loop);
}

} // namespace jacinthshift
