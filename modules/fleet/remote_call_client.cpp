#include "modules/fleet/remote_call_client.h"

#include "core/logger.h"

namespace jacinthshift {

RemoteCallClient::RemoteCallClient(const RemoteCallClientOptions &options, FleetNetwork &network,
                                   TimerService &timers)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_parts(options.parts, network, timers)
{
    network.addObserver(*this);
}

std::uint64_t RemoteCallClient::addCall(Call call)
{
    const std::uint64_t id = ++m_lastCallId;
    ++m_outstandingByNode[call.node];
    m_calls.emplace(id, std::move(call));
    if (!m_checkTimer.isActive())
        m_checkTimer = Timer(
                m_timers, m_timers.startPeriodic(m_options.checkPeriod, [this] { checkCalls(); }));
    return id;
}

std::uint64_t RemoteCallClient::call(const std::string &node, WorkRequest work, Callback callback,
                                     SuspectCallback ownerSuspected)
{
    const FleetPeer *peer = m_network.peer(node);
    const std::uint64_t id =
            addCall(Call{.node = node,
                         .incarnation = peer == nullptr ? 0 : peer->contact.incarnation,
                         .callback = std::move(callback),
                         .ownerSuspected = std::move(ownerSuspected),
                         .idempotent = work.idempotent});
    PartedBody body{.lease = work.request.lease};
    if (work.request.body.size() > m_options.maxInlineBodyBytes)
        body.bytes = std::exchange(work.request.body, SharedBytes());
    if (m_network.send(node, WorkCallMessage{.callerProcess = ownProcess(),
                                             .call = id,
                                             .work = std::move(work),
                                             .followingBodyBytes = body.bytes.size()})) {
        if (!body.bytes.empty())
            m_parts.send(transferKey(node, id), std::move(body));
    } else {
        m_timers.startOnce(std::chrono::milliseconds(0), [this, id] {
            finish(id, WorkResult{.verdict = Verdict::NotRun, .refusal = WorkRefusal::Unreachable});
        });
    }
    return id;
}

void RemoteCallClient::cancel(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    sendCancel(found->second.node, call);
    m_parts.cancel(transferKey(found->second.node, call));
    --m_outstandingByNode[found->second.node];
    m_calls.erase(found);
}

CallKey RemoteCallClient::transferKey(const std::string &node, std::uint64_t call) const
{
    return {.node = node, .process = ownProcess(), .number = call};
}

WorkResult RemoteCallClient::lostResult(const std::string &node, std::uint64_t call)
{
    // The owner starts a request once its whole body has arrived.
    if (m_parts.isSending(transferKey(node, call)))
        return {.verdict = Verdict::NotRun, .refusal = WorkRefusal::Lost};
    return {.verdict = Verdict::MayHaveRun, .refusal = WorkRefusal::Lost, .reachedBackend = true};
}

void RemoteCallClient::sendCancel(const std::string &node, std::uint64_t call)
{
    m_network.send(node, WorkCancelMessage{.callerProcess = ownProcess(), .call = call});
}

std::uint32_t RemoteCallClient::outstanding(const std::string &node) const
{
    const auto found = m_outstandingByNode.find(node);
    return found == m_outstandingByNode.end() ? 0 : found->second;
}

void RemoteCallClient::finish(std::uint64_t call, const WorkResult &result)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    const Callback callback = std::move(found->second.callback);
    m_parts.cancel(transferKey(found->second.node, call));
    --m_outstandingByNode[found->second.node];
    m_calls.erase(found);
    callback(result);
}

void RemoteCallClient::checkCalls()
{
    if (m_calls.empty()) {
        m_checkTimer.stop();
        return;
    }
    std::vector<std::uint64_t> lost;
    std::vector<std::uint64_t> suspect;
    for (auto &[id, call] : m_calls) {
        if (hasLostLink(call))
            lost.push_back(id);
        else if (isOwnerSuspect(call))
            suspect.push_back(id);
        else if (call.partialResult != nullptr && call.lease == nullptr)
            makeRoom(id, call);
    }
    for (const std::uint64_t id : lost)
        giveUp(id);
    for (const std::uint64_t id : suspect) {
        const auto found = m_calls.find(id);
        if (found == m_calls.end())
            continue;
        // The callback may cancel the call and make another one.
        const SuspectCallback ownerSuspected = found->second.ownerSuspected;
        ownerSuspected();
    }
}

void RemoteCallClient::giveUp(std::uint64_t call)
{
    const auto found = m_calls.find(call);
    if (found == m_calls.end())
        return;
    // The owner may only be late. Over a link that is lost, the next resume() ends the call.
    sendCancel(found->second.node, call);
    finish(call, lostResult(found->second.node, call));
}

bool RemoteCallClient::hasLostLink(const Call &call) const
{
    return call.linkLostAt != SteadyTime()
           && m_timers.now() - call.linkLostAt > m_options.linkLossTimeout;
}

bool RemoteCallClient::isOwnerSuspect(const Call &call)
{
    if (call.linkLostAt != SteadyTime())
        return false;
    m_network.probe(call.node);
    const FleetPeer *peer = m_network.peer(call.node);
    // A call that is not idempotent keeps waiting for the owner's result, since a retry elsewhere
    // could run the request twice.
    return call.idempotent && call.ownerSuspected != nullptr && peer != nullptr && peer->silent
           && m_timers.now() - peer->silentSince > m_options.silentNodeTimeout;
}

void RemoteCallClient::resume(const std::string &node)
{
    WorkResumeMessage message{.callerProcess = ownProcess(), .lastCall = m_lastCallId};
    for (auto &[id, call] : m_calls) {
        if (call.node != node)
            continue;
        message.calls.push_back(id);
        call.linkLostAt = SteadyTime();
    }
    // Without open calls it still ends those that were given up while there was no link.
    if (m_lastCallId > 0)
        m_network.send(node, message);
}

void RemoteCallClient::linksChanged(const std::string &node)
{
    const FleetPeer *peer = m_network.peer(node);
    const bool linked = peer != nullptr && !peer->links.empty();
    std::vector<std::uint64_t> lost;
    for (auto &[id, call] : m_calls) {
        if (call.node != node)
            continue;
        if (linked && peer->contact.incarnation != call.incarnation)
            lost.push_back(id);
        else if (!linked && call.linkLostAt == SteadyTime())
            call.linkLostAt = m_timers.now();
    }
    for (const std::uint64_t id : lost)
        finish(id, lostResult(node, id));
    if (linked)
        resume(node);
}

void RemoteCallClient::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const WorkResultMessage *result = std::get_if<WorkResultMessage>(&message))
        resultReceived(node, *result);
    else if (const ResponsePartMessage *part = std::get_if<ResponsePartMessage>(&message))
        partReceived(node, *part);
}

std::uint64_t RemoteCallClient::ownProcess() const
{
    return m_network.self().incarnation;
}

RemoteCallClient::Call *RemoteCallClient::findCall(const std::string &node, std::uint64_t process,
                                                   std::uint64_t call)
{
    if (process != ownProcess())
        return nullptr;
    const auto found = m_calls.find(call);
    return found == m_calls.end() || found->second.node != node ? nullptr : &found->second;
}

void RemoteCallClient::resultReceived(const std::string &node, const WorkResultMessage &message)
{
    Call *call = findCall(node, message.callerProcess, message.call);
    if (call == nullptr) {
        logEvent(Event::LateAnswerDropped, {{"peer", node},
                                            {"call", message.call},
                                            {"process", message.callerProcess},
                                            {"own_process", ownProcess()}});
        return;
    }
    if (message.followingBodyBytes == 0) {
        finish(message.call, message.result);
        return;
    }
    const std::shared_ptr<ByteAccount> &account = m_options.account;
    const bool neverFits = account != nullptr && !account->canGrant(message.followingBodyBytes);
    call->partialResult = std::make_unique<WorkResult>(message.result);
    call->bodyBytes = message.followingBodyBytes;
    call->body.clear();
    call->lease.reset();
    call->resultAt = m_timers.now();
    const bool hasRoom = !neverFits && makeRoom(message.call, *call);
    const bool mayWait = !neverFits && call->bodyBytes > MaxUnaskedBodyBytes;
    if (!hasRoom && !mayWait)
        giveUp(message.call);
}

bool RemoteCallClient::makeRoom(std::uint64_t id, Call &call)
{
    call.lease = std::make_shared<ByteLease>();
    if (m_options.account != nullptr
        && m_options.account->extend(*call.lease, call.bodyBytes, {.since = call.resultAt},
                                     m_timers.now())
                   != LeaseResult::Granted) {
        call.lease.reset();
        return false;
    }
    call.body.reserve(call.bodyBytes);
    if (call.bodyBytes > MaxUnaskedBodyBytes)
        m_network.send(call.node, ResponseRoomMessage{.callerProcess = ownProcess(), .call = id});
    return true;
}

void RemoteCallClient::partReceived(const std::string &node, const ResponsePartMessage &part)
{
    Call *call = findCall(node, part.callerProcess, part.call);
    if (call == nullptr || call->partialResult == nullptr || call->lease == nullptr)
        return;
    std::string &body = call->body;
    // After a change of links, parts may arrive that belong before or after the ones received.
    if (part.offset != body.size() || part.bytes.size() > call->bodyBytes - body.size())
        return;
    body += part.bytes;
    if (body.size() < call->bodyBytes)
        return;
    const std::unique_ptr<WorkResult> result = std::move(call->partialResult);
    result->response.body = std::move(body);
    result->response.lease = std::move(call->lease);
    finish(part.call, *result);
}

} // namespace jacinthshift
