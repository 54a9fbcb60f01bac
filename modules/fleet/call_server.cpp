#include "modules/fleet/call_server.h"

#include "core/text.h"

namespace jacinthshift {

CallServer::CallServer(const CallServerOptions &options, FleetNetwork &network,
                       TimerService &timers, WorkHandler &handler)
    : m_options(options), m_network(network), m_timers(timers), m_handler(handler)
{
    network.addObserver(*this);
}

std::string CallServer::callerName(const std::string &node) const
{
    const FleetPeer *peer = m_network.peer(node);
    return joinText(node, "#", peer == nullptr ? 0 : peer->contact.incarnation);
}

void CallServer::fleetMessage(const std::string &node, const FleetMessage &message)
{
    if (const WorkCallMessage *call = std::get_if<WorkCallMessage>(&message))
        take(node, *call);
    else if (const WorkCancelMessage *cancelled = std::get_if<WorkCancelMessage>(&message))
        cancel(node, cancelled->call);
    else if (const WorkResumeMessage *resumed = std::get_if<WorkResumeMessage>(&message))
        resume(node, *resumed);
}

void CallServer::take(const std::string &node, const WorkCallMessage &message)
{
    expire();
    const CallKey key(callerName(node), message.call);
    // The same call may arrive late over a link that was given up.
    if (m_running.contains(key) || m_results.contains(key))
        return;
    m_running[key] = 0;
    const std::uint64_t id =
            m_handler.run(message.work, [this, node, key](const WorkResult &result) {
                finished(node, key, result);
            });
    const auto running = m_running.find(key);
    if (running != m_running.end())
        running->second = id;
}

void CallServer::finished(const std::string &node, const CallKey &key, const WorkResult &result)
{
    m_running.erase(key);
    keep(key, result);
    sendResult(node, key.second, result);
}

void CallServer::sendResult(const std::string &node, std::uint64_t call, const WorkResult &result)
{
    const BackendStatus status = m_handler.status();
    m_network.send(node, WorkResultMessage{.call = call,
                                           .result = result,
                                           .load = {.limit = status.limit,
                                                    .running = status.running,
                                                    .queued = status.queued,
                                                    .startsPerSecond = status.startsPerSecond,
                                                    .serviceTime = status.serviceTime}});
}

void CallServer::resume(const std::string &node, const WorkResumeMessage &message)
{
    expire();
    const std::string caller = callerName(node);
    for (const std::uint64_t call : message.calls) {
        const CallKey key(caller, call);
        if (m_running.contains(key))
            continue;
        const auto kept = m_results.find(key);
        if (kept != m_results.end() && kept->second.has_value()) {
            sendResult(node, call, *kept->second);
            continue;
        }
        // It never arrived. From now on it must not start, so "not run" stays true.
        keep(key, std::nullopt);
        sendResult(node, call,
                   WorkResult{.verdict = Verdict::NotRun, .refusal = WorkRefusal::Lost});
    }
}

void CallServer::cancel(const std::string &node, std::uint64_t call)
{
    const CallKey key(callerName(node), call);
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        if (!m_results.contains(key))
            keep(key, std::nullopt);
        return;
    }
    const std::uint64_t id = running->second;
    m_running.erase(running);
    keep(key, std::nullopt);
    m_handler.cancel(id);
}

void CallServer::keep(const CallKey &key, std::optional<WorkResult> result)
{
    m_results[key] = std::move(result);
    m_expiry.push_back(Kept{.key = key, .until = m_timers.now() + m_options.keepResults});
}

void CallServer::expire()
{
    const SteadyTime now = m_timers.now();
    while (!m_expiry.empty()
           && (m_expiry.front().until <= now || m_expiry.size() > m_options.maxKept)) {
        m_results.erase(m_expiry.front().key);
        m_expiry.pop_front();
    }
}

} // namespace jacinthshift
