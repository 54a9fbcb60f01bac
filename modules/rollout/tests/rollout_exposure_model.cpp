#include "modules/rollout/tests/rollout_exposure_model.h"

#include <algorithm>
#include <map>

#include "core/text.h"
#include "modules/fleet/call_server.h"
#include "modules/fleet/remote_call_client.h"
#include "modules/forwarding/forwarder.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr std::uint64_t FaultyAnswersAllowed = 50;
constexpr std::size_t RouteCount = 10;
constexpr std::uint32_t ServerSlots = 8;
constexpr std::size_t LightLoad = 2; ///< Requests that an UnderLoad version runs without a fault.

const HeaderNames headerNames{.requestId = "Id", .deadline = "Left", .retryAfter = "Retry-After"};

std::string routeName(std::size_t index)
{
    return joinText("r", index);
}

TrafficConfig trafficConfig()
{
    TrafficConfig config;
    for (std::size_t i = 0; i < RouteCount; ++i)
        config.routes.push_back(TrafficRoute{.name = routeName(i),
                                             .host = "h",
                                             .prefix = joinText("/", routeName(i), "/"),
                                             .idempotent = i % 2 == 0,
                                             .timeout = milliseconds(1'000),
                                             .targetLatency = milliseconds(300),
                                             .maxAttempts = 2,
                                             .parts = {{.service = "s", .weight = 1}}});
    return config;
}

/** Ignores the answer: callers do not repeat their requests. */
struct SilentResponder final : public HttpResponder
{
    void respond(const HttpResponse &) override {}
    void onCallerGone(std::function<void()>) override {}
};

} // namespace

/** The backend server of a machine, as the node's process reaches it. */
class RolloutExposureModel::ServerClient final : public HttpClient
{
    RolloutExposureModel &m_model;
    Machine &m_machine;
    std::map<std::uint64_t, Timer> m_calls;
    std::uint64_t m_lastCall = 0;

    void answer(std::uint64_t call, bool faulty, const Callback &callback)
    {
        --m_machine.running;
        const bool isTarget = m_machine.version == "v2";
        if (isTarget && faulty && ++m_model.m_faultyAnswers == FaultyAnswersAllowed)
            m_model.m_fiftiethFaultyAnswerAt = m_model.m_timers.now();
        const bool fails = faulty && m_model.m_options.fault != VersionFault::Slow;
        const Callback answered = callback;
        m_calls.erase(call);
        answered(HttpResult{.verdict = Verdict::Done, .response = {.status = fails ? 500 : 200}});
    }

public:
    ServerClient(RolloutExposureModel &model, Machine &machine) : m_model(model), m_machine(machine)
    {
    }
    ~ServerClient() override { m_machine.running -= m_calls.size(); }

    HttpCallId send(const HttpSendOptions &, const HttpRequest &request, Callback callback) override
    {
        const std::uint64_t call = ++m_lastCall;
        const std::string id(findHeader(request.headers, headerNames.requestId));
        const std::size_t separator = id.find(' ');
        m_model.requestReached(
                m_machine, SteadyTime(SteadyTime::duration(std::stoll(id.substr(separator + 1)))),
                id.substr(0, separator));
        ++m_machine.running;
        const std::string route = request.target.substr(1, request.target.find('/', 1) - 1);
        const bool faulty = m_model.isFaulty(m_machine, route);
        const bool slow = faulty && m_model.m_options.fault == VersionFault::Slow;
        const milliseconds time =
                (milliseconds(10) + m_model.m_random.jitter(milliseconds(30))) * (slow ? 4 : 1);
        m_calls[call] = Timer(m_model.m_timers,
                              m_model.m_timers.startOnce(time, [this, call, faulty, callback] {
                                  answer(call, faulty, callback);
                              }));
        return static_cast<HttpCallId>(call);
    }
    void cancel(HttpCallId id) override
    {
        m_machine.running -= m_calls.erase(static_cast<std::uint64_t>(id));
    }
};

/** The register as one process reaches it; an ended process gets no more answers. */
class RolloutExposureModel::ProcessRegister final : public RolloutRegister
{
    RolloutExposureModel &m_model;
    Machine &m_machine;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);

    void reply(std::function<void(bool available)> action)
    {
        const bool available = m_model.m_registerAvailable && !m_machine.cut;
        m_model.at(available ? m_model.m_registerDelay : milliseconds(200),
                   [alive = std::weak_ptr(m_alive), available, action = std::move(action)] {
                       if (!alive.expired())
                           action(available);
                   });
    }

public:
    ProcessRegister(RolloutExposureModel &model, Machine &machine)
        : m_model(model), m_machine(machine)
    {
    }
    void read(const std::string &, ReadCallback callback) override
    {
        reply([this, callback](bool available) {
            if (available)
                callback(m_model.m_registerEntry);
            else
                callback(absl::UnavailableError("down"));
        });
    }
    void write(const std::string &, const RolloutEntry &entry, WriteCallback callback) override
    {
        reply([this, entry, callback](bool available) {
            if (!available) {
                callback(absl::UnavailableError("down"));
                return;
            }
            if (entry.tableEnd != m_model.m_registerEntry.tableEnd) {
                callback(absl::AbortedError("the table has grown"));
                return;
            }
            m_model.m_registerEntry = entry;
            ++m_model.m_registerEntry.tableEnd;
            callback(absl::OkStatus());
        });
    }
};

/** A node's process. */
class RolloutExposureModel::Process final : public OwnerObserver
{
    TimerService &m_timers;
    Timer m_statusTimer;

    void publishStatus(StatusAudience audience)
    {
        network.setStatus({.backend = owner.status()}, audience);
    }

public:
    FakeLinkTransport &transport;
    FleetNetwork network;
    ServerClient server;
    ProcessRegister rolloutRegister;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    BackendOwner owner;
    CallServer callServer;
    RemoteCallClient remote;
    RolloutController controller;
    TrafficMetrics metrics;
    Forwarder forwarder;
    RouteTable routes;

    Process(RolloutExposureModel &model, Machine &machine, FakeLinkTransport &linkTransport,
            std::uint64_t incarnation)
        : m_timers(model.m_timers)
        , transport(linkTransport)
        , network({.self = {.node = machine.name,
                            .domain = "d",
                            .linkEndpoint = {"127.0.0.1", machine.port},
                            .incarnation = incarnation,
                            .service = "s"},
                   .randomSeed = model.m_options.seed + incarnation},
                  transport, m_timers)
        , server(model, machine)
        , rolloutRegister(model, machine)
        , owner({.node = machine.name, .service = "s", .headers = headerNames}, server, m_timers,
                poison, *this)
        , callServer(CallServerOptions{}, network, m_timers, owner)
        , remote(RemoteCallClientOptions{}, network, m_timers)
        , controller({.node = machine.name, .randomSeed = model.m_options.seed + incarnation},
                     network, m_timers, rolloutRegister, owner)
        , forwarder({.node = machine.name,
                     .headers = headerNames,
                     .randomSeed = model.m_options.seed + incarnation},
                    m_timers, network, remote, owner, controller, metrics)
        , routes(trafficConfig(), incarnation)
    {
        network.start().IgnoreError();
        network.addContacts(model.contacts());
        forwarder.setRoutes(&routes);
        m_statusTimer = Timer(m_timers, m_timers.startPeriodic(milliseconds(100), [this] {
            publishStatus(StatusAudience::Nobody);
        }));
    }

    void ownerStatusChanged() override { publishStatus(StatusAudience::Everywhere); }
    void requestSuspected(std::uint64_t, const std::string &) override {}
    void requestCleared(std::uint64_t) override {}
};

RolloutExposureModel::RolloutExposureModel(const RolloutExposureOptions &options)
    : m_options(options), m_random(options.seed)
{
    m_machines.resize(options.nodes);
    for (std::size_t i = 0; i < options.nodes; ++i) {
        Machine &machine = m_machines[i];
        machine.name = joinText("n", i);
        machine.port = static_cast<std::uint16_t>(i + 1);
        machine.version = i % 2 == 0 ? "v1" : "v2";
        machine.callerShare = 0.1 + m_random.uniform();
    }
    for (std::size_t i = 0; i < options.nodes; ++i)
        startProcess(i);
}

RolloutExposureModel::~RolloutExposureModel() = default;

std::vector<NodeContact> RolloutExposureModel::contacts() const
{
    std::vector<NodeContact> found;
    for (const Machine &machine : m_machines) {
        if (machine.process != nullptr)
            found.push_back(machine.process->network.self());
    }
    return found;
}

void RolloutExposureModel::at(milliseconds delay, std::function<void()> action)
{
    m_plan.emplace_back(m_timers, m_timers.startOnce(delay, std::move(action)));
}

void RolloutExposureModel::startProcess(std::size_t index)
{
    Machine &machine = m_machines[index];
    m_transports.push_back(std::make_unique<FakeLinkTransport>(
            m_hub, Endpoint{.address = "127.0.0.1", .port = machine.port}));
    machine.process =
            std::make_unique<Process>(*this, machine, *m_transports.back(), ++m_incarnation);
    for (const Machine &other : m_machines) {
        if (other.process != nullptr)
            other.process->network.addContacts({machine.process->network.self()});
    }
}

void RolloutExposureModel::endProcess(std::size_t index)
{
    Machine &machine = m_machines[index];
    if (machine.process == nullptr)
        return;
    machine.process->transport.stop();
    machine.process.reset();
}

void RolloutExposureModel::giveOrder(std::size_t index, milliseconds delay)
{
    const std::uint64_t incarnation = m_machines[index].process->network.self().incarnation;
    at(delay, [this, index, incarnation] {
        const Machine &machine = m_machines[index];
        if (machine.process == nullptr
            || machine.process->network.self().incarnation != incarnation)
            return;
        if (machine.cut || !m_registerAvailable) {
            giveOrder(index, milliseconds(300));
            return;
        }
        machine.process->controller.setOrder(
                {.service = "s", .targetVersion = "v2", .duration = m_options.duration},
                {.offset = 1});
    });
}

void RolloutExposureModel::restart(std::size_t index, milliseconds pause)
{
    if (m_machines[index].process == nullptr)
        return;
    endProcess(index);
    at(std::max(pause, milliseconds(50)), [this, index] {
        startProcess(index);
        giveOrder(index, milliseconds(100) + m_random.jitter(milliseconds(400)));
    });
}

void RolloutExposureModel::cut(std::size_t index, milliseconds time)
{
    m_machines[index].cut = true;
    m_machines[index].lastCutAt = m_timers.now() + time;
    at(time, [this, index] { m_machines[index].cut = false; });
}

bool RolloutExposureModel::isFaulty(const Machine &machine, const std::string &route)
{
    const SteadyTime begin = m_orderedAt
                             + std::chrono::duration_cast<SteadyTime::duration>(
                                     m_options.duration * m_options.faultBegin);
    if (machine.version != "v2" || m_timers.now() < begin)
        return false;
    switch (m_options.fault) {
    case VersionFault::None:
        return false;
    case VersionFault::Failures:
        return m_random.uniform() < 0.6;
    case VersionFault::UnderLoad:
        return machine.running > LightLoad;
    case VersionFault::OneRoute:
        return route == routeName(0);
    case VersionFault::Slow:
        return m_random.uniform() < 0.4;
    }
    return false;
}

void RolloutExposureModel::requestReached(const Machine &server, SteadyTime sentAt,
                                          const std::string &sender)
{
    const SteadyTime now = m_timers.now();
    if (m_orderedAt == SteadyTime())
        return;
    const bool isTarget = server.version == "v2";
    if (now < m_orderedAt + m_options.duration) {
        ++m_exposure.requests;
        m_exposure.targetRequests += isTarget ? 1 : 0;
    }
    if (!isTarget || m_fiftiethFaultyAnswerAt == SteadyTime())
        return;
    const auto origin =
            std::find_if(m_machines.begin(), m_machines.end(),
                         [&](const Machine &machine) { return machine.name == sender; });
    const SteadyTime since = std::max(m_fiftiethFaultyAnswerAt, origin->lastCutAt);
    if (sentAt <= since)
        return;
    m_exposure.lastTargetRequest = std::max(
            m_exposure.lastTargetRequest, std::chrono::duration_cast<milliseconds>(sentAt - since));
}

void RolloutExposureModel::sendHeartbeats()
{
    for (Machine &machine : m_machines) {
        const bool completed = m_registerEntry.outcome == RolloutOutcome::Completed;
        if (machine.process == nullptr || (machine.version == "v2" && m_orderedAt == SteadyTime()))
            continue;
        machine.process->owner
                .heartbeat({.id = joinText(machine.name, "-", machine.version),
                            .service = "s",
                            .version = machine.version,
                            .domain = "d",
                            .endpoint = {"127.0.0.1", 1},
                            .slots = ServerSlots,
                            .draining = completed && machine.version == "v1",
                            .sequence = ++machine.heartbeats,
                            .startedAt = machine.port})
                .IgnoreError();
    }
}

void RolloutExposureModel::sendRequests()
{
    double shares = 0.0;
    for (const Machine &machine : m_machines)
        shares += machine.callerShare;
    const double perStep = m_options.requestsPerSecond * m_burst / 1'000.0 / shares;
    for (const Machine &machine : m_machines) {
        if (machine.process == nullptr || m_random.uniform() >= perStep * machine.callerShare)
            continue;
        const std::string route = routeName(m_random.below(RouteCount));
        const std::string id =
                joinText(machine.name, " ", m_timers.now().time_since_epoch().count());
        machine.process->forwarder.forward(
                HttpRequest{.target = joinText("/", route, "/", ++m_requestNumber),
                            .headers = {{"Host", "h"}, {headerNames.requestId, id}}},
                std::make_shared<SilentResponder>());
    }
}

void RolloutExposureModel::planTrouble()
{
    const std::size_t count = 1 + m_random.below(3);
    for (std::size_t i = 0; i < count; ++i)
        planOneTrouble(m_random.jitter(m_options.duration));
}

void RolloutExposureModel::planOneTrouble(milliseconds delay)
{
    const std::size_t node = m_random.below(m_machines.size());
    const milliseconds time = milliseconds(500) + m_random.jitter(milliseconds(4'000));
    const std::uint64_t kind = m_random.below(8);
    at(delay, [this, node, time, kind] {
        switch (kind) {
        case 0:
            restart(node, time);
            break;
        case 1: // Half of the nodes, one after the other.
            for (std::size_t i = 0; i < m_machines.size() / 2; ++i)
                at(milliseconds(500) * static_cast<std::int64_t>(i),
                   [this, i, node] { restart((node + i) % m_machines.size(), milliseconds(400)); });
            break;
        case 2: // All nodes at the same moment.
            for (std::size_t i = 0; i < m_machines.size(); ++i)
                restart(i, milliseconds(300));
            break;
        case 3:
            cut(node, time);
            break;
        case 4:
            m_registerAvailable = false;
            at(time, [this] { m_registerAvailable = true; });
            break;
        case 5:
            m_registerDelay = milliseconds(600);
            at(time, [this] { m_registerDelay = milliseconds(10); });
            break;
        case 6:
            m_burst = 3.0;
            at(time, [this] { m_burst = 1.0; });
            break;
        case 7:
            if (m_machines[node].process != nullptr)
                m_machines[node].process->transport.closeAll();
            break;
        }
    });
}

void RolloutExposureModel::step()
{
    // A machine that is cut off closes each link before a frame could pass.
    for (const Machine &machine : m_machines) {
        if (machine.cut && machine.process != nullptr)
            machine.process->transport.closeAll();
    }
    sendRequests();
    m_timers.advance(milliseconds(1));
}

RolloutExposure RolloutExposureModel::run()
{
    const Timer heartbeats(m_timers,
                           m_timers.startPeriodic(milliseconds(200), [this] { sendHeartbeats(); }));
    for (int i = 0; i < 3'000; ++i)
        step();
    m_orderedAt = m_timers.now();
    for (std::size_t i = 0; i < m_machines.size(); ++i)
        giveOrder(i, milliseconds(20) + m_random.jitter(milliseconds(300)));
    if (m_options.trouble)
        planTrouble();
    const auto time =
            std::chrono::duration_cast<milliseconds>(m_options.duration * m_options.runFraction);
    while (m_timers.now() - m_orderedAt < time) {
        step();
        if (m_registerEntry.outcome == RolloutOutcome::Open)
            m_exposure.outcomeAfter =
                    std::chrono::duration_cast<milliseconds>(m_timers.now() - m_orderedAt);
    }
    m_exposure.outcome = m_registerEntry.outcome;
    return m_exposure;
}

} // namespace jacinthshift
