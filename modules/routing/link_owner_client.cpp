#include "modules/routing/link_owner_client.h"

#include <algorithm>
#include <vector>

#include "core/logger.h"

namespace jacinthshift {

namespace {

AnswerMessage failureAnswer(Verdict verdict, CallProblem problem)
{
    return AnswerMessage{.verdict = verdict, .problem = problem};
}

} // namespace

LinkOwnerClient::LinkOwnerClient(const LinkOwnerClientOptions &options, PeerNetwork &network,
                                 BackendAgent &agent, TimerService &timers)
    : m_options(options), m_network(network), m_agent(agent), m_timers(timers)
{
    network.addObserver(*this);
}

OwnerCallId LinkOwnerClient::call(const std::string &node, CallMessage call, Callback callback)
{
    const std::uint64_t id = ++m_lastId;
    PendingCall &pending = m_pending[id];
    pending.node = node;
    pending.call = std::move(call);
    pending.call.id = id;
    pending.callback = std::move(callback);
    pending.local = node == m_options.node;
    pending.deadline = m_timers.now() + pending.call.timeout;
    pending.deadlineTimer = Timer(
            m_timers, m_timers.startOnce(pending.call.timeout, [this, id] { deadlinePassed(id); }));
    if (pending.local)
        callLocally(id);
    else
        sendOrAwaitLink(id);
    return static_cast<OwnerCallId>(id);
}

void LinkOwnerClient::callLocally(std::uint64_t id)
{
    PendingCall &pending = m_pending[id];
    CallMessage call = std::move(pending.call);
    const std::uint64_t workId = m_agent.submit(std::move(call), [this, id](AnswerMessage answer) {
        const auto found = m_pending.find(id);
        if (found == m_pending.end())
            return;
        // The agent may answer within submit(), but the callback must run after call() has
        // returned.
        found->second.progressTimer = Timer(
                m_timers, m_timers.startOnce(std::chrono::milliseconds(0),
                                             [this, id, answer = std::move(answer)]() mutable {
                                                 complete(id, std::move(answer));
                                             }));
    });
    const auto found = m_pending.find(id);
    if (found != m_pending.end())
        found->second.localWorkId = workId;
}

void LinkOwnerClient::sendOrAwaitLink(std::uint64_t id)
{
    if (trySend(id))
        return;
    PendingCall &pending = m_pending[id];
    m_network.connectPeer(pending.node);
    const std::chrono::milliseconds wait =
            std::min(m_options.connectTimeout, pending.call.timeout / 2);
    pending.progressTimer = Timer(m_timers, m_timers.startOnce(wait, [this, id] {
        complete(id, failureAnswer(Verdict::NotRun, CallProblem::LinkLost));
    }));
}

bool LinkOwnerClient::trySend(std::uint64_t id)
{
    PendingCall &pending = m_pending[id];
    const SteadyTime now = m_timers.now();
    pending.call.timeout =
            std::chrono::duration_cast<std::chrono::milliseconds>(pending.deadline - now);
    const LinkId link = m_network.send(pending.node, pending.call);
    if (link == LinkId::None)
        return false;
    pending.link = link;
    pending.progressTimer =
            Timer(m_timers, m_timers.startOnce(pending.call.timeout / 2,
                                               [this, id] { checkLinkResponsiveness(id); }));
    return true;
}

void LinkOwnerClient::checkLinkResponsiveness(std::uint64_t id)
{
    const PendingCall &pending = m_pending[id];
    const bool unresponsive = m_network.reportProbeTimeout(pending.link, pending.probedAt);
    // An idempotent call ends before its deadline, so that it can be retried at another owner.
    if (unresponsive && pending.call.idempotent)
        complete(id, failureAnswer(Verdict::MayHaveRun, CallProblem::LinkLost));
}

void LinkOwnerClient::deadlinePassed(std::uint64_t id)
{
    const PendingCall &pending = m_pending[id];
    if (pending.local) {
        m_agent.cancel(pending.localWorkId);
    } else if (pending.link != LinkId::None) {
        m_network.sendOnLink(pending.link, CancelMessage{.id = id});
        if (m_network.isUnresponsive(pending.link)) {
            complete(id, failureAnswer(Verdict::MayHaveRun, CallProblem::LinkLost));
            return;
        }
    } else {
        complete(id, failureAnswer(Verdict::NotRun, CallProblem::DeadlinePassed));
        return;
    }
    complete(id, failureAnswer(Verdict::MayHaveRun, CallProblem::TimedOut));
}

void LinkOwnerClient::complete(std::uint64_t id, AnswerMessage answer)
{
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    const PendingCall pending = std::move(found->second);
    m_pending.erase(found);
    pending.callback(std::move(answer));
}

void LinkOwnerClient::cancel(OwnerCallId callId)
{
    const std::uint64_t id = static_cast<std::uint64_t>(callId);
    const auto found = m_pending.find(id);
    if (found == m_pending.end())
        return;
    if (found->second.local)
        m_agent.cancel(found->second.localWorkId);
    else if (found->second.link != LinkId::None)
        m_network.sendOnLink(found->second.link, CancelMessage{.id = id});
    m_pending.erase(id);
}

void LinkOwnerClient::linkEstablished(const std::string &peer)
{
    std::vector<std::uint64_t> waiting;
    for (const auto &[id, pending] : m_pending) {
        if (!pending.local && pending.link == LinkId::None && pending.node == peer)
            waiting.push_back(id);
    }
    for (const std::uint64_t id : waiting)
        trySend(id);
}

void LinkOwnerClient::linkLost(const std::string &, LinkId link)
{
    std::vector<std::uint64_t> lost;
    for (const auto &[id, pending] : m_pending) {
        if (pending.link == link && !pending.local)
            lost.push_back(id);
    }
    for (const std::uint64_t id : lost)
        complete(id, failureAnswer(Verdict::MayHaveRun, CallProblem::LinkLost));
    const auto served = m_served.find(link);
    if (served == m_served.end())
        return;
    const std::map<std::uint64_t, std::uint64_t> workIds = std::move(served->second);
    m_served.erase(served);
    for (const auto &[id, workId] : workIds)
        m_agent.cancel(workId);
}

void LinkOwnerClient::serve(LinkId link, const CallMessage &call)
{
    const std::uint64_t id = call.id;
    const auto answered = std::make_shared<bool>(false);
    const std::uint64_t workId =
            m_agent.submit(call, [this, link, id, answered](AnswerMessage answer) {
                *answered = true;
                answer.id = id;
                m_network.sendOnLink(link, answer);
                const auto found = m_served.find(link);
                if (found != m_served.end())
                    found->second.erase(id);
            });
    if (!*answered)
        m_served[link][id] = workId;
}

void LinkOwnerClient::cancelServed(LinkId link, std::uint64_t id)
{
    const auto served = m_served.find(link);
    if (served == m_served.end() || !served->second.contains(id))
        return;
    const std::uint64_t workId = served->second[id];
    served->second.erase(id);
    m_agent.cancel(workId);
}

void LinkOwnerClient::messageReceived(const std::string &peer, LinkId link, const Message &message)
{
    if (const CallMessage *call = std::get_if<CallMessage>(&message)) {
        serve(link, *call);
    } else if (const CancelMessage *cancelled = std::get_if<CancelMessage>(&message)) {
        cancelServed(link, cancelled->id);
    } else if (const AnswerMessage *answer = std::get_if<AnswerMessage>(&message)) {
        const auto found = m_pending.find(answer->id);
        if (found != m_pending.end() && found->second.link == link) {
            complete(answer->id, *answer);
            return;
        }
        ++m_lateAnswerCount;
        logEvent(Event::LateAnswerDropped, {{"peer", peer}, {"call", answer->id}});
    }
}

} // namespace jacinthshift
