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
    if (m_running.contains(key) || m_ended.contains(key))
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
    remember(key, CallEnd::Finished);
    m_results[key] = result;
    m_resultExpiry.push_back(Kept{.key = key, .until = m_timers.now() + m_options.keepResults});
    sendResult(node, key.second, result);
}

void CallServer::sendResult(const std::string &node, std::uint64_t call, const WorkResult &result)
{
    const BackendStatus status = m_handler.status();
    m_network.send(node,
                   WorkResultMessage{.call = call,
                                     .result = result,
                                     .load = {.limit = status.limit,
                                              .running = status.running,
                                              .queued = status.queued,
                                              .startsPerSecond = status.startsPerSecond,
                                              .serviceTime = status.serviceTime,
                                              .failuresPerThousand = status.failuresPerThousand}});
}

void CallServer::resume(const std::string &node, const WorkResumeMessage &message)
{
    expire();
    const std::string caller = callerName(node);
    for (const std::uint64_t call : message.calls) {
        const CallKey key(caller, call);
        if (m_running.contains(key))
            continue;
        sendResult(node, call, resultOf(key));
    }
}

WorkResult CallServer::resultOf(const CallKey &key)
{
    const auto kept = m_results.find(key);
    if (kept != m_results.end())
        return kept->second;
    const auto ended = m_ended.find(key);
    if (ended != m_ended.end() && ended->second == CallEnd::Finished)
        return WorkResult{.verdict = Verdict::MayHaveRun,
                          .refusal = WorkRefusal::Lost,
                          .reachedBackend = true};
    // It never arrived. From now on it must not start, so "not run" stays true.
    remember(key, CallEnd::Fenced);
    return WorkResult{.verdict = Verdict::NotRun, .refusal = WorkRefusal::Lost};
}

void CallServer::cancel(const std::string &node, std::uint64_t call)
{
    const CallKey key(callerName(node), call);
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        if (!m_ended.contains(key))
            remember(key, CallEnd::Fenced);
        return;
    }
    const std::uint64_t id = running->second;
    m_running.erase(running);
    remember(key, CallEnd::Finished);
    m_handler.cancel(id);
}

void CallServer::remember(const CallKey &key, CallEnd end)
{
    m_ended[key] = end;
    m_endedExpiry.push_back(Kept{.key = key, .until = m_timers.now() + m_options.rememberCalls});
}

void CallServer::expire()
{
    const SteadyTime now = m_timers.now();
    const auto isDue = [now](const std::deque<Kept> &expiry, std::size_t limit) {
        return !expiry.empty() && (expiry.front().until <= now || expiry.size() > limit);
    };
    while (isDue(m_resultExpiry, m_options.maxKept)) {
        m_results.erase(m_resultExpiry.front().key);
        m_resultExpiry.pop_front();
    }
    while (isDue(m_endedExpiry, m_options.maxRemembered)) {
        m_ended.erase(m_endedExpiry.front().key);
        m_endedExpiry.pop_front();
    }
}

} // namespace jacinthshift
