#include "tests/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <unistd.h>

#include <glib.h>

#include "core/logger.h"
#include "core/text.h"
#include "platform/tests/record_encoder.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

constexpr const char *Host = "soak.example";
constexpr std::chrono::milliseconds ReadTimeout{1'500};
constexpr std::chrono::milliseconds WriteTimeout{2'000};
constexpr std::chrono::milliseconds TargetLatency{400};
constexpr std::chrono::milliseconds TickPeriod{5};
constexpr std::chrono::milliseconds ProbePeriod{1'000};
constexpr std::chrono::milliseconds ProbeLimit{800};
constexpr std::chrono::milliseconds RestartDelay{300};
constexpr std::chrono::milliseconds Grace{6'000};
constexpr std::chrono::milliseconds StartLimit{6'000};
constexpr std::chrono::milliseconds RecoveryLimit{8'000}; ///< The users allow 15 s.
constexpr std::chrono::milliseconds CalmTime{2'000};
constexpr std::ptrdiff_t FirstRoutes = 4; ///< Those of all configurations.
constexpr std::uint64_t RoutesKept = 3;   ///< Added routes that a configuration still has.
constexpr double BurstFactor = 3.0;
constexpr std::uint64_t LeaverPart = 40; ///< One caller in so many leaves early.
constexpr std::chrono::milliseconds LeaveAfter{30};
constexpr double LeastServed = 0.9;
constexpr std::size_t MemoryLimitKilobytes = 256UL * 1024UL;

/** Returns the largest memory that a process has used, in kilobytes. */
std::size_t peakMemory(pid_t pid)
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

} // namespace

Soak::RouteKind Soak::makeRoute(const std::string &name, const std::string &service,
                                const std::string &method)
{
    const bool reads = method == "GET";
    return RouteKind{.route = {.name = name,
                               .host = Host,
                               .prefix = joinText("/", name, "/"),
                               .idempotent = reads,
                               .timeout = reads ? ReadTimeout : WriteTimeout,
                               .targetLatency = TargetLatency,
                               .priority = reads ? 1U : 0U,
                               .maxAttempts = 3,
                               .parts = {{.service = service}}},
                     .method = method};
}

Soak::Soak(const SoakOptions &options)
    : m_options(options)
    , m_store(m_timers)
    , m_random(options.seed)
    , m_faults(drawFaults(options.seed, options.length))
{
    m_directory = joinText(std::filesystem::temp_directory_path().string(), "/jacinthshift-soak-",
                           m_options.seed, "-", getpid());
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    m_routes = {makeRoute("list", "dispatch", "GET"), makeRoute("book", "dispatch", "POST"),
                makeRoute("meters", "fleet", "GET"), makeRoute("order", "fleet", "POST")};
    addNodes();
}

Soak::~Soak()
{
    for (const std::unique_ptr<SoakNode> &node : m_nodes)
        node->process.signal(SIGCONT);
}

std::string Soak::domainPrefix(std::size_t domain) const
{
    return joinText(m_network.prefix(), ".", domain + 1, ".");
}

void Soak::addNodes()
{
    for (std::size_t i = 0; i < m_options.domains * m_options.nodesPerDomain; ++i) {
        const std::size_t domain = i % m_options.domains;
        const std::size_t number = i / m_options.domains;
        auto node = std::make_unique<SoakNode>();
        node->index = i;
        node->domain = joinText("zone-", domain);
        node->name = joinText("n", domain, "-", number);
        node->service = (domain + number) % 2 == 0 ? "dispatch" : "fleet";
        node->address = joinText(domainPrefix(domain), number + 1);
        node->backend =
                std::make_unique<SoakBackend>(SoakBackendOptions{.service = node->service,
                                                                 .domain = node->domain,
                                                                 .node = i,
                                                                 .listen = {node->address, 9000},
                                                                 .control = node->control(),
                                                                 .seed = m_options.seed + i},
                                              m_timers, m_http, m_ledger);
        m_nodes.push_back(std::move(node));
    }
}

void Soak::writeSettings(const SoakNode &node) const
{
    std::ofstream file(joinText(m_directory, "/", node.name, ".yaml"));
    file << "node: " << node.name << "\nfailure_domain: " << node.domain
         << "\nservice: " << node.service << "\nlisten:\n  callers: " << node.callers().text()
         << "\n  readiness: " << node.readiness().text() << "\n  control: " << node.control().text()
         << "\n  links: " << node.links().text()
         << "\n  advertised_links: " << node.advertisedLinks().text()
         << "\n  metrics: " << node.metrics().text()
         << "\nplatform:\n  store: " << m_network.prefix() << ".250.1:6001\nseeds: ["
         << m_nodes[0]->control().text() << ", " << m_nodes[1]->control().text()
         << "]\nlimits:\n  grace_seconds: 6\n  retry_ratio: " << m_bounds.retryRatio
         << "\n  retry_slack: " << m_bounds.retrySlack
         << "\n  retry_window_seconds: 10\n  cold_factor: " << m_bounds.coldFactor
         << "\n  max_files: 4100\n  processor_share: 0.2\n  link_megabits: 1000\n";
}

absl::Status Soak::startPlatform()
{
    const Endpoint store{m_network.prefix() + ".250.1", 6000};
    std::string routes = joinText(m_network.prefix(), ".250.1:6001=", store.text());
    for (const std::unique_ptr<SoakNode> &node : m_nodes)
        routes += joinText(",", node->advertisedLinks().text(), "=", node->links().text());
    const absl::Status listening = m_store.listen(store);
    if (!listening.ok())
        return listening;
    const std::vector<std::string> command = {
            m_options.binaries + "/standin_network_relay",
            joinText("--control=", m_network.prefix(), ".251.1:6100"), "--routes=" + routes};
    if (!m_relay.start(command, m_directory + "/network_relay.out"))
        return absl::InternalError("the network relay does not start");
    pause(std::chrono::milliseconds(200));
    return absl::OkStatus();
}

void Soak::pause(std::chrono::milliseconds time)
{
    waitFor(time, [] { return false; });
}

bool Soak::waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition)
{
    bool over = false;
    const Timer timer(m_timers, m_timers.startOnce(limit, [&over] { over = true; }));
    while (!over && !condition())
        g_main_context_iteration(nullptr, TRUE);
    return !over;
}

void Soak::incident(const std::string &promise, const std::string &what)
{
    const auto at =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_startedAt);
    m_ledger.incidents.push_back(joinText(promise, ": ", what, " at ", at.count(), " ms"));
}

void Soak::startNode(SoakNode &node)
{
    writeSettings(node);
    ++node.life;
    node.expectedToEnd = false;
    node.stopping = false;
    node.missedProbes = 2;
    const bool started =
            node.process.start({m_options.binaries + "/jacinthshift", "mesh-node",
                                joinText("--settings=", m_directory, "/", node.name, ".yaml")},
                               joinText(m_directory, "/", node.name, ".log"));
    if (!started)
        incident("process", node.name + " does not start");
}

void Soak::watchNode(SoakNode &node)
{
    if (node.restart.isActive())
        return;
    const bool ended = node.process.hasEnded();
    const SteadyTime now = m_timers.now();
    if (!ended) {
        if (node.stopping && now - node.stopSentAt > Grace) {
            incident("graceful stop", node.name + " did not end in time");
            kill(node);
        }
        return;
    }
    if (!node.expectedToEnd || (node.stopping && node.process.exitCode() != 0))
        incident("process",
                 joinText(node.name, " ended by itself or with status ", node.process.exitCode()));
    if (node.stopping)
        m_ledger.disturbances[node.stopDisturbance].until = now;
    node.thaw.stop();
    node.missedProbes = 2;
    node.restart = Timer(m_timers, m_timers.startOnce(RestartDelay, [this, &node] {
        node.restart.stop();
        startNode(node);
    }));
}

void Soak::probeNode(SoakNode &node)
{
    const std::uint32_t life = node.life;
    m_http.send(HttpSendOptions{.server = node.readiness(), .timeout = ProbeLimit},
                HttpRequest{.target = std::string(wire::ReadyPath)},
                [&node, life](const HttpResult &result) {
                    if (node.life != life)
                        return;
                    const bool ready =
                            result.verdict == Verdict::Done && result.response.status == 200;
                    node.missedProbes = ready ? 0 : node.missedProbes + 1;
                });
}

void Soak::publishConfig()
{
    ++m_version;
    std::vector<RouteKind> kinds(m_routes.begin(), m_routes.begin() + FirstRoutes);
    for (std::uint64_t added = m_version; added > 0 && added + RoutesKept > m_version; --added) {
        kinds.push_back(makeRoute(joinText("added-", added), "dispatch", "GET"));
        kinds.back().addedIn = added;
    }
    TrafficConfig config{.version = m_version,
                         .limits = {.headerTimeout = std::chrono::milliseconds(5'000),
                                    .idleTimeout = std::chrono::milliseconds(30'000)}};
    for (const RouteKind &kind : kinds)
        config.routes.push_back(kind.route);
    for (const char *service : {"dispatch", "fleet"})
        config.services[service] = ServicePolicy{.healthPath = "/health",
                                                 .maxConnections = 130,
                                                 .coldPeriod = std::chrono::milliseconds(3'000),
                                                 .coldRequestsPerSecond = m_bounds.coldPerSecond};
    m_store.put(wire::OperatorTable, std::string(wire::ConfigKey), encodeConfig(config));
    m_ledger.configs[m_version] = m_timers.now();
    m_routes = std::move(kinds);
    // Its effect is looked for while it spreads and once it has to be in force.
    const std::uint64_t version = m_version;
    for (const int wait : {300, 900, 2'050, 2'600})
        later(std::chrono::milliseconds(wait), [this, version] { probeConfig(version); });
}

void Soak::probeConfig(std::uint64_t version)
{
    const auto route = std::find_if(m_routes.begin(), m_routes.end(), [version](const auto &kind) {
        return kind.addedIn == version;
    });
    if (route == m_routes.end())
        return;
    const RouteKind kind = *route;
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        if (node->missedProbes < 2)
            send(*node, kind, false);
    }
}

void Soak::takeOut(const std::string &domain, bool out)
{
    const std::string key = joinText(std::string(wire::EvacuateKeyPrefix), domain);
    m_store.put(wire::OperatorTable, key, out ? "{}" : "");
    const SteadyTime now = m_timers.now();
    if (out) {
        m_ledger.takeOuts.push_back(
                TakeOut{.domain = domain, .from = now, .until = SteadyTime::max()});
        return;
    }
    for (TakeOut &one : m_ledger.takeOuts) {
        if (one.domain == domain && one.until == SteadyTime::max())
            one.until = now;
    }
}

void Soak::tick()
{
    for (const std::unique_ptr<SoakNode> &node : m_nodes)
        watchNode(*node);
    const SteadyTime now = m_timers.now();
    const double factor = m_bursts > 0 ? BurstFactor : 1.0;
    m_owed += std::chrono::duration<double>(now - m_lastTick).count() * m_options.requestsPerSecond
              * factor;
    m_lastTick = now;
    std::vector<SoakNode *> open;
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        if (node->missedProbes < 2)
            open.push_back(node.get());
    }
    for (; m_owed >= 1.0; m_owed -= 1.0) {
        if (!open.empty())
            send(*open[m_random.below(open.size())], m_routes[m_random.below(FirstRoutes)], true);
    }
}

void Soak::send(SoakNode &node, const RouteKind &kind, bool mayLeave)
{
    const TrafficRoute &route = kind.route;
    const HeaderNames names = wire::headerNames();
    const std::string id = joinText("r", ++m_lastId);
    HttpRequest request{.method = kind.method, .target = joinText(route.prefix, id)};
    request.headers = {{"Host", Host},
                       {names.requestId, id},
                       {names.deadline, std::to_string(route.timeout.count())}};
    if (!route.idempotent)
        request.body = std::string(200, 'b');
    const std::size_t index = m_ledger.sent(Attempt{.id = id,
                                                    .node = node.index,
                                                    .life = node.life,
                                                    .callerService = node.service,
                                                    .service = route.parts.front().service,
                                                    .target = request.target,
                                                    .addedIn = kind.addedIn,
                                                    .idempotent = route.idempotent,
                                                    .sentAt = m_timers.now(),
                                                    .timeout = route.timeout});
    const HttpCallId call =
            m_http.send(HttpSendOptions{.server = node.callers(), .timeout = route.timeout},
                        request, [this, index](const HttpResult &result) {
                            m_ledger.answered(index, m_timers.now(), result);
                        });
    if (!mayLeave || m_random.below(LeaverPart) != 0)
        return;
    later(LeaveAfter, [this, index, call] {
        Attempt &attempt = m_ledger.attempts[index];
        if (attempt.endedAt)
            return;
        attempt.leftAt = m_timers.now();
        m_http.cancel(call);
    });
}

void Soak::later(std::chrono::milliseconds delay, std::function<void()> action)
{
    const auto place = m_pending.emplace(m_pending.end());
    *place = Timer(m_timers, m_timers.startOnce(delay, [this, place, action = std::move(action)] {
        const std::function<void()> run = action;
        m_pending.erase(place);
        run();
    }));
}

absl::Status Soak::run()
{
    m_startedAt = m_timers.now();
    const absl::Status started = startPlatform();
    if (!started.ok())
        return started;
    publishConfig();
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        startNode(*node);
        node->backend->start(false);
    }
    m_lastTick = m_timers.now();
    m_prober = Timer(m_timers, m_timers.startPeriodic(ProbePeriod, [this] {
        for (const std::unique_ptr<SoakNode> &node : m_nodes)
            probeNode(*node);
    }));
    const auto ready = [this] {
        return std::all_of(m_nodes.begin(), m_nodes.end(),
                           [](const auto &node) { return node->missedProbes == 0; });
    };
    if (!waitFor(StartLimit, ready))
        return absl::InternalError("not all nodes became ready; logs in " + m_directory);
    m_startedAt = m_timers.now();
    m_lastTick = m_startedAt;
    m_ticker = Timer(m_timers, m_timers.startPeriodic(TickPeriod, [this] { tick(); }));
    for (const Fault &fault : m_faults)
        later(fault.at, [this, fault] { begin(fault); });
    pause(m_options.length);
    checkRecovery();
    m_ticker.stop();
    pause(std::chrono::milliseconds(2'200)); // The longest timeout of a request.
    return absl::OkStatus();
}

void Soak::checkRecovery()
{
    pause(RecoveryLimit);
    publishConfig();
    const std::size_t first = m_ledger.attempts.size();
    pause(std::chrono::milliseconds(3'000));
    const SteadyTime end = m_timers.now() - CalmTime / 2;
    std::size_t sent = 0;
    std::size_t served = 0;
    for (std::size_t i = first; i < m_ledger.attempts.size(); ++i) {
        const Attempt &attempt = m_ledger.attempts[i];
        if (attempt.sentAt > end || attempt.leftAt)
            continue;
        ++sent;
        served += attempt.status == 200 ? 1 : 0;
    }
    if (sent == 0 || static_cast<double>(served) < LeastServed * static_cast<double>(sent))
        incident("recovery", joinText(served, " of ", sent, " requests served"));
    for (const std::unique_ptr<SoakNode> &node : m_nodes) {
        if (node->missedProbes > 0)
            incident("recovery", node->name + " is not ready");
        const std::size_t memory = peakMemory(node->process.pid());
        if (memory > MemoryLimitKilobytes)
            incident("memory", joinText(node->name, " has used ", memory, " KB"));
        const bool inForce =
                std::any_of(m_ledger.attempts.begin() + static_cast<std::ptrdiff_t>(first),
                            m_ledger.attempts.end(), [&node, this](const Attempt &attempt) {
                                return attempt.node == node->index && attempt.addedIn == m_version
                                       && attempt.status == 200;
                            });
        if (!inForce)
            incident("recovery", node->name + " does not serve the newest configuration");
    }
}

std::string Soak::summary() const
{
    std::size_t served = 0;
    std::size_t refused = 0;
    for (const Attempt &attempt : m_ledger.attempts) {
        served += attempt.status == 200 ? 1 : 0;
        refused += attempt.status == 503 || attempt.status == 429 ? 1 : 0;
    }
    return joinText("seed ", m_options.seed, ": ", m_faults.size(), " faults, ",
                    m_ledger.attempts.size(), " requests, ", served, " served, ", refused,
                    " refused, ", m_version, " configurations");
}

void Soak::writeRecords() const
{
    const auto since = [this](SteadyTime time) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(time - m_startedAt).count();
    };
    std::ofstream file(m_directory + "/records.txt");
    for (const Disturbance &one : m_ledger.disturbances)
        file << "fault " << since(one.from) << " to " << since(one.until) << " " << one.kind
             << (one.node ? " " + m_nodes[*one.node]->name : "") << "\n";
    for (const Attempt &attempt : m_ledger.attempts)
        file << "request " << attempt.id << " at " << since(attempt.sentAt) << " to "
             << m_nodes[attempt.node]->name << " life " << attempt.life << " " << attempt.target
             << " ended " << (attempt.endedAt ? since(*attempt.endedAt) : -1) << " status "
             << attempt.status << " failure " << static_cast<int>(attempt.failure)
             << (attempt.leftAt ? " left" : "") << "\n";
    for (const Run &run : m_ledger.runs)
        file << "run " << run.id << " at " << since(run.at) << " on " << run.backend << " ended "
             << (run.endedAt ? since(*run.endedAt) : -1) << " as " << static_cast<int>(run.end)
             << "\n";
    for (const auto &[backend, at] : m_ledger.drains)
        file << "drain of " << backend << " acknowledged " << since(at) << "\n";
}

} // namespace jacinthshift
