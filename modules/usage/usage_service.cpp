#include "modules/usage/usage_service.h"

#include <algorithm>
#include <utility>

#include "core/hash.h"
#include "core/logger.h"
#include "modules/fleet/link_plan.h"

namespace jacinthshift {

namespace {

constexpr std::size_t CollectorsPerDomain = 2;
constexpr std::string_view RankKey = "usage";

} // namespace

UsageService::UsageService(const UsageServiceOptions &options, FleetNetwork &network,
                           TimerService &timers, UsageRegister &usageRegister,
                           UsageReceiver &receiver)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_counter(options.duty.windowLength)
    , m_duty(options.duty, timers, usageRegister, receiver, *this)
{
    network.addObserver(*this);
    m_tickTimer = Timer(timers, timers.startPeriodic(options.tickPeriod, [this] { tick(); }));
}

void UsageService::runStarted(const std::string &workspace, SteadyTime at)
{
    if (workspace.empty())
        return;
    const auto age = std::chrono::duration_cast<WallTime::duration>(m_timers.now() - at);
    m_counter.runStarted(workspace, m_timers.wallNow() - age);
}

void UsageService::runRejected(const std::string &workspace, SteadyTime startedAt)
{
    if (workspace.empty())
        return;
    const auto age = std::chrono::duration_cast<WallTime::duration>(m_timers.now() - startedAt);
    m_counter.runRejected(workspace, m_timers.wallNow() - age);
}

UsageService::CollectorsByDomain UsageService::collectors() const
{
    std::map<std::string, std::vector<std::pair<RelayRank, std::string>>> ranked;
    const NodeContact &self = m_network.self();
    ranked[self.domain].emplace_back(relayRank(self), self.node);
    for (const auto &[node, peer] : m_network.peers()) {
        if (m_network.isReachable(peer) && !peer.status.leaving)
            ranked[peer.contact.domain].emplace_back(relayRank(peer.contact), node);
    }
    CollectorsByDomain result;
    for (auto &[domain, nodes] : ranked) {
        std::sort(nodes.begin(), nodes.end(), std::greater<>());
        nodes.resize(std::min(nodes.size(), CollectorsPerDomain));
        for (const auto &[relay, node] : nodes)
            result[domain].push_back(node);
    }
    return result;
}

std::optional<std::size_t> UsageService::rank(const CollectorsByDomain &collectors) const
{
    const std::string &self = m_network.self().node;
    const std::uint64_t ownWeight = rendezvousWeight(RankKey, self);
    std::size_t ahead = 0;
    bool isCollector = false;
    for (const auto &[domain, nodes] : collectors) {
        for (const std::string &node : nodes) {
            isCollector = isCollector || node == self;
            ahead += rendezvousWeight(RankKey, node) > ownWeight ? 1 : 0;
        }
    }
    return isCollector ? std::optional(ahead) : std::nullopt;
}

void UsageService::tick()
{
    const CollectorsByDomain known = collectors();
    sendCounts(known.at(m_network.self().domain));
    m_duty.tick(rank(known));
    if (m_collection)
        finishCollectionIfDone(known);
}

void UsageService::sendCounts(const std::vector<std::string> &ownCollectors)
{
    const bool isChanged = ownCollectors != m_ownCollectors;
    if (!isChanged && m_timers.now() < m_nextCounts)
        return;
    m_nextCounts = m_timers.now() + m_options.countsPeriod;
    if (isChanged) {
        m_ownCollectors = ownCollectors;
        m_counter.markAllChanged();
    }
    for (UsageCountsMessage &counts : m_counter.takeChanges()) {
        counts.incarnation = m_network.self().incarnation;
        for (const std::string &collector : m_ownCollectors) {
            if (collector == m_network.self().node)
                m_collector.add(collector, counts);
            else
                m_network.send(collector, counts);
        }
    }
}

void UsageService::collect(std::uint64_t window, std::function<void(UsageCounts)> callback)
{
    m_collection = Collection{
            .window = window, .callback = std::move(callback), .startedAt = m_timers.now()};
    askCollectors();
}

void UsageService::askCollectors()
{
    Collection &collection = *m_collection;
    const std::string &self = m_network.self().node;
    std::vector<std::string> asked;
    for (const auto &[domain, nodes] : collectors()) {
        for (const std::string &node : nodes) {
            if (!collection.domainOf.try_emplace(node, domain).second)
                continue;
            collection.outstanding.insert(node);
            asked.push_back(node);
        }
    }
    for (const std::string &node : asked) {
        if (node == self)
            sumReceived(self, m_collector.sum(collection.window));
        else
            m_network.send(node, UsageFetchMessage{.window = collection.window});
    }
}

void UsageService::sumReceived(const std::string &node, const UsageSumMessage &sum)
{
    if (!m_collection || m_collection->window != sum.window
        || m_collection->outstanding.erase(node) == 0)
        return;
    // Counts are missing at a collector that has not heard of all processes, never too many.
    const std::string &domain = m_collection->domainOf.at(node);
    const auto [known, isNew] = m_collection->sums.try_emplace(domain, sum);
    if (!isNew && totalRuns(sum.counts) > totalRuns(known->second.counts))
        known->second = sum;
}

void UsageService::finishCollectionIfDone(const CollectorsByDomain &collectors)
{
    Collection &collection = *m_collection;
    std::set<std::string> domains{m_network.self().domain};
    for (const auto &[node, peer] : m_network.peers())
        domains.insert(peer.contact.domain);
    std::string missing;
    for (const std::string &domain : domains) {
        if (!collection.sums.contains(domain))
            missing += (missing.empty() ? "" : ", ") + domain;
    }
    const bool hasWaited = m_timers.now() - collection.startedAt >= m_options.answerTimeout;
    const bool isComplete = missing.empty() && (collection.outstanding.empty() || hasWaited);
    const WallTime limit =
            windowEnd(collection.window, m_options.duty.windowLength) + m_options.collectLimit;
    if (!isComplete && m_timers.wallNow() < limit) {
        // A domain whose collectors were out of reach may have others by now.
        if (hasWaited && !collectors.empty())
            askCollectors();
        return;
    }
    if (!missing.empty())
        logEvent(Event::UsageIncomplete, {{"window", collection.window}, {"missing", missing}});
    UsageCounts total;
    for (const auto &[domain, sum] : collection.sums) {
        for (const auto &[workspace, runs] : sum.counts)
            total[workspace] += runs;
    }
    const std::function<void(UsageCounts)> callback = std::move(collection.callback);
    m_collection.reset();
    callback(std::move(total));
}

void UsageService::announce(const UsageReport &report)
{
    for (const auto &[domain, nodes] : collectors()) {
        for (const std::string &node : nodes) {
            if (node != m_network.self().node)
                m_network.send(node, UsageSealedMessage{.report = report});
        }
    }
}

void UsageService::messageReceived(const std::string &node, const FleetMessage &message)
{
    if (const auto *counts = std::get_if<UsageCountsMessage>(&message))
        m_collector.add(node, *counts);
    else if (const auto *fetch = std::get_if<UsageFetchMessage>(&message))
        m_network.send(node, m_collector.sum(fetch->window));
    else if (const auto *sum = std::get_if<UsageSumMessage>(&message))
        sumReceived(node, *sum);
    else if (const auto *sealed = std::get_if<UsageSealedMessage>(&message))
        m_duty.sealedElsewhere(sealed->report);
}

} // namespace jacinthshift
