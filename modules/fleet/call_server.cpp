#include "modules/fleet/call_server.h"

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

CallServer::CallServer(const CallServerOptions &options, FleetNetwork &network,
                       TimerService &timers, WorkHandler &handler)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_handler(handler)
    , m_parts(options.parts, network, timers)
    , m_budget(options.budget)
{
    network.addObserver(*this);
}

std::string CallServer::callingProcess(const std::string &node) const
{
    const FleetPeer *peer = m_network.peer(node);
    return joinText(node, "#", peer == nullptr ? 0 : peer->contact.incarnation);
}

void CallServer::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const WorkCallMessage *call = std::get_if<WorkCallMessage>(&message))
        startCall(node, *call);
    else if (const WorkCancelMessage *cancelled = std::get_if<WorkCancelMessage>(&message))
        cancel(node, cancelled->call);
    else if (const WorkResumeMessage *resumed = std::get_if<WorkResumeMessage>(&message))
        resume(node, *resumed);
}

void CallServer::startCall(const std::string &node, const WorkCallMessage &message)
{
    removeExpired();
    const CallKey key(callingProcess(node), message.call);
    // A duplicate may arrive late over a link that the sender has abandoned.
    if (m_running.contains(key) || m_ended.contains(key))
        return;
    if (!reserveResponse(node, key, message.work))
        return;
    const std::uint64_t id =
            m_handler.run(message.work, [this, node, key](const WorkResult &result) {
                callFinished(node, key, result);
            });
    // The handler may have finished the call before it returned the id.
    const auto running = m_running.find(key);
    if (running != m_running.end())
        running->second.id = id;
}

bool CallServer::reserveResponse(const std::string &node, const CallKey &key,
                                 const WorkRequest &work)
{
    const ResponseBudget::Decision decision =
            m_budget.offer(ResponseOffer{.route = work.route,
                                         .isCallerRetry = work.isCallerRetry,
                                         .targetTimeLeft = work.targetTimeLeft},
                           m_parts.queuedBytes());
    if (!decision.admitted) {
        logEvent(Event::AdmissionRefused, {{"caller", node},
                                           {"call", key.second},
                                           {"route", work.route},
                                           {"reason", refusalName(WorkRefusal::LinkBusy)},
                                           {"backlog_ms", responseBacklog().count()},
                                           {"target_left_ms", work.targetTimeLeft.count()},
                                           {"left_ms", work.timeLeft.count()}});
        callFinished(node, key,
                     WorkResult{.verdict = Verdict::NotRun,
                                .refusal = WorkRefusal::LinkBusy,
                                .retryAfter = decision.retryAfter});
        return false;
    }
    m_running[key] = RunningCall{.route = work.route,
                                 .startedAt = m_timers.now(),
                                 .reservedBytes = decision.reservedBytes};
    return true;
}

void CallServer::callFinished(const std::string &node, const CallKey &key, const WorkResult &result)
{
    const auto running = m_running.find(key);
    if (running != m_running.end()) {
        const RunningCall &call = running->second;
        m_budget.release(call.reservedBytes);
        if (result.verdict == Verdict::Done) {
            m_budget.recordResponse(call.route, result.response.body.size(),
                                    std::chrono::duration_cast<std::chrono::milliseconds>(
                                            m_timers.now() - call.startedAt));
        }
        m_running.erase(running);
    }
    recordEndedCall(key, CallEnd::Finished);
    if (key.first != callingProcess(node)) {
        ++m_orphanedCalls;
        logEvent(Event::CallOrphaned, {{"caller", key.first},
                                       {"call", key.second},
                                       {"now", callingProcess(node)},
                                       {"refusal", refusalName(result.refusal)}});
    }
    m_results[key] = result;
    m_resultExpiry.push_back(
            ExpiryEntry{.key = key, .expiresAt = m_timers.now() + m_options.resultRetention});
    sendResult(node, key.second, result);
}

void CallServer::sendResult(const std::string &node, std::uint64_t call, const WorkResult &result)
{
    const BackendStatus status = m_handler.status();
    WorkResultMessage message{.call = call,
                              .result = result,
                              .load = {.concurrencyLimit = status.concurrencyLimit,
                                       .running = status.running,
                                       .queued = status.queued,
                                       .startsPerSecond = status.startsPerSecond,
                                       .serviceTime = status.serviceTime,
                                       .failuresPerThousand = status.failuresPerThousand,
                                       .requestRateLimit = status.requestRateLimit,
                                       .responseBacklog = responseBacklog()}};
    if (result.response.body.size() < m_options.budget.largeResponseBytes) {
        m_network.send(node, message);
        return;
    }
    const auto body = std::make_shared<const std::string>(
            std::exchange(message.result.response.body, std::string()));
    message.followingBodyBytes = body->size();
    if (m_network.send(node, message))
        m_parts.send(node, call, body);
}

void CallServer::resume(const std::string &node, const WorkResumeMessage &message)
{
    removeExpired();
    const std::string process = callingProcess(node);
    for (const std::uint64_t call : message.calls) {
        const CallKey key(process, call);
        if (m_running.contains(key))
            continue;
        sendResult(node, call, resultOrFence(key));
    }
}

WorkResult CallServer::resultOrFence(const CallKey &key)
{
    const auto stored = m_results.find(key);
    if (stored != m_results.end())
        return stored->second;
    const auto ended = m_ended.find(key);
    if (ended != m_ended.end() && ended->second == CallEnd::Finished)
        return WorkResult{.verdict = Verdict::MayHaveRun,
                          .refusal = WorkRefusal::Lost,
                          .reachedBackend = true};
    // The call has not arrived. Fence it off, so that the reported NotRun stays true if the call
    // arrives later.
    recordEndedCall(key, CallEnd::Fenced);
    return WorkResult{.verdict = Verdict::NotRun, .refusal = WorkRefusal::Lost};
}

void CallServer::cancel(const std::string &node, std::uint64_t call)
{
    const CallKey key(callingProcess(node), call);
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        m_parts.cancel(node, call);
        if (!m_ended.contains(key))
            recordEndedCall(key, CallEnd::Fenced);
        return;
    }
    const std::uint64_t id = running->second.id;
    m_budget.release(running->second.reservedBytes);
    m_running.erase(running);
    recordEndedCall(key, CallEnd::Finished);
    m_handler.cancel(id);
}

void CallServer::recordEndedCall(const CallKey &key, CallEnd end)
{
    m_ended[key] = end;
    m_endedExpiry.push_back(
            ExpiryEntry{.key = key, .expiresAt = m_timers.now() + m_options.endedCallRetention});
}

void CallServer::removeExpired()
{
    const SteadyTime now = m_timers.now();
    const auto isDue = [now](const std::deque<ExpiryEntry> &expiry, std::size_t limit) {
        return !expiry.empty() && (expiry.front().expiresAt <= now || expiry.size() > limit);
    };
    while (isDue(m_resultExpiry, m_options.maxStoredResults)) {
        m_results.erase(m_resultExpiry.front().key);
        m_resultExpiry.pop_front();
    }
    while (isDue(m_endedExpiry, m_options.maxEndedCalls)) {
        m_ended.erase(m_endedExpiry.front().key);
        m_endedExpiry.pop_front();
    }
}

} // namespace jacinthshift
