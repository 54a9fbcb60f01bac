#include "modules/distribution/status_collector.h"

#include <algorithm>

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds ReplyTimeout{1'000};

} // namespace

StatusCollector::StatusCollector(Distributor &distributor, PeerNetwork &network,
                                 MemberTable &members, ConfigStore &store, TimerService &timers)
    : m_distributor(distributor)
    , m_network(network)
    , m_members(members)
    , m_store(store)
    , m_timers(timers)
{
    network.addObserver(*this);
}

StatusReplyMessage StatusCollector::ownReply(std::uint64_t id) const
{
    const DomainProgress progress = m_distributor.progress();
    return StatusReplyMessage{.id = id,
                              .domain = m_members.self()->domain,
                              .nodes = progress.nodes,
                              .oldest = progress.oldest,
                              .applied = m_store.version(),
                              .late = progress.late};
}

void StatusCollector::collect(Callback callback)
{
    const std::uint64_t id = ++m_lastQueryId;
    Query &query = m_queries[id];
    query.callback = std::move(callback);
    const std::string self = m_members.self()->node;
    for (const MemberRecord &record : m_members.records()) {
        if (!record.isReachable())
            continue;
        DomainStatus &domain = query.domains[record.domain];
        domain.domain = record.domain;
        ++domain.members;
    }
    std::vector<std::string> roots;
    for (const auto &[name, domain] : query.domains) {
        for (const std::string &root : m_distributor.readersOf(name))
            roots.push_back(root);
    }
    query.pendingReplies = roots.size();
    query.timeout = Timer(m_timers, m_timers.startOnce(ReplyTimeout, [this, id] { complete(id); }));
    for (const std::string &root : roots) {
        if (root == self) {
            addReply(id, ownReply(id));
            continue;
        }
        // A root without a link counts as an empty reply: it cannot reply in time now, but will
        // have a link for the next query.
        m_network.connectPeer(root);
        if (m_network.send(root, StatusRequestMessage{.id = id}) == LinkId::None)
            addReply(id, StatusReplyMessage{.id = id});
    }
}

void StatusCollector::addReply(std::uint64_t id, const StatusReplyMessage &reply)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end())
        return;
    Query &query = found->second;
    const auto domain = query.domains.find(reply.domain);
    if (domain != query.domains.end()) {
        DomainStatus &status = domain->second;
        status.oldestVersion = status.reportedNodes == 0
                                       ? reply.oldest
                                       : std::min(status.oldestVersion, reply.oldest);
        status.reportedNodes += reply.nodes;
        status.lateNodes.insert(status.lateNodes.end(), reply.late.begin(), reply.late.end());
    }
    if (--query.pendingReplies == 0)
        query.timeout = Timer(m_timers, m_timers.startOnce(std::chrono::milliseconds(0),
                                                           [this, id] { complete(id); }));
}

void StatusCollector::complete(std::uint64_t id)
{
    const auto found = m_queries.find(id);
    if (found == m_queries.end())
        return;
    const Query query = std::move(found->second);
    m_queries.erase(found);
    std::vector<DomainStatus> domains;
    for (const auto &[name, domain] : query.domains)
        domains.push_back(domain);
    query.callback(std::move(domains));
}

void StatusCollector::messageReceived(const std::string &, LinkId link, const Message &message)
{
    if (const StatusRequestMessage *request = std::get_if<StatusRequestMessage>(&message))
        m_network.sendOnLink(link, ownReply(request->id));
    else if (const StatusReplyMessage *reply = std::get_if<StatusReplyMessage>(&message))
        addReply(reply->id, *reply);
}

} // namespace jacinthshift
