#include "node/mesh_node.h"

#include <algorithm>
#include <csignal>
#include <ctime>
#include <optional>
#include <utility>

#include <malloc.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <sys/sysinfo.h>

#include "core/duration.h"
#include "core/hash.h"
#include "core/text.h"
#include "drivers/beast/beast_http_client.h"
#include "drivers/beast/beast_http_server.h"
#include "drivers/clock/system_boot_clock.h"
#include "drivers/epoll/epoll_loop.h"
#include "drivers/epoll/signal_watch.h"
#include "drivers/websocket/websocket_link_transport.h"
#include "modules/feed/table_sync.h"
#include "modules/forwarding/forwarder.h"
#include "modules/owner/backend_owner.h"
#include "modules/owner/crash_exchange.h"
#include "modules/owner/departure_recorder.h"
#include "modules/rollout/rollout_controller.h"
#include "modules/usage/usage_service.h"
#include "modules/workspace/knowledge_exchange.h"
#include "node/graceful_shutdown.h"
#include "node/loop_monitor.h"
#include "node/mesh_metrics.h"
#include "node/node_discovery.h"
#include "platform/http_usage_receiver.h"
#include "platform/record_codec.h"
#include "platform/store_client.h"
#include "platform/store_departure_register.h"
#include "platform/store_rollout_register.h"
#include "platform/store_usage_register.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;
constexpr int StatusUnavailable = 503;

constexpr std::chrono::milliseconds LogFlushPeriod{100};
// The pause after an installation is this multiple of its duration, so that installing takes at
// most a twentieth of the time. The pause is still at most MaxConfigPause, as a configuration has
// to be in force within 2 s.
constexpr int ConfigPauseFactor = 20;
constexpr std::chrono::milliseconds MinConfigPause{100};
constexpr std::chrono::milliseconds MaxConfigPause{800};
constexpr std::chrono::milliseconds SettingsCheckPeriod{2'000};
// The platform checks readiness once a second and removes a node after two failed checks; callers
// send requests until then.
constexpr std::chrono::milliseconds CallerCloseDelay{2'700};
// Requests that the owner admits before this time end well before the process has to end.
constexpr std::chrono::milliseconds OwnerLeaveDelay{1'300};
// Requests are given up this long before the platform kills the process.
constexpr std::chrono::milliseconds GraceMargin{400};
// Responses are delivered until this long before that; a process that is late loses nothing more.
constexpr std::chrono::milliseconds DeliveryMargin{100};
// Requests that are still open this long before they are given up are answered as they stand.
constexpr std::chrono::milliseconds LastAnswerTime{150};
// Share of the caller connections that are kept alive. The rest is for callers that were told to
// retry, as these open new connections.
constexpr double KeepAliveShare = 0.8;
// Share of the VM's link for large responses to other nodes. The rest is for all other messages.
constexpr double LargeResponseShare = 0.92;
constexpr std::size_t BytesPerMegabyte = 1024UL * 1024UL;
constexpr std::size_t MaxMemoryBytes = 1024 * BytesPerMegabyte; ///< More of it is not used.
// Parts of the files for links, for the control address, and for readiness and metrics each.
constexpr std::uint32_t LinkFileParts = 5;
constexpr std::uint32_t ControlFileParts = 16;
constexpr std::uint32_t ProbeFileParts = 32;
// Part of the files for connections to the backend server and the store, listeners and logs.
constexpr std::uint32_t OwnFileParts = 4;
constexpr std::uint32_t MaxOwnFiles = 200;
constexpr double BytesPerMegabit = 125'000.0;
// A call to the platform that got no response may still take effect this much later.
constexpr std::chrono::milliseconds LateEffectTime{12'000};

std::uint64_t currentUnixMilliseconds()
{
    return static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
}

/** Returns the response to a heartbeat or a deregistration that takes effect. */
HttpResponse acknowledgement()
{
    return HttpResponse{.headers = {{"Content-Type", "application/json"}}, .body = "{}"};
}

std::time_t modificationTime(const std::string &file)
{
    struct stat found = {};
    return stat(file.c_str(), &found) == 0 ? found.st_mtime : 0;
}

/**
 * Returns the VM's capacity for serving other nodes: the smaller of its processor share, in
 * hundredths of a core, and its link bandwidth, in steps of 10 Mbit/s.
 */
std::uint32_t computeRelayCapacity(const MeshSettings &settings)
{
    // A tenth of a core can compress about as much as 100 Mbit/s carry.
    const double processor = settings.processorShare * 10.0;
    const double link = settings.linkMegabits / 100.0;
    return static_cast<std::uint32_t>(std::min(processor, link) * 10.0);
}

/** Returns a share of the VM's memory, up to a limit for VMs with much of it. */
std::size_t memoryShare(std::size_t parts, std::size_t limit)
{
    struct sysinfo system = {};
    if (sysinfo(&system) != 0 || system.totalram == 0)
        return limit;
    std::size_t memory = std::size_t(system.totalram) * system.mem_unit;
    // The process may be limited to less than the VM has.
    rlimit dataLimit = {};
    if (getrlimit(RLIMIT_DATA, &dataLimit) == 0 && dataLimit.rlim_cur != RLIM_INFINITY)
        memory = std::min(memory, std::size_t(dataLimit.rlim_cur));
    return std::min(limit, memory / parts);
}

/** Returns how many other nodes the process may know; each takes a few kilobytes at most. */
std::size_t maxPeers()
{
    constexpr std::size_t BytesPerPeer = 8 * 1024;
    return memoryShare(BytesPerPeer, FleetNetworkOptions().maxPeers);
}

/** Returns how many bytes of responses may wait for earlier ones on callers' connections. */
std::size_t maxBufferedResponseBytes()
{
    return memoryShare(32, HttpServerOptions().maxTotalBufferedResponseBytes);
}

/**
 * Returns how many bytes of messages the node holds for its peers: what remains is for itself, the
 * tables, and what the allocator cannot use.
 */
std::size_t maxHeldBytes(const MeshSettings &settings)
{
    constexpr std::size_t HeldParts = 5;
    constexpr std::size_t MemoryParts = 8;
    if (settings.heldMegabytes > 0)
        return settings.heldMegabytes * BytesPerMegabyte;
    return memoryShare(MemoryParts, MaxMemoryBytes) * HeldParts;
}

std::uint32_t maxLinks(const MeshSettings &settings)
{
    return std::clamp(settings.maxFiles / LinkFileParts, 32U, 1'024U);
}

std::uint32_t maxLocalConnections(const MeshSettings &settings, std::uint32_t parts)
{
    return std::clamp(settings.maxFiles / parts, 8U, 128U);
}

/** Returns how many connections callers may have: all files that nothing else can use. */
std::uint32_t maxCallerConnections(const MeshSettings &settings)
{
    constexpr std::uint32_t MinCallers = 64;
    const std::uint32_t others = maxLinks(settings)
                                 + maxLocalConnections(settings, ControlFileParts)
                                 + 2 * maxLocalConnections(settings, ProbeFileParts)
                                 + std::min(settings.maxFiles / OwnFileParts, MaxOwnFiles);
    return settings.maxFiles > others + MinCallers ? settings.maxFiles - others : MinCallers;
}

/**
 * Returns the options of a server for the platform or for this VM's backend server. Its part of the
 * file descriptors is small, so that such servers leave enough for callers and links.
 */
HttpServerOptions localServerOptions(const MeshSettings &settings, std::uint32_t parts,
                                     const std::shared_ptr<ByteAccount> &account)
{
    return HttpServerOptions{.maxConnections = maxLocalConnections(settings, parts),
                             .replacesSilentConnections = true,
                             .account = account,
                             .serveClosedCallers = true};
}

HttpServerOptions callerServerOptions(const MeshSettings &settings, const CallerLimits &limits,
                                      const Forwarder &forwarder,
                                      const std::shared_ptr<ByteAccount> &account)
{
    const std::uint32_t maxConnections = maxCallerConnections(settings);
    return HttpServerOptions{.maxBodyBytes = limits.maxBodyBytes,
                             .maxHeldBodyBytes = account->limit(),
                             .maxHeaderBytes = limits.maxHeaderBytes,
                             .headerTimeout = limits.headerTimeout,
                             .idleTimeout = limits.idleTimeout,
                             .maxConnections = maxConnections,
                             .account = account,
                             .maxKeepAliveConnections =
                                     static_cast<std::size_t>(maxConnections * KeepAliveShare),
                             .mayRunAhead =
                                     [&forwarder](const HttpRequest &request) {
                                         return forwarder.isIdempotent(request);
                                     },
                             .maxTotalBufferedResponseBytes = maxBufferedResponseBytes()};
}

/** Returns the time within which a withdrawn key ends to be accepted; zero for no limit. */
std::chrono::milliseconds revokeTimeInForce(const MeshSettings &settings)
{
    return settings.strictRevoke ? settings.revokeTime : std::chrono::milliseconds(0);
}

TableFollowerOptions followerOptions(const MeshSettings &settings)
{
    TableFollowerOptions options{.table = wire::OperatorTable};
    // A reader's knowledge counts from when it sent a read, so its age reaches twice the duration
    // of a read. With 0.06 of the revoke time (0.3 s of 5 s) it stays below the age from which
    // readers are asked.
    const std::chrono::milliseconds revokeTime = revokeTimeInForce(settings);
    if (revokeTime.count() > 0)
        options.longPollWait = std::clamp(revokeTime * 6 / 100, std::chrono::milliseconds(50),
                                          options.longPollWait);
    return options;
}

KnowledgeExchangeOptions knowledgeExchangeOptions(const MeshSettings &settings,
                                                  std::uint64_t randomSeed)
{
    KnowledgeExchangeOptions options{.randomSeed = randomSeed};
    const std::chrono::milliseconds revokeTime = revokeTimeInForce(settings);
    if (revokeTime.count() > 0) {
        options.askAge = revokeTime * 3 / 10;
        options.answerTimeout = revokeTime * 8 / 100;
    }
    return options;
}

} // namespace

/** The node's components; each is declared after those that it depends on. */
struct MeshNode::Components final : public OwnerObserver,
                                    public FleetObserver,
                                    public DepartureObserver
{
    MeshSettings settings;
    std::string settingsFile;
    std::time_t settingsTime;
    std::uint64_t incarnation = currentUnixMilliseconds();
    std::uint64_t randomSeed;
    GMainLoop *loop = g_main_loop_new(nullptr, FALSE);
    EpollLoop &timers = EpollLoop::instance();
    LoopMonitor loopMonitor;
    std::shared_ptr<ByteAccount> account;
    BeastHttpClient storeHttp;
    BeastHttpClient backendHttp;
    StoreClient storeClient;
    WebsocketLinkTransport transport;
    FleetNetwork network;
    PoisonRegistry poison;
    CrashExchange crashes;
    BackendOwner owner;
    StoreDepartureRegister departureRegister;
    DepartureRecorder departures;
    CallServer callServer;
    RemoteCallClient remoteCallClient;
    StoreRolloutRegister rolloutRegister;
    RolloutController rollouts;
    TrafficMetrics metrics;
    SystemBootClock bootClock;
    KnowledgeAge knowledge;
    KeyCheck keyCheck;
    Forwarder forwarder;
    OperatorTable table;
    TableFollower follower;
    TableSync tableSync;
    KnowledgeExchange knowledgeExchange;
    NodeDiscovery discovery;
    /** The reports of usage; absent where none are asked for. */
    struct UsageReporting;
    std::unique_ptr<UsageReporting> usage;
    BeastHttpServer callerServer;
    BeastHttpServer readinessServer;
    BeastHttpServer controlServer;
    BeastHttpServer metricsServer;
    RouteTable routes;
    TrafficConfig config;
    std::optional<KeyedRecord> pendingConfig; ///< The newest configuration, until installed.
    bool hasConfig = false;
    GracefulShutdown shutdown;
    bool ownerLeaving = false; ///< The owner admits no more requests.
    Timer configTimer;         ///< Active during the pause after an installation.
    Timer logTimer;
    Timer statusTimer;
    Timer settingsTimer;

    Components(const MeshSettings &nodeSettings, const std::string &file);
    ~Components() override;
    Components(const Components &) = delete;
    Components &operator=(const Components &) = delete;

    absl::Status start();
    void handleOperatorRecord(const KeyedRecord &record);
    /** Writes again what the store has lost because it was restored from an older copy. */
    void logRestored(std::uint64_t era);
    void installPendingConfig();
    void applyRecord(const KeyedRecord &record);
    void installConfig(TrafficConfig newConfig);
    void applyDomainOrder(const DomainOrder &order);
    void publishStatus(StatusAudience audience);
    void handleControl(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
    absl::Status acceptHeartbeat(const std::string &id, const HttpRequest &request,
                                 const std::shared_ptr<HttpResponder> &responder);
    /** Acknowledges that a backend server leaves once that is recorded. */
    void acknowledgeDeparture(const BackendLifetime &backend,
                              const std::shared_ptr<HttpResponder> &responder);
    std::string metricsText();
    void reloadSettings(const std::string &reason);
    void checkSettingsFile();
    /** Begins a graceful shutdown; the time is when the process was asked for it. */
    void beginShutdown(SteadyTime askedAt);
    /** Sets what the process finishes before it ends. */
    void addShutdownTasks();

    void ownerStatusChanged() override { publishStatus(StatusAudience::Everywhere); }
    void requestSuspected(std::uint64_t fingerprint, const std::string &backend) override
    {
        crashes.report(fingerprint, backend);
    }
    void requestCleared(std::uint64_t fingerprint) override { crashes.reportCleared(fingerprint); }
    void runStarted(const std::string &workspace, SteadyTime at) override;
    void runRejected(const std::string &workspace, SteadyTime startedAt) override;
    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &) override {}
    void departuresRead(const std::vector<Departure> &read) override;
};

/** Counts usage and reports it to the platform. */
struct MeshNode::Components::UsageReporting
{
    BeastHttpClient http;
    StoreUsageRegister usageRegister;
    HttpUsageReceiver receiver;
    UsageService service;

    explicit UsageReporting(Components &node)
        : http(BeastHttpClientOptions{.localAddress = node.settings.links.address,
                                      .dropIdleAfterTimeout = true})
        , usageRegister(node.storeClient)
        , receiver(HttpUsageReceiverOptions{.server = node.settings.usage.platform}, http)
        , service(UsageServiceOptions{.duty = {.node = node.settings.node,
                                               .windowLength = node.settings.usage.window,
                                               .giveUpDelay = 2 * node.settings.usage.late,
                                               .takeAgainDelay =
                                                       node.settings.usage.lease + LateEffectTime}},
                  node.network, node.timers, usageRegister, receiver)
    {
    }
};

MeshNode::Components::~Components()
{
    g_main_loop_unref(loop);
}

void MeshNode::Components::runStarted(const std::string &workspace, SteadyTime at)
{
    if (usage != nullptr)
        usage->service.runStarted(workspace, at);
}

void MeshNode::Components::runRejected(const std::string &workspace, SteadyTime startedAt)
{
    if (usage != nullptr)
        usage->service.runRejected(workspace, startedAt);
}

namespace {

ForwarderOptions forwarderOptions(const MeshSettings &settings, std::uint64_t randomSeed)
{
    return ForwarderOptions{.node = settings.node,
                            .callerService = settings.service,
                            .headers = wire::headerNames(),
                            .retries = {.ratio = settings.retryRatio, .slack = settings.retrySlack},
                            .randomSeed = randomSeed};
}

/** Returns the options for the calls of other nodes to the backend server of this VM. */
CallServerOptions workServerOptions(const MeshSettings &settings,
                                    const std::shared_ptr<ByteAccount> &account)
{
    const double bytesPerSecond = settings.linkMegabits * BytesPerMegabit * LargeResponseShare;
    return CallServerOptions{.maxStoredBytes = memoryShare(16, CallServerOptions().maxStoredBytes),
                             .account = account,
                             .parts = {.bytesPerSecond = bytesPerSecond, .account = account},
                             .budget = {.bytesPerSecond = bytesPerSecond}};
}

} // namespace

MeshNode::Components::Components(const MeshSettings &nodeSettings, const std::string &file)
    : settings(nodeSettings)
    , settingsFile(file)
    , settingsTime(modificationTime(file))
    , randomSeed(combineHash(stableHash(settings.node), incarnation))
    , loopMonitor(LoopMonitorOptions{}, timers)
    , account(std::make_shared<ByteAccount>(ByteAccountOptions{.limit = maxHeldBytes(settings)}))
    , storeHttp(BeastHttpClientOptions{.localAddress = settings.links.address,
                                       .dropIdleAfterTimeout = true})
    , backendHttp(BeastHttpClientOptions{.localAddress = settings.links.address,
                                         .maxBodyBytes = account->limit(),
                                         .maxReceivedBytes = account->limit(),
                                         .account = account,
                                         .maxIdleConnectionsPerServer = 64})
    , storeClient(StoreClientOptions{.server = settings.store}, storeHttp)
    , transport(LinkTransportOptions{
              .listen = settings.links, .maxLinks = maxLinks(settings), .account = account})
    , network(FleetNetworkOptions{.self = {.node = settings.node,
                                           .domain = settings.domain,
                                           .linkEndpoint = settings.advertisedLinks,
                                           .incarnation = incarnation,
                                           .service = settings.service,
                                           .relayCapacity = computeRelayCapacity(settings)},
                                  .randomSeed = randomSeed,
                                  .maxPeers = maxPeers()},
              transport, timers)
    , poison(PoisonRegistryOptions{})
    , crashes(CrashExchangeOptions{}, network, timers, poison)
    , owner(BackendOwnerOptions{.node = settings.node,
                                .service = settings.service,
                                .headers = wire::headerNames(),
                                .coldFactor = settings.coldFactor,
                                .maxHeldBodyBytes = account->limit()},
            backendHttp, timers, poison, *this)
    , departureRegister(settings.node, storeClient, timers)
    , departures(DepartureRecorderOptions{.randomSeed = randomSeed}, departureRegister, timers)
    , callServer(workServerOptions(settings, account), network, timers, owner)
    , remoteCallClient(RemoteCallClientOptions{.account = account}, network, timers)
    , rolloutRegister(storeClient)
    , rollouts(RolloutControllerOptions{.node = settings.node,
                                        .randomSeed = randomSeed,
                                        .exposureShare = settings.canaryShare * 0.95,
                                        .canaryShare = settings.canaryShare * 0.6,
                                        .watchShare = settings.canaryShare * 0.12},
               network, timers, rolloutRegister, owner)
    , keyCheck({.headers = wire::headerNames(), .revokeTime = revokeTimeInForce(settings)},
               knowledge, bootClock)
    , forwarder(forwarderOptions(settings, randomSeed), timers, network, remoteCallClient, owner,
                rollouts, metrics)
    , follower(followerOptions(settings), storeClient, timers, table)
    , tableSync(TableSyncOptions{.relayCapacity = computeRelayCapacity(settings),
                                 .randomSeed = randomSeed},
                network, timers, table, follower)
    , knowledgeExchange(knowledgeExchangeOptions(settings, randomSeed), network, timers, bootClock,
                        knowledge, [this] { return keyCheck.limitsAge(); })
    , discovery(NodeDiscoveryOptions{.randomSeed = randomSeed}, storeClient, network, timers)
    , callerServer(callerServerOptions(settings, CallerLimits(), forwarder, account))
    , readinessServer(localServerOptions(settings, ProbeFileParts, account))
    , controlServer(localServerOptions(settings, ControlFileParts, account))
    , metricsServer(localServerOptions(settings, ProbeFileParts, account))
    , shutdown(GracefulShutdownOptions{}, timers)
{
    forwarder.setKeyCheck(&keyCheck);
    if (settings.usage.platform.isValid())
        usage = std::make_unique<UsageReporting>(*this);
    network.addObserver(*this);
    // Until the register was read, a heartbeat may be one of a backend server that has left.
    owner.setHistoryKnown(false);
    discovery.setDepartureObserver(*this);
    follower.setReadListener(bootClock, [this](BootTime sentAt) { knowledge.tableRead(sentAt); });
    table.setListener([this](const KeyedRecord &record) { handleOperatorRecord(record); });
    table.setRestoreListener([this](std::uint64_t era) { logRestored(era); });
}

absl::Status MeshNode::Components::start()
{
    absl::Status status = network.start();
    const auto listen = [&status](BeastHttpServer &server, const Endpoint &endpoint,
                                  HttpServer::Handler handler) {
        if (status.ok())
            status = server.listen(endpoint, std::move(handler));
    };
    listen(callerServer, settings.callers,
           [this](HttpRequest request, std::shared_ptr<HttpResponder> responder) {
               forwarder.forward(std::move(request), std::move(responder));
           });
    listen(readinessServer, settings.readiness,
           [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
               const bool ready = hasConfig && !shutdown.isActive();
               responder->respond(HttpResponse{.status = ready ? 200 : StatusUnavailable});
           });
    listen(controlServer, settings.control,
           [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
               handleControl(request, responder);
           });
    listen(metricsServer, settings.metrics,
           [this](const HttpRequest &, const std::shared_ptr<HttpResponder> &responder) {
               responder->respond(HttpResponse{.headers = {{"Content-Type", "text/plain"}},
                                               .body = metricsText()});
           });
    if (!status.ok())
        return status;
    for (const Endpoint &node : settings.seeds)
        network.connectEndpoint(node);
    discovery.start();
    follower.setActive(true);
    logTimer = Timer(timers, timers.startPeriodic(LogFlushPeriod, [] { flushLog(); }));
    statusTimer = Timer(timers, timers.startPeriodic(std::chrono::milliseconds(100), [this] {
        publishStatus(StatusAudience::Nobody);
        keyCheck.isVerified(); // Logs a change while no requests arrive.
        forwarder.setNodeCount(network.peers().size() + 1);
    }));
    settingsTimer = Timer(
            timers, timers.startPeriodic(SettingsCheckPeriod, [this] { checkSettingsFile(); }));
    logEvent(Event::NodeStarted, {{"callers", settings.callers.text()},
                                  {"links", settings.links.text()},
                                  {"service", settings.service},
                                  {"incarnation", incarnation}});
    return absl::OkStatus();
}

void MeshNode::Components::handleOperatorRecord(const KeyedRecord &record)
{
    if (record.key == wire::ConfigKey) {
        // Each record holds a complete configuration, so only the newest pending one is installed.
        pendingConfig = record;
        knowledge.installationPending();
        if (!configTimer.isActive())
            installPendingConfig();
        return;
    }
    applyRecord(record);
}

void MeshNode::Components::logRestored(std::uint64_t era)
{
    logEvent(Event::LogRestored, {{"era", era}, {"end", table.end()}});
    discovery.logRestored();
    departures.registerRestored();
    rollouts.logRestored();
    if (usage != nullptr)
        usage->service.logRestored();
}

void MeshNode::Components::installPendingConfig()
{
    configTimer.stop();
    if (!pendingConfig)
        return;
    const SteadyTime installStart = std::chrono::steady_clock::now();
    applyRecord(*std::exchange(pendingConfig, std::nullopt));
    knowledge.installed(config.version);
    const auto installDuration = std::chrono::duration_cast<std::chrono::milliseconds>(
            std::chrono::steady_clock::now() - installStart);
    const std::chrono::milliseconds pause =
            std::clamp(installDuration * ConfigPauseFactor, MinConfigPause, MaxConfigPause);
    configTimer = Timer(timers, timers.startOnce(pause, [this] { installPendingConfig(); }));
}

void MeshNode::Components::applyRecord(const KeyedRecord &record)
{
    absl::StatusOr<OperatorRecord> decoded = decodeOperatorRecord(record);
    if (!decoded.ok()) {
        logEvent(Event::OperatorRecordIgnored,
                 {{"key", record.key},
                  {"offset", record.offset},
                  {"reason", std::string(decoded.status().message())}});
        return;
    }
    if (TrafficConfig *newConfig = std::get_if<TrafficConfig>(&*decoded))
        installConfig(std::move(*newConfig));
    else if (const RolloutOrder *order = std::get_if<RolloutOrder>(&*decoded))
        rollouts.setOrder(*order, record.position());
    else if (const RolloutWithdrawal *withdrawal = std::get_if<RolloutWithdrawal>(&*decoded))
        rollouts.removeOrder(withdrawal->service);
    else if (const DomainOrder *domainOrder = std::get_if<DomainOrder>(&*decoded))
        applyDomainOrder(*domainOrder);
}

void MeshNode::Components::installConfig(TrafficConfig newConfig)
{
    if (hasConfig && newConfig.version <= config.version) {
        logEvent(Event::OperatorRecordIgnored, {{"key", "config"},
                                                {"version", newConfig.version},
                                                {"in_force", config.version},
                                                {"reason", "not newer"}});
        return;
    }
    config = std::move(newConfig);
    hasConfig = true;
    routes = RouteTable(config, randomSeed);
    keyCheck.setWorkspaces(config.workspaces);
    forwarder.setRoutes(&routes);
    callerServer.setOptions(callerServerOptions(settings, config.limits, forwarder, account));
    const auto policy = config.services.find(settings.service);
    if (policy != config.services.end())
        owner.setPolicy(policy->second);
    logEvent(Event::TrafficConfigInForce, {{"version", config.version},
                                           {"routes", routes.size()},
                                           {"services", config.services.size()}});
    publishStatus(StatusAudience::OwnDomain);
}

void MeshNode::Components::applyDomainOrder(const DomainOrder &order)
{
    logEvent(order.out ? Event::DomainTakenOut : Event::DomainBroughtBack,
             {{"domain", order.domain}});
    if (order.domain == settings.domain)
        owner.setDomainTakenOut(order.out);
}

void MeshNode::Components::publishStatus(StatusAudience audience)
{
    StatusMessage status{.tableEnd = table.position(),
                         .leaving = ownerLeaving,
                         .readsLog = follower.isActive() && follower.isReachable(),
                         .relayCapacity = computeRelayCapacity(settings),
                         .backend = owner.status()};
    status.backend.responseBacklog = callServer.responseBacklog();
    network.setStatus(status, audience);
}

absl::Status MeshNode::Components::acceptHeartbeat(const std::string &id,
                                                   const HttpRequest &request,
                                                   const std::shared_ptr<HttpResponder> &responder)
{
    const absl::StatusOr<BackendHeartbeat> heartbeat = decodeHeartbeat(id, request.body);
    if (!heartbeat.ok())
        return heartbeat.status();
    const absl::Status status = owner.heartbeat(*heartbeat);
    if (!status.ok())
        return status;
    if (heartbeat->draining)
        acknowledgeDeparture({.id = id, .startedAt = heartbeat->startedAt.value_or(0)}, responder);
    else
        responder->respond(acknowledgement());
    return absl::OkStatus();
}

void MeshNode::Components::acknowledgeDeparture(const BackendLifetime &backend,
                                                const std::shared_ptr<HttpResponder> &responder)
{
    // Without a start time, the record would also hold for later lifetimes under the same id.
    if (backend.startedAt == 0) {
        responder->respond(acknowledgement());
        return;
    }
    departures.record(backend, [responder](bool recorded) {
        responder->respond(recorded ? acknowledgement()
                                    : HttpResponse{.status = StatusUnavailable,
                                                   .body = "the departure is not recorded yet\n"});
    });
}

void MeshNode::Components::departuresRead(const std::vector<Departure> &read)
{
    for (const Departure &departure : read) {
        if (departure.node == settings.node) {
            if (departures.departureRead(departure.backend))
                owner.backendLeft(departure.backend);
        } else {
            network.backendLeft(departure.node, departure.backend);
        }
    }
    owner.setHistoryKnown(true);
}

void MeshNode::Components::handleControl(const HttpRequest &request,
                                         const std::shared_ptr<HttpResponder> &responder)
{
    const std::string id = backendIdFromPath(request.target);
    if (id.empty()) {
        responder->respond(HttpResponse{.status = StatusNotFound});
        return;
    }
    if (request.method == "DELETE") {
        acknowledgeDeparture(owner.deregister(id, decodeDeregistration(request.body)), responder);
        return;
    }
    const absl::Status status = acceptHeartbeat(id, request, responder);
    if (status.ok())
        return;
    const std::string reason(status.message());
    logEvent(Event::BackendRefused, {{"backend", id}, {"reason", reason}});
    responder->respond(HttpResponse{.status = StatusBadRequest, .body = reason + "\n"});
}

void MeshNode::Components::messageReceived(const std::string &, const FleetMessage &message)
{
    if (const BackendLeftMessage *left = std::get_if<BackendLeftMessage>(&message))
        owner.backendLeft(left->backend);
}

std::string MeshNode::Components::metricsText()
{
    return meshMetricsText({.traffic = metrics,
                            .network = network,
                            .table = table,
                            .follower = follower,
                            .loop = loopMonitor,
                            .keysEnabled = keyCheck.isEnabled(),
                            .keysVerified = keyCheck.isVerified(),
                            .knowledgeAge = knowledge.age(bootClock.now()),
                            .backend = owner.status(),
                            .configVersion = config.version,
                            .callerConnections = callerServer.connectionCount(),
                            .abandonedRequests = callerServer.abandonedRequests(),
                            .requestsRunAhead = callerServer.requestsRunAhead(),
                            .bufferedResponseBytes = callerServer.bufferedResponseBytes(),
                            .openRequests = forwarder.openRequests(),
                            .orphanedCalls = callServer.orphanedCalls(),
                            .crashSuspects = poison.size(),
                            .crashes = crashes,
                            .pendingDepartures = departures.pending(),
                            .reportsUsage = usage != nullptr && usage->service.isHolder(),
                            .loopParts = timers.longestParts(),
                            .shutdown = shutdown,
                            .account = *account,
                            .storeCalls = storeClient.callCounts()});
}

void MeshNode::Components::checkSettingsFile()
{
    const std::time_t time = modificationTime(settingsFile);
    if (time != settingsTime && time != 0)
        reloadSettings("the file has changed");
}

void MeshNode::Components::reloadSettings(const std::string &reason)
{
    settingsTime = modificationTime(settingsFile);
    Problems problems;
    const MeshSettings newSettings = readMeshSettings(settingsFile, problems);
    if (!problems.empty()) {
        for (const Problem &problem : problems)
            logEvent(Event::SettingsRefused, {{"problem", problem.text()}});
        return;
    }
    // Listener addresses are fixed while the process runs; the platform restarts it to change them.
    settings.store = newSettings.store;
    settings.grace = newSettings.grace;
    settings.logLevel = newSettings.logLevel;
    settings.maxFiles = newSettings.maxFiles;
    settings.heldMegabytes = newSettings.heldMegabytes;
    account->setLimit(maxHeldBytes(settings));
    storeClient.setServer(newSettings.store);
    setLogLevel(newSettings.logLevel);
    callerServer.setOptions(callerServerOptions(settings, config.limits, forwarder, account));
    for (const Endpoint &node : newSettings.seeds)
        network.connectEndpoint(node);
    logEvent(Event::SettingsReloaded, {{"why", reason}, {"store", settings.store.text()}});
}

void MeshNode::Components::beginShutdown(SteadyTime askedAt)
{
    if (shutdown.isActive())
        return;
    const auto late = std::chrono::duration_cast<std::chrono::milliseconds>(timers.now() - askedAt);
    logEvent(Event::NodeStopping, {{"requests", forwarder.openRequests()},
                                   {"work", owner.openRequests()},
                                   {"late_ms", late.count()}});
    callerServer.disableKeepAlive();
    const std::chrono::milliseconds lastAnswer = settings.grace - GraceMargin - LastAnswerTime;
    forwarder.setLatestDeadline(askedAt + lastAnswer);
    // A request that could not be answered any more is refused as well.
    forwarder.stopAcceptingAt(askedAt + std::min(CallerCloseDelay, lastAnswer));
    addShutdownTasks();
    shutdown.addStep({.after = OwnerLeaveDelay, .action = [this] {
                          ownerLeaving = true;
                          owner.setLeaving();
                      }});
    shutdown.addStep({.after = CallerCloseDelay, .action = [this] {
                          callerServer.stopListening();
                      }});
    shutdown.addStep({.after = lastAnswer, .action = [this] {
                          forwarder.endOpenRequests();
                      }});
    shutdown.begin(askedAt, std::min(CallerCloseDelay, settings.grace - GraceMargin),
                   [this] { g_main_loop_quit(loop); });
}

void MeshNode::Components::addShutdownTasks()
{
    const std::chrono::milliseconds workLimit = settings.grace - GraceMargin;
    const std::chrono::milliseconds deliveryLimit = settings.grace - DeliveryMargin;
    shutdown.addTask("requests", workLimit, [this] { return callerServer.openRequests(); });
    shutdown.addTask("work", workLimit, [this] { return owner.openRequests(); });
    shutdown.addTask("results", deliveryLimit, [this] { return callServer.unfinishedCalls(); });
    shutdown.addTask(
            {.name = "responses", .limit = deliveryLimit, .unfinished = [this] {
                 const UndeliveredResponses responses = callerServer.undeliveredResponses();
                 return UnfinishedWork{.items = responses.connections, .bytes = responses.bytes};
             }});
}

namespace {

/** Makes the allocator return the memory of each long body to the system once it is freed. */
void returnLongBlocks()
{
    // Without a fixed threshold glibc raises it up to 32 MB, and freed blocks below it stay in the
    // heap.
    constexpr int MinMappedBytes = 1024 * 1024;
    mallopt(M_MMAP_THRESHOLD, MinMappedBytes);
}

} // namespace

MeshNode::MeshNode(const MeshSettings &settings, const std::string &settingsFile)
    : m_components(std::make_unique<Components>(settings, settingsFile))
{
    returnLongBlocks();
}

MeshNode::~MeshNode() = default;

absl::Status MeshNode::start()
{
    return m_components->start();
}

void MeshNode::run()
{
    SignalWatch hangUp(SIGHUP, [this](SteadyTime) { m_components->reloadSettings("SIGHUP"); });
    const auto stop = [this](SteadyTime receivedAt) {
        m_components->beginShutdown(receivedAt);
    };
    SignalWatch terminate(SIGTERM, stop);
    SignalWatch interrupt(SIGINT, stop);
    g_main_loop_run(m_components->loop);
    // Otherwise a further signal would end the process while its objects are destroyed.
    for (SignalWatch *watch : {&hangUp, &terminate, &interrupt})
        watch->ignoreAfterwards();
    flushLog();
}

} // namespace jacinthshift
