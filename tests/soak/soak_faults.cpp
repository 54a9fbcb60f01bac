// Fault injection of the class Soak; its other functions are in soak.cpp.
#include <csignal>
#include <utility>

#include "core/text.h"
#include "tests/soak/soak.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds StoreDelay{400};
constexpr std::chrono::milliseconds LinkDelay{120};
constexpr std::chrono::milliseconds RollingStepDelay{700};
constexpr std::chrono::milliseconds ConfigStormInterval{120};
constexpr std::chrono::milliseconds CrashDowntime{1'500};
constexpr std::chrono::milliseconds MaxKillDelay{300};     ///< After an acknowledged departure.
constexpr std::chrono::milliseconds MaxSignalDelay{3'000}; ///< Of further signals after SIGTERM.
constexpr int BusyCallers = 8;                             ///< Of a node that is kept busy.
// A node that is kept busy runs for the processor share of its settings.
constexpr std::chrono::milliseconds SharePeriod{100};
constexpr std::chrono::milliseconds BusyTimePerPeriod{20};
constexpr std::uint32_t FailPercent = 40;
constexpr std::uint32_t SlowFactor = 8;

} // namespace

void Soak::recordDisturbance(const Fault &fault, std::optional<std::size_t> node)
{
    const SteadyTime now = m_timers.now();
    m_observations.disturbances.push_back(Disturbance{.kind = std::string(faultName(fault.kind)),
                                                      .from = now,
                                                      .until = now + fault.duration,
                                                      .node = node,
                                                      .planned = isPlanned(fault.kind)});
}

void Soak::beginFault(const Fault &fault)
{
    switch (fault.kind) {
    case FaultKind::KillNode:
    case FaultKind::KillDomain:
    case FaultKind::KillAll:
    case FaultKind::FreezeNode:
    case FaultKind::StopNode:
    case FaultKind::StopInTurn:
    case FaultKind::Reload:
        beginNodeFault(fault);
        break;
    case FaultKind::StoreDown:
    case FaultKind::StoreSlow:
    case FaultKind::StoreLosesAnswers:
    case FaultKind::StoreDiscardsHistory:
    case FaultKind::StoreCutFromNode:
        beginStoreFault(fault);
        break;
    case FaultKind::CutDomain:
    case FaultKind::HoldDomain:
    case FaultKind::HoldOneWay:
    case FaultKind::SilenceLinks:
    case FaultKind::ResetLinks:
    case FaultKind::DelayLinks:
        beginLinkFault(fault);
        break;
    case FaultKind::BackendCrash:
    case FaultKind::BackendFails:
    case FaultKind::BackendSlow:
    case FaultKind::BackendHangs:
    case FaultKind::BackendCold:
    case FaultKind::BackendDrains:
    case FaultKind::DrainInTurn:
        beginBackendFault(fault);
        break;
    case FaultKind::KillAllAfterDeparture:
        killAllAfterDeparture(fault);
        break;
    case FaultKind::StopUnderLoad:
        stopUnderLoad(fault);
        break;
    case FaultKind::ChangeConfig:
    case FaultKind::ConfigStorm:
    case FaultKind::TakeOutDomain:
    case FaultKind::Burst:
        beginOperatorAction(fault);
        break;
    }
}

void Soak::kill(SoakNode &node)
{
    if (node.process.hasEnded())
        return;
    node.expectedToEnd = true;
    node.stopping = false;
    unfreeze(node);
    node.process.signal(SIGKILL);
}

void Soak::killAllAfterDeparture(const Fault &fault)
{
    m_nodes[fault.target % m_nodes.size()]->backend->leave([this, fault] {
        const std::chrono::milliseconds delay(fault.target % MaxKillDelay.count());
        schedule(delay, [this, fault] {
            recordDisturbance(fault, std::nullopt);
            for (const std::unique_ptr<SoakNode> &node : m_nodes)
                kill(*node);
        });
    });
}

void Soak::freeze(SoakNode &node, std::chrono::milliseconds duration)
{
    node.process.signal(SIGSTOP);
    if (node.frozenSince == SteadyTime())
        node.frozenSince = m_timers.now();
    node.resumeTimer =
            Timer(m_timers, m_timers.startOnce(duration, [this, &node] { unfreeze(node); }));
}

void Soak::unfreeze(SoakNode &node)
{
    node.process.signal(SIGCONT);
    if (node.frozenSince != SteadyTime() && node.stopping)
        node.frozenWhileStopping += m_timers.now() - std::max(node.frozenSince, node.stopSentAt);
    node.frozenSince = SteadyTime();
}

void Soak::stop(SoakNode &node, FaultKind kind)
{
    if (node.process.hasEnded() || node.expectedToEnd)
        return;
    node.expectedToEnd = true;
    node.stopping = true;
    node.stopSentAt = m_timers.now();
    node.frozenWhileStopping = SteadyTime::duration(0);
    node.stopDisturbance = m_observations.disturbances.size();
    // watchNode() ends the disturbance when the node has exited.
    recordDisturbance(Fault{.kind = kind, .duration = std::chrono::milliseconds(7'000)},
                      node.index);
    node.process.signal(SIGTERM);
}

void Soak::stopUnderLoad(const Fault &fault)
{
    Random random(m_options.seed + fault.target);
    const SoakNode &first = *m_nodes[fault.target % m_nodes.size()];
    const std::uint64_t extent = random.below(3); // One node, its failure domain or all nodes.
    recordDisturbance(fault, std::nullopt);
    for (const std::unique_ptr<SoakNode> &one : m_nodes) {
        SoakNode &node = *one;
        if (node.missedProbes > 0 || node.expectedToEnd || (extent == 0 && &node != &first)
            || (extent == 1 && node.domain != first.domain))
            continue;
        keepBusy(node);
        scheduleStep(fault.duration, [this, &node] { stop(node, FaultKind::StopUnderLoad); });
        for (const int number : {SIGTERM, SIGHUP}) {
            schedule(fault.duration + random.jitter(MaxSignalDelay), [&node, number] {
                if (node.stopping)
                    node.process.signal(number);
            });
        }
    }
    schedule(fault.duration + random.jitter(MaxSignalDelay), [this] { publishConfig(); });
}

void Soak::keepBusy(SoakNode &node)
{
    for (int i = 0; i < BusyCallers; ++i) {
        node.busyCallers.push_back(std::make_unique<PipeliningCaller>(
                PipeliningCallerOptions{.server = node.callerEndpoint(),
                                        .nextRequest =
                                                [this, &node] {
                                                    return makePipelinedRequest(node);
                                                }},
                m_timers, m_observations));
    }
    node.shareTimer = Timer(m_timers, m_timers.startPeriodic(SharePeriod, [this, &node] {
        node.process.signal(SIGCONT);
        schedule(BusyTimePerPeriod, [&node] {
            if (node.shareTimer.isActive())
                node.process.signal(SIGSTOP);
        });
    }));
}

void Soak::beginNodeFault(const Fault &fault)
{
    SoakNode &node = *m_nodes[fault.target % m_nodes.size()];
    switch (fault.kind) {
    case FaultKind::KillNode:
        recordDisturbance(fault, node.index);
        kill(node);
        break;
    case FaultKind::KillDomain:
    case FaultKind::KillAll:
        recordDisturbance(fault, std::nullopt);
        for (const std::unique_ptr<SoakNode> &one : m_nodes) {
            if (fault.kind == FaultKind::KillAll || one->domain == node.domain)
                kill(*one);
        }
        break;
    case FaultKind::FreezeNode:
        recordDisturbance(fault, node.index);
        freeze(node, fault.duration);
        break;
    case FaultKind::StopInTurn:
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            scheduleStep(RollingStepDelay * i, [this, i] { stop(*m_nodes[i]); });
        break;
    case FaultKind::Reload:
        recordDisturbance(fault, node.index);
        if (!node.process.hasEnded() && node.missedProbes < 2)
            node.process.signal(SIGHUP);
        break;
    default:
        stop(node);
        break;
    }
}

void Soak::beginStoreFault(const Fault &fault)
{
    recordDisturbance(fault, std::nullopt);
    switch (fault.kind) {
    case FaultKind::StoreDown:
        m_store.setDown(true);
        schedule(fault.duration, [this] { m_store.setDown(false); });
        break;
    case FaultKind::StoreSlow:
        m_store.setDelay(StoreDelay);
        schedule(fault.duration, [this] { m_store.setDelay(std::chrono::milliseconds(0)); });
        break;
    case FaultKind::StoreLosesAnswers:
        m_store.setLoseAnswers(true);
        schedule(fault.duration, [this] { m_store.setLoseAnswers(false); });
        break;
    case FaultKind::StoreDiscardsHistory:
        m_store.discardHistory();
        break;
    default:
        addRelayRule(fault, m_cuts,
                     {{"from", m_nodes[fault.target % m_nodes.size()]->address},
                      {"to", m_network.prefix() + ".250."}});
        break;
    }
}

void Soak::addRelayRule(const Fault &fault, json &rules, const json &rule)
{
    rules.push_back(rule);
    sendToRelay(json::object());
    schedule(fault.duration, [this, &rules, rule] {
        for (std::size_t i = 0; i < rules.size(); ++i) {
            if (rules[i] == rule) {
                rules.erase(i);
                break;
            }
        }
        sendToRelay(json::object());
    });
}

void Soak::sendToRelay(const json &extra)
{
    // One request at a time: concurrent ones could arrive in the wrong order.
    m_relayRequest.update(extra);
    m_relayRequest["cuts"] = m_cuts;
    m_relayRequest["holds"] = m_holds;
    m_relayRequest["delay_ms"] = m_linkDelay.count();
    if (m_relayRequestInFlight)
        return;
    m_relayRequestInFlight = true;
    const std::string body = std::exchange(m_relayRequest, json::object()).dump();
    m_http.send(HttpSendOptions{.server = {m_network.prefix() + ".251.1", 6100}},
                HttpRequest{.method = "POST", .target = "/control", .body = body},
                [this](const HttpResult &result) {
                    if (result.verdict != Verdict::Done)
                        reportIncident("soak", "the network relay does not answer");
                    m_relayRequestInFlight = false;
                    if (!m_relayRequest.empty())
                        sendToRelay(json::object());
                });
}

void Soak::beginLinkFault(const Fault &fault)
{
    recordDisturbance(fault, std::nullopt);
    const std::string firstPrefix = addressPrefix(fault.target % m_options.domainCount);
    const std::string secondPrefix = addressPrefix((fault.target + 1) % m_options.domainCount);
    switch (fault.kind) {
    case FaultKind::CutDomain:
        addRelayRule(fault, m_cuts, {{"from", firstPrefix}, {"to", secondPrefix}});
        break;
    case FaultKind::HoldDomain:
        addRelayRule(fault, m_holds, {{"from", firstPrefix}, {"to", secondPrefix}});
        addRelayRule(fault, m_holds, {{"from", secondPrefix}, {"to", firstPrefix}});
        break;
    case FaultKind::HoldOneWay:
        addRelayRule(fault, m_holds, {{"from", firstPrefix}, {"to", secondPrefix}});
        break;
    case FaultKind::SilenceLinks:
        sendToRelay({{"silence", true}});
        break;
    case FaultKind::ResetLinks:
        sendToRelay({{"reset", true}});
        break;
    default:
        m_linkDelay = LinkDelay;
        sendToRelay(json::object());
        schedule(fault.duration, [this] {
            m_linkDelay = std::chrono::milliseconds(0);
            sendToRelay(json::object());
        });
        break;
    }
}

void Soak::beginBackendFault(const Fault &fault)
{
    recordDisturbance(fault, std::nullopt);
    SoakBackend &backend = *m_nodes[fault.target % m_nodes.size()]->backend;
    if (fault.kind == FaultKind::DrainInTurn) {
        for (std::size_t i = 0; i < m_nodes.size(); ++i)
            scheduleStep(RollingStepDelay * i, [this, i] { m_nodes[i]->backend->drain(); });
        return;
    }
    if (!backend.isRunning())
        return;
    switch (fault.kind) {
    case FaultKind::BackendCrash:
        backend.crash(CrashDowntime);
        break;
    case FaultKind::BackendFails:
        backend.setFailPercent(FailPercent);
        schedule(fault.duration, [&backend] { backend.setFailPercent(0); });
        break;
    case FaultKind::BackendSlow:
        backend.setSlowFactor(SlowFactor);
        schedule(fault.duration, [&backend] { backend.setSlowFactor(1); });
        break;
    case FaultKind::BackendHangs:
        backend.setHang(true);
        schedule(fault.duration, [&backend] { backend.setHang(false); });
        break;
    case FaultKind::BackendCold:
        backend.turnCold();
        break;
    default:
        backend.drain();
        break;
    }
}

void Soak::beginOperatorAction(const Fault &fault)
{
    const std::string domain = m_nodes[fault.target % m_options.domainCount]->domain;
    switch (fault.kind) {
    case FaultKind::Burst:
        recordDisturbance(fault, std::nullopt);
        ++m_activeBursts;
        schedule(fault.duration, [this] { --m_activeBursts; });
        break;
    case FaultKind::TakeOutDomain:
        // Operator calls fail while the store is down.
        if (m_store.isDown())
            break;
        recordDisturbance(fault, std::nullopt);
        setTakenOut(domain, true);
        schedule(fault.duration + m_bounds.evacuationLimit,
                 [this, domain] { setTakenOut(domain, false); });
        break;
    case FaultKind::ConfigStorm:
        for (int i = 1; i < 8; ++i)
            schedule(ConfigStormInterval * i, [this] {
                if (!m_store.isDown())
                    publishConfig();
            });
        [[fallthrough]];
    default:
        recordDisturbance(fault, std::nullopt);
        if (!m_store.isDown())
            publishConfig();
        break;
    }
}

} // namespace jacinthshift
