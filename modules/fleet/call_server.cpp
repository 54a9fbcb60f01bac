#include "modules/fleet/call_server.h"

#include <algorithm>
#include <set>

#include "core/logger.h"

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
    m_parts.setEvictedCallback([this](const CallKey &key) {
        dropStoredResult(key);
        sendResult(key, WorkResult{.verdict = Verdict::MayHaveRun,
                                   .refusal = WorkRefusal::Lost,
                                   .reachedBackend = true});
    });
}

CallServer::IncomingCall::~IncomingCall()
{
    if (server != nullptr && server->m_options.account != nullptr)
        server->m_options.account->release(*this);
}

void CallServer::IncomingCall::updateAccount()
{
    if (work.request.lease == nullptr)
        return;
    server->m_options.account->hold(*this,
                                    {.leasedBytes = work.request.lease->bytes(),
                                     .progress = body.size(),
                                     .since = arrivedAt},
                                    server->m_timers.now());
}

void CallServer::IncomingCall::evict()
{
    server->m_timers.startOnce(std::chrono::milliseconds(0), [owner = server, known = key] {
        if (owner->m_incoming.erase(known) > 0)
            owner->refuseForRoom(known);
    });
}

bool CallServer::isOrphaned(const CallKey &key) const
{
    const FleetPeer *peer = m_network.peer(key.node);
    return peer != nullptr && peer->contact.incarnation != key.process;
}

void CallServer::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const WorkCallMessage *call = std::get_if<WorkCallMessage>(&message))
        callReceived({.node = node, .process = call->callerProcess, .number = call->call}, *call);
    else if (const RequestPartMessage *part = std::get_if<RequestPartMessage>(&message))
        partReceived({.node = node, .process = part->callerProcess, .number = part->call}, *part);
    else if (const ResponseRoomMessage *room = std::get_if<ResponseRoomMessage>(&message))
        m_parts.start({.node = node, .process = room->callerProcess, .number = room->call});
    else if (const WorkCancelMessage *cancelled = std::get_if<WorkCancelMessage>(&message))
        cancel({.node = node, .process = cancelled->callerProcess, .number = cancelled->call});
    else if (const WorkResumeMessage *resumed = std::get_if<WorkResumeMessage>(&message))
        resume(node, *resumed);
}

void CallServer::callReceived(const CallKey &key, const WorkCallMessage &message)
{
    // A duplicate may arrive late over a link that the sender has abandoned.
    if (m_running.contains(key) || m_ended.contains(key) || m_incoming.contains(key))
        return;
    WorkRequest work = message.work;
    const std::size_t following = message.followingBodyBytes;
    if (!makeRoom(key, work, std::max(following, work.request.body.size())))
        return;
    if (following == 0) {
        callArrived(key, std::move(work));
        return;
    }
    IncomingCall &incoming = m_incoming[key];
    incoming.server = this;
    incoming.key = key;
    incoming.work = std::move(work);
    incoming.body.reserve(following);
    incoming.bodyBytes = following;
    incoming.arrivedAt = m_timers.now();
    incoming.updateAccount();
}

bool CallServer::makeRoom(const CallKey &key, WorkRequest &work, std::size_t bodyBytes)
{
    if (m_options.account == nullptr)
        return true;
    const SteadyTime now = m_timers.now();
    const auto lease = std::make_shared<ByteLease>();
    const LeaseResult result = m_options.account->extend(
            *lease, requestCost(work.request) + bodyBytes, {.since = now}, now);
    if (result != LeaseResult::Granted) {
        refuseForRoom(key);
        return false;
    }
    work.request.lease = lease;
    return true;
}

void CallServer::refuseForRoom(const CallKey &key)
{
    logEvent(Event::AdmissionRefused, {{"caller", key.node},
                                       {"call", key.number},
                                       {"reason", refusalName(WorkRefusal::Overloaded)},
                                       {"held", m_options.account->bytes()}});
    callFinished(key, WorkResult{.verdict = Verdict::NotRun,
                                 .refusal = WorkRefusal::Overloaded,
                                 .retryAfter = m_options.retryAfterWithoutRoom});
}

void CallServer::partReceived(const CallKey &key, const RequestPartMessage &part)
{
    const auto found = m_incoming.find(key);
    if (found == m_incoming.end())
        return;
    IncomingCall &incoming = found->second;
    if (part.offset != incoming.body.size()
        || part.bytes.size() > incoming.bodyBytes - incoming.body.size())
        return;
    incoming.body += part.bytes;
    if (incoming.body.size() < incoming.bodyBytes) {
        incoming.updateAccount();
        return;
    }
    WorkRequest work = std::move(incoming.work);
    work.request.body = std::move(incoming.body);
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
            m_timers.now() - incoming.arrivedAt);
    work.timeLeft = std::max(work.timeLeft - elapsed, std::chrono::milliseconds(0));
    work.targetTimeLeft = std::max(work.targetTimeLeft - elapsed, std::chrono::milliseconds(0));
    m_incoming.erase(found);
    callArrived(key, std::move(work));
}

void CallServer::dropIncomingCalls(const std::string &node, std::uint64_t process,
                                   std::uint64_t lastCall)
{
    std::erase_if(m_incoming, [&](const auto &entry) {
        const CallKey &key = entry.first;
        return key.node == node && key.process == process && key.number <= lastCall;
    });
}

void CallServer::linksChanged(const std::string &node)
{
    // The sender of a body ends its transfer with the link, and resumes the call over the next one.
    const FleetPeer *peer = m_network.peer(node);
    if (peer == nullptr || peer->links.empty())
        std::erase_if(m_incoming, [&](const auto &entry) { return entry.first.node == node; });
}

void CallServer::callArrived(const CallKey &key, WorkRequest work)
{
    // A late node reads a call and its cancellation in one go, and must not start the call.
    m_arrived.push_back({.key = key, .work = std::move(work)});
    if (!m_startTimer.isActive())
        m_startTimer = Timer(m_timers, m_timers.startOnce(std::chrono::milliseconds(0),
                                                          [this] { startArrivedCalls(); }));
}

void CallServer::startArrivedCalls()
{
    m_startTimer.stop();
    for (const ArrivedCall &call : std::exchange(m_arrived, {}))
        startCall(call.key, call.work);
}

void CallServer::startCall(const CallKey &key, const WorkRequest &work)
{
    removeExpired();
    // A duplicate may arrive late over a link that the sender has abandoned.
    if (m_running.contains(key) || m_ended.contains(key) || isGivenUp(key))
        return;
    if (!reserveResponse(key, work))
        return;
    const std::uint64_t id = m_handler.run(
            work, [this, key](const WorkResult &result) { callFinished(key, result); });
    // The handler may have finished the call before it returned the id.
    const auto running = m_running.find(key);
    if (running != m_running.end())
        running->second.id = id;
}

bool CallServer::reserveResponse(const CallKey &key, const WorkRequest &work)
{
    const ResponseBudget::Decision decision =
            m_budget.offer(ResponseOffer{.route = work.route,
                                         .isCallerRetry = work.isCallerRetry,
                                         .targetTimeLeft = work.targetTimeLeft},
                           m_parts.queuedBytes());
    if (!decision.admitted) {
        logEvent(Event::AdmissionRefused, {{"caller", key.node},
                                           {"call", key.number},
                                           {"route", work.route},
                                           {"reason", refusalName(WorkRefusal::LinkBusy)},
                                           {"backlog_ms", responseBacklog().count()},
                                           {"target_left_ms", work.targetTimeLeft.count()},
                                           {"left_ms", work.timeLeft.count()}});
        callFinished(key, WorkResult{.verdict = Verdict::NotRun,
                                     .refusal = WorkRefusal::LinkBusy,
                                     .retryAfter = decision.retryAfter});
        return false;
    }
    m_running[key] = RunningCall{.route = work.route,
                                 .startedAt = m_timers.now(),
                                 .deadline = m_timers.now() + work.timeLeft,
                                 .reservedBytes = decision.reservedBytes};
    return true;
}

void CallServer::callFinished(const CallKey &key, const WorkResult &result)
{
    const auto running = m_running.find(key);
    if (running != m_running.end()) {
        const RunningCall &call = running->second;
        m_budget.release(call.reservedBytes);
        SteadyTime &awaited = m_resultsAwaited[key.node];
        awaited = std::max(awaited, call.deadline);
        if (result.verdict == Verdict::Done) {
            m_budget.recordResponse(call.route, result.response.body.size(),
                                    std::chrono::duration_cast<std::chrono::milliseconds>(
                                            m_timers.now() - call.startedAt));
        }
        m_running.erase(running);
    }
    recordEndedCall(key, CallEnd::Finished);
    if (isOrphaned(key)) {
        ++m_orphanedCalls;
        logEvent(Event::CallOrphaned, {{"caller", key.node},
                                       {"process", key.process},
                                       {"call", key.number},
                                       {"refusal", refusalName(result.refusal)}});
        return;
    }
    storeResult(key, result);
    sendResult(key, result);
}

std::size_t CallServer::unfinishedCalls()
{
    const SteadyTime now = m_timers.now();
    std::erase_if(m_resultsAwaited, [now](const auto &entry) { return entry.second <= now; });
    const auto unread = std::count_if(
            m_resultsAwaited.begin(), m_resultsAwaited.end(),
            [this](const auto &entry) { return m_network.unacknowledgedBytes(entry.first) > 0; });
    return m_incoming.size() + m_arrived.size() + m_parts.transferCount()
           + static_cast<std::size_t>(unread);
}

void CallServer::storeResult(const CallKey &key, const WorkResult &result)
{
    dropStoredResult(key);
    m_results[key] = result;
    m_storedBytes += result.response.body.size();
    m_resultExpiry.push_back(
            ExpiryEntry{.key = key, .expiresAt = m_timers.now() + m_options.resultRetention});
    while (m_storedBytes > m_options.maxStoredBytes && !m_resultExpiry.empty()) {
        dropStoredResult(m_resultExpiry.front().key);
        m_resultExpiry.pop_front();
    }
}

void CallServer::dropStoredResult(const CallKey &key)
{
    const auto stored = m_results.find(key);
    if (stored == m_results.end())
        return;
    m_storedBytes -= stored->second.response.body.size();
    m_results.erase(stored);
}

void CallServer::sendResult(const CallKey &key, const WorkResult &result)
{
    const BackendStatus status = m_handler.status();
    WorkResultMessage message{.callerProcess = key.process,
                              .call = key.number,
                              .result = result,
                              .load = {.concurrencyLimit = status.concurrencyLimit,
                                       .running = status.running,
                                       .queued = status.queued,
                                       .startsPerSecond = status.startsPerSecond,
                                       .serviceTime = status.serviceTime,
                                       .failuresPerThousand = status.failuresPerThousand,
                                       .requestRateLimit = status.requestRateLimit,
                                       .responseBacklog = responseBacklog(),
                                       .remainingWork = status.remainingWork,
                                       .normalRunTime = status.normalRunTime,
                                       .pacePercent = status.pacePercent}};
    if (result.response.body.size() < m_options.budget.largeResponseBytes) {
        m_network.send(key.node, message);
        return;
    }
    const SharedBytes body = std::exchange(message.result.response.body, SharedBytes());
    message.followingBodyBytes = body.size();
    if (m_network.send(key.node, message))
        m_parts.send(key, {.bytes = body,
                           .lease = result.response.lease,
                           .waits = body.size() > MaxUnaskedBodyBytes});
}

void CallServer::resume(const std::string &node, const WorkResumeMessage &message)
{
    removeExpired();
    startArrivedCalls();
    // Their bodies do not arrive any more: resultOrFence() reports these calls as not run.
    dropIncomingCalls(node, message.callerProcess, message.lastCall);
    endGivenUpCalls(node, message);
    for (const std::uint64_t call : message.calls) {
        const CallKey key{.node = node, .process = message.callerProcess, .number = call};
        if (m_running.contains(key))
            continue;
        sendResult(key, resultOrFence(key));
    }
}

void CallServer::endGivenUpCalls(const std::string &node, const WorkResumeMessage &message)
{
    const std::set<std::uint64_t> wanted(message.calls.begin(), message.calls.end());
    const CallKey first{.node = node, .process = message.callerProcess};
    std::vector<CallKey> givenUp;
    for (auto call = m_running.lower_bound(first); call != m_running.end(); ++call) {
        const CallKey &key = call->first;
        if (key.node != node || key.process != message.callerProcess
            || key.number > message.lastCall)
            break;
        if (!wanted.contains(key.number))
            givenUp.push_back(key);
    }
    for (const CallKey &key : givenUp)
        cancel(key);
    // A call that arrives late over an earlier link was given up or has been reported as not run.
    CallKey &lastResumed = m_lastResumed[node];
    lastResumed = std::max(
            lastResumed,
            CallKey{.node = node, .process = message.callerProcess, .number = message.lastCall});
}

bool CallServer::isGivenUp(const CallKey &key) const
{
    const auto resumed = m_lastResumed.find(key.node);
    return resumed != m_lastResumed.end() && resumed->second.process == key.process
           && key.number <= resumed->second.number;
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

void CallServer::cancel(const CallKey &key)
{
    const auto running = m_running.find(key);
    if (running == m_running.end()) {
        m_parts.cancel(key);
        m_incoming.erase(key);
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
        dropStoredResult(m_resultExpiry.front().key);
        m_resultExpiry.pop_front();
    }
    while (isDue(m_endedExpiry, m_options.maxEndedCalls)) {
        m_ended.erase(m_endedExpiry.front().key);
        m_endedExpiry.pop_front();
    }
}

} // namespace jacinthshift
