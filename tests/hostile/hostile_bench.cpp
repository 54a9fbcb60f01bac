#include "tests/hostile/hostile_bench.h"

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <optional>
#include <unistd.h>

#include <glib.h>

#include "core/duration.h"
#include "core/hash.h"
#include "core/text.h"
#include "platform/tests/record_encoder.h"
#include "platform/wire_names.h"
#include "tests/hostile/hostile_crowd.h"
#include "tests/support/slow_reader.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const HeaderNames names = wire::headerNames();
constexpr const char *Host = "hostile.example";
constexpr const char *BackendId = "i-hostile";
/** The memory of the smallest VM. It limits the data of the process and its resident memory. */
constexpr std::size_t MemoryMegabytes = 160;
constexpr std::size_t BytesPerMegabyte = 1024UL * 1024UL;
constexpr std::size_t LongBytes = 6 * BytesPerMegabyte; ///< Response to a request below /long/.
constexpr std::size_t PageBytes = 256UL * 1024UL;       ///< Response to a request below /page/.
constexpr std::size_t ShortBytes = 600;
constexpr std::size_t LargestBackendBody = 128 * BytesPerMegabyte;
constexpr std::size_t ManyBackendBodies = 1024 * BytesPerMegabyte;
constexpr milliseconds StepPeriod{5};
constexpr milliseconds SamplePeriod{50};
constexpr milliseconds HeartbeatPeriod{500};
/** The crowd ends when it cannot send anything for this time. */
constexpr milliseconds StallTime{3'000};
constexpr seconds MaxPlayTime{40};
constexpr seconds StartTime{20};
/** Only a node that hangs needs longer; it may refuse requests until the crowd is refused. */
constexpr seconds ServeTime{60};
constexpr milliseconds RetryPause{300};
/** Only a node that hangs needs longer for a lone request. */
constexpr seconds LoneRequestTime{60};
constexpr int LoneRequestCount = 3;

std::size_t peakResidentBytes(pid_t pid)
{
    std::ifstream file(joinText("/proc/", pid, "/status"));
    std::string word;
    std::size_t kilobytes = 0;
    while (file >> word) {
        if (word == "VmHWM:" && file >> kilobytes)
            return kilobytes * 1024;
    }
    return 0;
}

std::size_t openDescriptors(pid_t pid)
{
    std::error_code error;
    const std::filesystem::directory_iterator entries(joinText("/proc/", pid, "/fd"), error);
    return error ? 0 : static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

constexpr std::string_view SizedPath = "/sized/"; ///< Followed by the bytes of the response.

/** Returns a text that is the same only for equal bodies. */
std::string bodySummary(const std::string &body)
{
    return joinText(body.size(), " ", stableHash(body));
}

/** Returns the bytes of a body, in one piece or in chunks. */
std::string encodeBody(const std::string &body, bool isChunked)
{
    constexpr std::size_t ChunkBytes = 0x10000;
    if (!isChunked)
        return joinText("Content-Length: ", body.size(), "\r\n\r\n", body);
    std::string bytes = "Transfer-Encoding: chunked\r\n\r\n";
    bytes.reserve(body.size() + body.size() / 1'000);
    for (std::size_t at = 0; at < body.size(); at += ChunkBytes)
        bytes.append("10000\r\n").append(body, at, ChunkBytes).append("\r\n");
    return bytes + "0\r\n\r\n";
}

std::uint16_t portOf(HostileTarget target)
{
    switch (target) {
    case HostileTarget::Callers:
        return 8080;
    case HostileTarget::Readiness:
        return 8081;
    case HostileTarget::Control:
        return 8082;
    case HostileTarget::Metrics:
        return 9901;
    case HostileTarget::Links:
        break;
    }
    return 7000;
}

} // namespace

HostileBench::HostileBench(std::string binaryDirectory, const HostileSetup &setup)
    : m_setup(setup)
    , m_binaryDirectory(std::move(binaryDirectory))
    , m_store(m_timers)
    , m_backend(HttpServerOptions{.maxBodyBytes = LargestBackendBody,
                                  .maxHeldBodyBytes = ManyBackendBodies})
{
    m_directory = joinText(std::filesystem::temp_directory_path().string(),
                           "/jacinthshift-hostile-", getpid());
    std::filesystem::remove_all(m_directory);
    std::filesystem::create_directories(m_directory);
    for (std::size_t i = 0; i < 2; ++i) {
        auto node = std::make_unique<Node>();
        node->name = joinText("n", i);
        node->address = joinText(m_network.prefix(), ".1.", i + 1);
        m_nodes.push_back(std::move(node));
    }
}

Endpoint HostileBench::endpoint(std::size_t node, std::uint16_t port) const
{
    return Endpoint{m_nodes[node]->address, port};
}

void HostileBench::writeSettings(const Node &node) const
{
    const auto listen = [&node](std::uint16_t port) {
        return Endpoint{node.address, port}.text();
    };
    std::ofstream file(joinText(m_directory, "/", node.name, ".yaml"));
    file << "node: " << node.name << "\nfailure_domain: zone-0\nservice: dispatch"
         << "\nlisten:\n  callers: " << listen(8080) << "\n  readiness: " << listen(8081)
         << "\n  control: " << listen(8082) << "\n  links: " << listen(7000)
         << "\n  metrics: " << listen(9901) << "\nplatform:\n  store: " << m_network.prefix()
         << ".250.1:6000\nseeds: [" << endpoint(0, 8082).text() << ", " << endpoint(1, 8082).text()
         << "]\nlimits:\n  grace_seconds: 6\n  max_files: " << m_setup.maxFiles
         << "\n  link_megabits: " << m_setup.linkMegabits << "\n";
}

bool HostileBench::startNode(Node &node) const
{
    writeSettings(node);
    // The shell sets the limits and then becomes the node.
    const std::string command =
            joinText("ulimit -d ", MemoryMegabytes * 1024, "; ulimit -n ", m_setup.maxFiles,
                     "; exec ", m_binaryDirectory,
                     "/jacinthshift mesh-node --settings=", m_directory, "/", node.name, ".yaml");
    return node.process.start({"/bin/sh", "-c", command},
                              joinText(m_directory, "/", node.name, ".log"));
}

void HostileBench::publishConfig()
{
    TrafficConfig config{.version = 1,
                         .limits = {.maxHeaderBytes = 16'384,
                                    .maxBodyBytes = m_setup.maxBodyBytes,
                                    .headerTimeout = milliseconds(1'000),
                                    .idleTimeout = milliseconds(3'000)}};
    const std::string_view notIdempotent[] = {"book", "keep", "echo"};
    const std::string_view slow[] = {"echo", "sized"};
    for (const std::string_view name : {"long", "page", "book", "hold", "keep", "echo", "sized"}) {
        config.routes.push_back(
                {.name = std::string(name),
                 .host = Host,
                 .prefix = joinText("/", name, "/"),
                 .idempotent = std::ranges::count(notIdempotent, name) == 0,
                 .timeout = std::ranges::count(slow, name) > 0 ? LoneRequestTime : seconds(10),
                 .targetLatency = milliseconds(1'000),
                 .maxAttempts = 3,
                 .parts = {{.service = "dispatch"}}});
    }
    config.services["dispatch"] = ServicePolicy{
            .healthPath = "/health", .maxConnections = 100, .coldRequestsPerSecond = 1'000.0};
    m_store.put(wire::OperatorTable, std::string(wire::ConfigKey), encodeConfig(config));
}

bool HostileBench::startBackend()
{
    m_startedAt = static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
    const absl::Status status = m_backend.listen(
            endpoint(m_setup.backendNode, 9000),
            [this](const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder) {
                serve(request, responder);
            });
    m_heartbeatTimer =
            Timer(m_timers, m_timers.startPeriodic(HeartbeatPeriod, [this] { sendHeartbeat(); }));
    return status.ok();
}

void HostileBench::serve(const HttpRequest &request,
                         const std::shared_ptr<HttpResponder> &responder)
{
    if (request.target.starts_with("/hold/") || request.target.starts_with("/keep/"))
        m_unanswered.push_back(responder);
    else
        responder->respond(makeResponse(request));
}

HttpResponse HostileBench::makeResponse(const HttpRequest &request) const
{
    HttpResponse response{.headers = {{names.instance, BackendId}, {names.load, "0,0,64"}}};
    if (request.target == "/health")
        return response;
    const std::string_view id = findHeader(request.headers, names.requestId);
    if (!id.empty())
        response.headers.push_back({names.requestId, std::string(id)});
    std::size_t bytes = ShortBytes;
    if (request.target.starts_with("/long/"))
        bytes = LongBytes;
    else if (request.target.starts_with("/page/"))
        bytes = PageBytes;
    else if (request.target.starts_with(SizedPath))
        parseNumber(request.target.substr(SizedPath.size()), bytes);
    const bool echoes = request.target.starts_with("/echo/");
    response.body = echoes ? bodySummary(request.body) : std::string(bytes, 'r');
    response.headers.push_back({names.seal, "0"});
    return response;
}

void HostileBench::sendHeartbeat()
{
    const BackendHeartbeat heartbeat{.id = BackendId,
                                     .service = "dispatch",
                                     .version = "v1",
                                     .domain = "zone-0",
                                     .endpoint = endpoint(m_setup.backendNode, 9000),
                                     .slots = 64,
                                     .sequence = ++m_heartbeatSequence,
                                     .startedAt = m_startedAt};
    m_http.send(HttpSendOptions{.server = endpoint(m_setup.backendNode, 8082),
                                .timeout = milliseconds(1'000)},
                HttpRequest{.method = "PUT",
                            .target = joinText(wire::InstancesPath, BackendId),
                            .headers = {{"Content-Type", "application/json"}},
                            .body = encodeHeartbeat(heartbeat)},
                [](const HttpResult &) {});
}

void HostileBench::sampleNodes()
{
    for (const std::unique_ptr<Node> &node : m_nodes) {
        node->lives = node->lives && node->process.isRunning();
        if (!node->lives)
            continue;
        node->peakMemory = std::max(node->peakMemory, peakResidentBytes(node->process.pid()));
        node->peakDescriptors =
                std::max(node->peakDescriptors, openDescriptors(node->process.pid()));
    }
}

bool HostileBench::nodesLive() const
{
    return std::all_of(m_nodes.begin(), m_nodes.end(),
                       [](const auto &node) { return node->lives; });
}

bool HostileBench::waitFor(milliseconds limit, const std::function<bool()> &condition)
{
    bool timedOut = false;
    const Timer timer(m_timers, m_timers.startOnce(limit, [&timedOut] { timedOut = true; }));
    while (!timedOut && !condition())
        g_main_context_iteration(nullptr, TRUE);
    return !timedOut;
}

bool HostileBench::isServed(std::size_t node, seconds limit)
{
    bool served = false;
    std::uint64_t number = 0;
    HttpCallId call = HttpCallId::None;
    std::function<void()> sendNext;
    Timer retryTimer;
    sendNext = [&] {
        call = m_http.send(
                HttpSendOptions{.server = endpoint(node, 8080), .timeout = seconds(5)},
                HttpRequest{.method = "POST",
                            .target = joinText("/book/ordinary-", ++number),
                            .headers = {{"Host", Host},
                                        {names.requestId, joinText("ordinary-", number)},
                                        {names.deadline, "5000"}},
                            .body = std::string(200, 'b')},
                [&](const HttpResult &result) {
                    served = result.verdict == Verdict::Done && result.response.status == 200;
                    if (!served)
                        retryTimer = Timer(m_timers, m_timers.startOnce(RetryPause, sendNext));
                });
    };
    sendNext();
    waitFor(limit, [this, &served] { return served || !nodesLive(); });
    m_http.cancel(call);
    return served;
}

bool HostileBench::start()
{
    if (!m_store.listen({m_network.prefix() + ".250.1", 6000}).ok() || !startBackend())
        return false;
    publishConfig();
    for (const std::unique_ptr<Node> &node : m_nodes) {
        if (!startNode(*node))
            return false;
    }
    m_sampleTimer =
            Timer(m_timers, m_timers.startPeriodic(SamplePeriod, [this] { sampleNodes(); }));
    return isServed(0, StartTime) && isServed(1, StartTime);
}

std::vector<std::string> HostileBench::play(const HostileCase &hostileCase)
{
    std::vector<std::unique_ptr<HostileCrowd>> crowds;
    const auto addCrowd = [this, &crowds](const HostileCase &crowd) {
        if (crowd.clients > 0)
            crowds.push_back(
                    std::make_unique<HostileCrowd>(crowd, endpoint(0, portOf(crowd.target))));
    };
    addCrowd(hostileCase);
    for (const HostileCase &crowd : hostileCase.beside)
        addCrowd(crowd);
    const Timer stepTimer(m_timers, m_timers.startPeriodic(StepPeriod, [&crowds] {
        for (const auto &crowd : crowds)
            crowd->step();
    }));
    std::size_t sent = 0;
    SteadyTime progressAt = m_timers.now();
    waitFor(MaxPlayTime, [&] {
        std::size_t sentNow = 0;
        for (const auto &crowd : crowds)
            sentNow += crowd->sentBytes();
        if (std::exchange(sent, sentNow) != sentNow)
            progressAt = m_timers.now();
        const bool done = std::all_of(crowds.begin(), crowds.end(),
                                      [](const auto &crowd) { return crowd->isDone(); });
        return done || !nodesLive() || m_timers.now() - progressAt > StallTime;
    });
    waitFor(hostileCase.holdTime, [this] { return !nodesLive(); });
    // Requests to the node with the attacked link port come over its links from the other node.
    const bool served = isServed(hostileCase.target == HostileTarget::Links ? 1 : 0, ServeTime);
    std::vector<std::string> failures = exceededLimits();
    if (!served)
        failures.emplace_back("no ordinary request was answered afterwards");
    return failures;
}

std::vector<std::string> HostileBench::sendAlone(const LoneRequestCase &request)
{
    const std::string path = request.responseBytes > 0 ? joinText(SizedPath, request.responseBytes)
                                                       : std::string("/echo/lone");
    const std::string body(request.bodyBytes, 'b');
    std::string head =
            joinText(request.bodyBytes > 0 ? "POST " : "GET ", path, " HTTP/1.1\r\nHost: ", Host,
                     "\r\n", names.requestId, ": lone\r\n", names.deadline, ": 60000\r\n");
    for (std::size_t line = 0; line < request.headLines; ++line)
        head += "a:\r\n";
    const std::string expected =
            request.responseBytes > 0 ? std::string(request.responseBytes, 'r') : bodySummary(body);
    std::vector<std::string> failures;
    for (int i = 1; i <= LoneRequestCount && nodesLive(); ++i) {
        LoneRequest exchange(endpoint(0, 8080), head + encodeBody(body, request.isChunked));
        waitFor(LoneRequestTime, [&] { return exchange.isDone() || !nodesLive(); });
        if (!exchange.statusLine().starts_with("HTTP/1.1 200"))
            failures.push_back(joinText("request ", i, " was answered: ", exchange.statusLine()));
        else if (exchange.body() != expected)
            failures.push_back(joinText("request ", i, " has another response body"));
    }
    for (const std::string &line : exceededLimits())
        failures.push_back(line);
    return failures;
}

std::vector<std::string> HostileBench::stopDuringResponse(const StopCase &stop)
{
    const auto request = [&stop](std::size_t number) {
        return joinText("GET ", SizedPath, stop.responseBytes, " HTTP/1.1\r\nHost: ", Host, "\r\n",
                        names.requestId, ": slow-", number, "\r\n", names.deadline, ": ",
                        stop.callerWait.count(), "\r\n\r\n");
    };
    SlowReader caller({.server = endpoint(0, 8080), .readBytes = stop.readBytes}, m_timers);
    std::string requests;
    for (std::size_t i = 0; i < stop.pipelined; ++i)
        requests += request(i);
    caller.send(requests);
    if (!stop.stopsBeforeResponse
        && !waitFor(StartTime, [&caller] { return caller.hasReceived(); }))
        return {"no response has begun"};
    waitFor(stop.stopAfter, [] { return false; });
    Node &node = *m_nodes[stop.stoppedNode];
    node.process.signal(SIGTERM);
    if (stop.stopsReading)
        caller.stopReading();
    Timer lateRequest;
    if (stop.requestAfterStop.count() > 0)
        lateRequest = Timer(m_timers, m_timers.startOnce(stop.requestAfterStop, [&] {
            caller.send(request(stop.pipelined));
        }));
    const SteadyTime stoppedAt = m_timers.now();
    while (stop.repeatsSignal && !node.process.hasEnded()
           && m_timers.now() - stoppedAt < stop.maxDuration)
        node.process.signal(SIGTERM);
    std::vector<std::string> failures = awaitEnd(node, stop.maxDuration);
    if (stop.stopsReading)
        return failures;
    const std::size_t expected = stop.pipelined + (stop.requestAfterStop.count() > 0 ? 1 : 0);
    waitFor(stop.callerWait, [&caller, expected] {
        return caller.hasEnded() || caller.responses().size() == expected;
    });
    const std::vector<SlowReader::Response> responses = caller.responses();
    const auto complete = static_cast<std::size_t>(
            std::count_if(responses.begin(), responses.end(), [&stop](const auto &response) {
                return response.status == 200 && response.body.size() == stop.responseBytes;
            }));
    if (complete != stop.pipelined)
        failures.push_back(joinText(complete, " of ", stop.pipelined, " responses were complete"));
    const bool refused = !responses.empty() && responses.back().status == 503;
    if (stop.requestAfterStop.count() > 0 && !refused)
        failures.emplace_back("the late request was not refused");
    return failures;
}

std::vector<std::string> HostileBench::awaitEnd(Node &node, milliseconds limit)
{
    const SteadyTime start = m_timers.now();
    const bool ended = waitFor(limit, [&node] { return node.process.hasEnded(); });
    const auto elapsed = std::chrono::duration_cast<milliseconds>(m_timers.now() - start);
    if (!ended)
        return {joinText(node.name, " had not ended ", elapsed.count(), " ms after SIGTERM")};
    if (node.process.exitCode() != 0)
        return {joinText(node.name, " ended with status ", node.process.exitCode())};
    return {};
}

std::vector<std::string> HostileBench::exceededLimits()
{
    sampleNodes();
    std::vector<std::string> failures;
    for (const std::unique_ptr<Node> &node : m_nodes) {
        if (!node->lives)
            failures.push_back(
                    joinText(node->name, " ended with status ", node->process.exitCode()));
        if (node->peakMemory > MemoryMegabytes * BytesPerMegabyte)
            failures.push_back(joinText(node->name, " used more than ", MemoryMegabytes, " MB"));
        if (node->peakDescriptors >= m_setup.maxFiles)
            failures.push_back(
                    joinText(node->name, " opened all ", m_setup.maxFiles, " descriptors"));
    }
    return failures;
}

std::string HostileBench::summary() const
{
    std::string text;
    for (const std::unique_ptr<Node> &node : m_nodes)
        text += joinText(text.empty() ? "" : "; ", node->name, ": ",
                         node->peakMemory / BytesPerMegabyte, " MB resident, ",
                         node->peakDescriptors, " descriptors at most");
    return text;
}

} // namespace jacinthshift
