#include "tests/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include <glib.h>

#include "core/logger.h"
#include "core/text.h"
#include "drivers/beast/http_wire.h"
#include "platform/tests/record_encoder.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

constexpr const char *Host = "soak.example";
constexpr std::chrono::milliseconds ReadRouteTimeout{1'500};
constexpr std::chrono::milliseconds WriteRouteTimeout{2'000};
constexpr std::chrono::milliseconds TargetLatency{400};
constexpr std::chrono::milliseconds TickPeriod{5};
constexpr std::chrono::milliseconds ProbePeriod{1'000};
constexpr std::chrono::milliseconds ProbeTimeout{800};
constexpr std::chrono::milliseconds RestartDelay{300};
constexpr std::chrono::milliseconds StopGracePeriod{6'000};
constexpr std::chrono::milliseconds StartTimeout{6'000};
constexpr std::chrono::milliseconds RecoveryLimit{8'000}; ///< The users allow 15 s.
constexpr std::chrono::milliseconds MaxOperationTime{60'000};
// Requests sent less than half of this time ago may be in flight and are not counted.
constexpr std::chrono::milliseconds InFlightWindow{2'000};
constexpr std::ptrdiff_t PermanentRoutes = 4; ///< Routes of all configurations.
constexpr std::uint64_t AddedRoutesKept = 3;  ///< Newest added routes in a configuration.
constexpr double BurstFactor = 3.0;
constexpr std::chrono::milliseconds SlowCallerWait{6'000}; ///< Callers that read slowly need 4 s.
constexpr std::uint64_t CancelOneIn = 40; ///< One request in this many is cancelled.
constexpr std::chrono::milliseconds CancelDelay{30};
constexpr double MinServedRatio = 0.9;
constexpr std::size_t MemoryLimitKilobytes = 256UL * 1024UL;

/** Returns the peak resident memory of a process. */
std::size_t peakMemoryKilobytes(pid_t pid)
{
    std::ifstream file(joinText("/proc/", pid, "/status"));
    std::string word;
    while (file >> word) {
        std::size_t kilobytes = 0;
        if (word == "VmHWM:" && file >> kilobytes)
            return kilobytes;
    }
    return 0;
}

std::vector<Fault> drawPlan(const SoakOptions &options)
{
    if (options.stopsUnderLoad)
        return drawStopsUnderLoad(options.seed, options.injectionDuration);
    return options.plannedOnly ? drawPlannedOperations(options.seed, options.injectionDuration)
                               : drawFaults(options.seed, options.injectionDuration);
}

} // namespace

Soak::CallerRoute Soak::makeRoute(const std::string &name, const std::string &service,
                                  const std::string &method)
{
    const bool reads = method == "GET";
    return CallerRoute{.route = {.name = name,
                                 .host = Host,
                                 .prefix = joinText("/", name, "/"),
                                 .idempotent = reads,
                                 .timeout = reads ? ReadRouteTimeout : WriteRouteTimeout,
                                 .targetLatency = TargetLatency,
                                 .priority = reads ? 1U : 0U,
                                 .maxAttempts = 3,
                                 .parts = {{.service = service}}},
                       .method = method};
}

Soak::Soak(const SoakOptions &options)
    : m_options(options), m_store(m_timers), m_random(options.seed), m_faults(drawPlan(options))
{
    m_directory = joinText(std::filesystem::temp_directory_path().string(), "/jacinthshift-soak-",
                           m_options.seed, "-", getpid());
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    m_routes = {makeRoute("list", "dispatch", "GET"), makeRoute("book", "dispatch", "POST"),
                makeRoute("meters", "fleet", "GET"), makeRoute("order", "fleet", "POST")};
    if (!options.plannedOnly && !options.stopsUnderLoad) {
        for (const Fault &fault : drawDepartureFaults(options.seed, options.injectionDuration))
            m_faults.push_back(fault);
    }
    for (std::size_t i = 0; i < options.slowCallers; ++i)
        m_slowCallers.push_back(std::make_unique<SlowCaller>(m_timers, m_observations));
    addNodes();
}

Soak::~Soak()
{
    for (const std::unique_ptr<SoakNode> &node : m_nodes)
        node->process.signal(SIGCONT);
}

std::string Soak::addressPrefix(std::size_t domain) const
{
    return joinText(m_network.prefix(), ".", domain + 1, ".");
}

void Soak::addNodes()
{
    for (std::size_t i = 0; i < m_options.domainCount * m_options.nodesPerDomain; ++i) {
        const std::size_t domain = i % m_options.domainCount;
        const std::size_t number = i / m_options.domainCount;
        auto node = std::make_unique<SoakNode>();
        node->index = i;
        node->domain = joinText("zone-", domain);
        node->name = joinText("n", domain, "-", number);
        node->service = (domain + number) % 2 == 0 ? "dispatch" : "fleet";
        node->address = joinText(addressPrefix(domain), number + 1);
        node->backend =
                std::make_unique<SoakBackend>(SoakBackendOptions{.service = node->service,
                                                                 .domain = node->domain,
                                                                 .node = i,
                                                                 .listen = {node->address, 9000},
                                                                 .control = node->controlEndpoint(),
                                                                 .seed = m_options.seed + i},
                                              m_timers, m_http, m_observations);
        m_nodes.push_back(std::move(node));
    }
}

void Soak::writeSettings(const SoakNode &node) const
{
    std::ofstream file(joinText(m_directory, "/", node.name, ".yaml"));
    file << "node: " << node.name << "\nfailure_domain: " << node.domain
         << "\nservice: " << node.service
         << "\nlisten:\n  callers: " << node.callerEndpoint().text()
         << "\n  readiness: " << node.readinessEndpoint().text()
         << "\n  control: " << node.controlEndpoint().text()
         << "\n  links: " << node.linkEndpoint().text()
         << "\n  advertised_links: " << node.advertisedLinkEndpoint().text()
         << "\n  metrics: " << node.metricsEndpoint().text()
         << "\nplatform:\n  store: " << m_network.prefix() << ".250.1:6001\nseeds: ["
         << m_nodes[0]->controlEndpoint().text() << ", " << m_nodes[1]->controlEndpoint().text()
         << "]\nlimits:\n  grace_seconds: 6\n  retry_ratio: " << m_bounds.retryRatio
         << "\n  retry_slack: " << m_bounds.retrySlack
         << "\n  retry_window_seconds: 10\n  cold_factor: " << m_bounds.coldFactor
         << "\n  max_files: 4100\n  processor_share: 0.2\n  link_megabits: 1000\n";
}

absl::Status Soak::startStandIns()
{
    const Endpoint store{m_network.prefix() + ".250.1", 6000};
    std::string routes = joinText(m_network.prefix(), ".250.1:6001=", store.text());
    for (const std::unique_ptr<SoakNode> &node : m_nodes)
        routes += joinText(",", node->advertisedLinkEndpoint().text(), "=",
                           node->linkEndpoint().text());
    const absl::Status listening = m_store.listen(store);
    if (!listening.ok())
        return listening;
    const std::vector<std::string> command = {
            m_options.binaryDirectory + "/standin_network_relay",
            joinText("--control=", m_network.prefix(), ".251.1:6100"), "--routes=" + routes};
    if (!m_relay.start(command, m_directory + "/network_relay.out"))
        return absl::InternalError("the network relay could not be started");
    pause(std::chrono::milliseconds(200));
    return absl::OkStatus();
}

void Soak::pause(std::chrono::milliseconds time)
{
    waitFor(time, [] { return false; });
}

bool Soak::waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    bool timedOut = false;
    const Timer timer(m_timers, m_timers.startOnce(limit, [&timedOut] { timedOut = true; }));
    while (!timedOut && !condition())
        g_main_context_iteration(nullptr, TRUE);
    return !timedOut;
}

void Soak::reportIncident(const std::string &invariant, const std::string &detail)
{
    const auto at =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_startedAt);
    m_observations.incidents.push_back(
            joinText(invariant, ": ", detail, " at ", at.count(), " ms"));
}

void Soak::startNode(SoakNode &node)
{
    writeSettings(node);
    node.busyCallers.clear();
    ++node.generation;
    node.expectedToEnd = false;
    node.stopping = false;
    node.wasReady = false;
    node.startedAt = m_timers.now();
    node.missedProbes = 2;
    const bool started =
            node.process.start({m_options.binaryDirectory + "/jacinthshift", "mesh-node",
                                joinText("--settings=", m_directory, "/", node.name, ".yaml")},
                               joinText(m_directory, "/", node.name, ".log"));
    if (!started)
        reportIncident("process", node.name + " could not be started");
}

void Soak::watchNode(SoakNode &node)
{
    if (node.restartTimer.isActive())
        return;
    const bool ended = node.process.hasEnded();
    const SteadyTime now = m_timers.now();
    if (!ended) {
        if (node.stopping && node.ranSinceStop(now) > StopGracePeriod) {
            reportIncident("graceful stop", node.name + " did not end in time");
            kill(node);
        }
        return;
    }
    const bool failedToStop =
            node.stopping && node.process.exitCode() != 0 && !node.wasStoppedWhileStarting();
    if (!node.expectedToEnd || failedToStop)
        reportIncident("process", joinText(node.name, " exited unexpectedly or with status ",
                                           node.process.exitCode()));
    if (node.stopping)
        m_observations.disturbances[node.stopDisturbance].until = now;
    node.resumeTimer.stop();
    node.shareTimer.stop();
    node.frozenSince = SteadyTime();
    node.missedProbes = 2;
    node.restartTimer = Timer(m_timers, m_timers.startOnce(RestartDelay, [this, &node] {
        node.restartTimer.stop();
        startNode(node);
    }));
}

void Soak::probeNode(SoakNode &node)
{
    const std::uint32_t generation = node.generation;
    m_http.send(HttpSendOptions{.server = node.readinessEndpoint(), .timeout = ProbeTimeout},
                HttpRequest{.target = std::string(wire::ReadyPath)},
                [&node, generation](const HttpResult &result) {
                    if (node.generation != generation)
                        return;
                    const bool ready =
                            result.verdict == Verdict::Done && result.response.status == 200;
                    node.missedProbes = ready ? 0 : node.missedProbes + 1;
                    node.wasReady = node.wasReady || ready;
                });
}

void Soak::publishConfig()
{
    ++m_configVersion;
    std::vector<CallerRoute> callerRoutes(m_routes.begin(), m_routes.begin() + PermanentRoutes);
    for (std::uint64_t added = m_configVersion;
         added > 0 && added + AddedRoutesKept > m_configVersion; --added) {
        callerRoutes.push_back(makeRoute(joinText("added-", added), "dispatch", "GET"));
        callerRoutes.back().addedInVersion = added;
    }
    TrafficConfig config{.version = m_configVersion,
                         .limits = {.headerTimeout = std::chrono::milliseconds(5'000),
                                    .idleTimeout = std::chrono::milliseconds(30'000)}};
    for (const CallerRoute &callerRoute : callerRoutes)
        config.routes.push_back(callerRoute.route);
    for (const char *service : {"dispatch", "fleet"})
        config.services[service] = ServicePolicy{.healthPath = "/health",
                                                 .maxConnections = 130,
                                                 .coldPeriod = std::chrono::milliseconds(3'000),
                                                 .coldRequestsPerSecond = m_bounds.coldPerSecond};
    m_store.put(wire::OperatorTable, std::string(wire::ConfigKey), encodeConfig(config));
    m_observations.configs[m_configVersion] = m_timers.now();
    m_routes = std::move(callerRoutes);
    // Probes the added route while the configuration is distributed, and after its time limit.
    const std::uint64_t version = m_configVersion;
    for (const int delayMs : {300, 900, 2'050, 2'600})
        schedule(std::chrono::milliseconds(delayMs), [this, version] { probeConfig(version); });
}

void Soak::probeConfig(std::uint64_t version)
{
    const auto route =
            std::find_if(m_routes.begin(), m_routes.end(), [version](const auto &callerRoute) {
                return callerRoute.addedInVersion == version;
            });
    if (route == m_routes.end())
        return;
    const CallerRoute callerRoute = *route;
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        if (node->missedProbes < 2)
            send(*node, callerRoute, false);
    }
}

void Soak::setTakenOut(const std::string &domain, bool takenOut)
{
    const std::string key = joinText(std::string(wire::EvacuateKeyPrefix), domain);
    m_store.put(wire::OperatorTable, key, takenOut ? "{}" : "");
    const SteadyTime now = m_timers.now();
    if (takenOut) {
        m_observations.takeOuts.push_back(
                TakeOut{.domain = domain, .from = now, .until = SteadyTime::max()});
        return;
    }
    for (TakeOut &period : m_observations.takeOuts) {
        if (period.domain == domain && period.until == SteadyTime::max())
            period.until = now;
    }
}

void Soak::tick()
{
    for (const std::unique_ptr<SoakNode> &node : m_nodes)
        watchNode(*node);
    const SteadyTime now = m_timers.now();
    const double factor = m_activeBursts > 0 ? BurstFactor : 1.0;
    m_dueRequests += std::chrono::duration<double>(now - m_lastTick).count()
                     * m_options.requestsPerSecond * factor;
    m_lastTick = now;
    std::vector<SoakNode *> readyNodes;
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        if (node->missedProbes < 2)
            readyNodes.push_back(node.get());
    }
    if (!readyNodes.empty())
        sendSlowly(readyNodes);
    for (; m_dueRequests >= 1.0; m_dueRequests -= 1.0) {
        if (!readyNodes.empty())
            send(*readyNodes[m_random.below(readyNodes.size())],
                 m_routes[m_random.below(PermanentRoutes)], true);
    }
}

HttpRequest Soak::makeMessage(const CallerRoute &callerRoute, const std::string &id)
{
    const TrafficRoute &route = callerRoute.route;
    const HeaderNames names = wire::headerNames();
    HttpRequest request{.method = callerRoute.method, .target = joinText(route.prefix, id)};
    request.headers = {{"Host", Host},
                       {names.requestId, id},
                       {names.deadline, std::to_string(route.timeout.count())}};
    if (!route.idempotent)
        request.body = std::string(200, 'b');
    return request;
}

PipelinedRequest Soak::makePipelinedRequest(const SoakNode &node)
{
    const CallerRoute &callerRoute = m_routes[m_random.below(PermanentRoutes)];
    const std::string id = joinText("busy-", ++m_lastRequestId);
    const std::size_t index = m_observations.requestSent(
            makeRecord(node, callerRoute.route, id, callerRoute.route.timeout));
    const SerializedMessage message =
            serializeRequest(node.callerEndpoint(), makeMessage(callerRoute, id));
    return {.index = index, .bytes = joinText(message.head, message.body.string())};
}

void Soak::send(SoakNode &node, const CallerRoute &callerRoute, bool mayCancel)
{
    const TrafficRoute &route = callerRoute.route;
    const std::string id = joinText("r", ++m_lastRequestId);
    const std::size_t index =
            m_observations.requestSent(makeRecord(node, route, id, route.timeout));
    m_observations.requests[index].addedInVersion = callerRoute.addedInVersion;
    const HttpCallId call =
            m_http.send(HttpSendOptions{.server = node.callerEndpoint(), .timeout = route.timeout},
                        makeMessage(callerRoute, id), [this, index](const HttpResult &result) {
                            m_observations.requestEnded(index, m_timers.now(), result);
                        });
    if (!mayCancel || m_random.below(CancelOneIn) != 0)
        return;
    schedule(CancelDelay, [this, index, call] {
        CallerRequest &callerRequest = m_observations.requests[index];
        if (callerRequest.endedAt)
            return;
        callerRequest.cancelledAt = m_timers.now();
        m_http.cancel(call);
    });
}

CallerRequest Soak::makeRecord(const SoakNode &node, const TrafficRoute &route,
                               const std::string &id, std::chrono::milliseconds timeout) const
{
    return CallerRequest{.id = id,
                         .node = node.index,
                         .generation = node.generation,
                         .callerService = node.service,
                         .service = route.parts.front().service,
                         .target = joinText(route.prefix, id),
                         .idempotent = route.idempotent,
                         .sentAt = m_timers.now(),
                         .timeout = timeout};
}

void Soak::sendSlowly(const std::vector<SoakNode *> &readyNodes)
{
    const HeaderNames names = wire::headerNames();
    const TrafficRoute &route = m_routes.front().route;
    for (const std::unique_ptr<SlowCaller> &caller : m_slowCallers) {
        if (!caller->isIdle())
            continue;
        const SoakNode &node = *readyNodes[++m_lastSlowId % readyNodes.size()];
        const std::string id = joinText(LongResponseIdPrefix, m_lastSlowId);
        const HttpRequest message{
                .target = joinText(route.prefix, id),
                .headers = {{"Host", Host},
                            {names.requestId, id},
                            {names.deadline, std::to_string(SlowCallerWait.count())}}};
        caller->send(node.callerEndpoint(), makeRecord(node, route, id, SlowCallerWait), message);
    }
}

void Soak::schedule(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto entry = m_scheduled.emplace(m_scheduled.end());
    *entry = Timer(m_timers, m_timers.startOnce(delay, [this, entry, action = std::move(action)] {
        const std::function<void()> run = action;
        m_scheduled.erase(entry);
        run();
    }));
}

void Soak::scheduleStep(std::chrono::milliseconds delay, std::function<void()> action)
{
    ++m_pendingSteps;
    schedule(delay, [this, action = std::move(action)] {
        --m_pendingSteps;
        action();
    });
}

absl::Status Soak::run()
{
    m_startedAt = m_timers.now();
    const absl::Status started = startStandIns();
    if (!started.ok())
        return started;
    publishConfig();
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        startNode(*node);
        node->backend->start(false);
    }
    m_lastTick = m_timers.now();
    m_probeTimer = Timer(m_timers, m_timers.startPeriodic(ProbePeriod, [this] {
        for (const std::unique_ptr<SoakNode> &node : m_nodes)
            probeNode(*node);
    }));
    const auto ready = [this] {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
                           [](const auto &node) { return node->missedProbes == 0; });
    };
    if (!waitFor(StartTimeout, ready))
        return absl::InternalError("not all nodes became ready; logs in " + m_directory);
    m_startedAt = m_timers.now();
    m_lastTick = m_startedAt;
    m_tickTimer = Timer(m_timers, m_timers.startPeriodic(TickPeriod, [this] { tick(); }));
    for (const Fault &fault : m_faults)
        schedule(fault.at, [this, fault] { beginFault(fault); });
    pause(m_options.injectionDuration);
    checkRecovery();
    m_tickTimer.stop();
    pause(std::chrono::milliseconds(
            2'200)); // Longer than the timeout of any request but slow ones.
    return absl::OkStatus();
}

bool Soak::areOperationsOver() const
{
    return m_pendingSteps == 0 && std::all_of(m_nodes.begin(), m_nodes.end(), [](const auto &node) {
               return !node->shareTimer.isActive() && node->backend->isRunning()
                      && !node->backend->isLeaving();
           });
}

void Soak::checkRecovery()
{
    // What the nodes have to recover from ends with the last step of the plan's operations.
    if (!waitFor(MaxOperationTime, [this] { return areOperationsOver(); }))
        reportIncident("soak", "an operation or the return of a backend server did not end");
    pause(RecoveryLimit);
    publishConfig();
    const std::size_t first = m_observations.requests.size();
    pause(std::chrono::milliseconds(3'000));
    const SteadyTime end = m_timers.now() - InFlightWindow / 2;
    std::size_t sent = 0;
    std::size_t served = 0;
    for (std::size_t i = first; i < m_observations.requests.size(); ++i) {
        const CallerRequest &request = m_observations.requests[i];
        if (request.sentAt > end || request.cancelledAt)
            continue;
        ++sent;
        served += request.status == 200 ? 1 : 0;
    }
    if (sent == 0 || static_cast<double>(served) < MinServedRatio * static_cast<double>(sent))
        reportIncident("recovery", joinText(served, " of ", sent, " requests served"));
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        if (node->missedProbes > 0)
            reportIncident("recovery", node->name + " is not ready");
        const std::size_t memory = peakMemoryKilobytes(node->process.pid());
        if (memory > MemoryLimitKilobytes)
            reportIncident("memory", joinText(node->name, " has used ", memory, " KB"));
        const bool inForce = std::any_of(
                m_observations.requests.begin() + static_cast<std::ptrdiff_t>(first),
                m_observations.requests.end(), [&node, this](const CallerRequest &request) {
                    return request.node == node->index && request.addedInVersion == m_configVersion
                           && request.status == 200;
                });
        if (!inForce)
            reportIncident("recovery", node->name + " does not serve the newest configuration");
    }
}

std::string Soak::summary() const
{
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const CallerRequest &request : m_observations.requests) {
        served += request.status == 200 ? 1 : 0;
        refused += request.status == 503 || request.status == 429 ? 1 : 0;
    }
    return joinText("seed ", m_options.seed, ": ", m_faults.size(), " faults, ",
                    m_observations.requests.size(), " requests, ", served, " served, ", refused,
                    " refused, ", m_configVersion, " configurations");
}

void Soak::writeRecords() const
{
    const auto since = [this](SteadyTime time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time - m_startedAt).count();
    };
    std::ofstream file(m_directory + "/records.txt");
    for (const Disturbance &period : m_observations.disturbances)
        file << "fault " << since(period.from) << " to " << since(period.until) << " "
             << period.kind << (period.node ? " " + m_nodes[*period.node]->name : "") << "\n";
    for (const CallerRequest &request : m_observations.requests)
        file << "request " << request.id << " at " << since(request.sentAt) << " to "
             << m_nodes[request.node]->name << " generation " << request.generation << " "
             << request.target << " ended " << (request.endedAt ? since(*request.endedAt) : -1)
             << " status " << request.status << " failure " << static_cast<int>(request.failure)
             << (request.cancelledAt ? " cancelled" : "") << "\n";
    for (const Run &run : m_observations.runs)
        file << "run " << run.id << " at " << since(run.startedAt) << " on " << run.backend
             << " ended " << (run.endedAt ? since(*run.endedAt) : -1) << " as "
             << static_cast<int>(run.outcome) << "\n";
    for (const auto &[backend, at] : m_observations.drains)
        file << "drain of " << backend << " acknowledged " << since(at) << "\n";
}

} // namespace jacinthshift
