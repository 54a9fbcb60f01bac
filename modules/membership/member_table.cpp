#include "modules/membership/member_table.h"

#include <algorithm>

#include "core/hash.h"
#include "core/logger.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds ExpiryPeriod{1'000};

std::size_t bucketOf(const std::string &node)
{
    return stableHash(node) % MemberBucketCount;
}

} // namespace

MemberTable::MemberTable(const MemberTableOptions &options, TimerService &timers)
    : m_options(options)
    , m_timers(timers)
    , m_expiryTimer(timers, timers.startPeriodic(ExpiryPeriod, [this] { expire(); }))
{
}

void MemberTable::setSelf(MemberRecord record)
{
    const MemberRecord *known = self();
    if (known != nullptr) {
        record.incarnation = std::max(record.incarnation, known->incarnation);
        record.sequence = known->sequence + 1;
    }
    store(record);
}

bool MemberTable::merge(const MemberRecord &record)
{
    const MemberRecord *known = find(record.node);
    if (known != nullptr && !record.isNewerThan(*known))
        return false;
    if (record.node != m_options.self) {
        store(record);
        return true;
    }
    // Another node sent a record of this node that is newer than its own, so this node refutes it
    // with a higher sequence. A later incarnation means that another process uses this node id, and
    // its records take precedence.
    if (known == nullptr || record.incarnation > known->incarnation)
        return false;
    MemberRecord refutation = *known;
    refutation.sequence = record.sequence + 1;
    store(refutation);
    return true;
}

void MemberTable::markSuspect(const std::string &node)
{
    const MemberRecord *known = find(node);
    if (known == nullptr || known->status != MemberStatus::Alive || node == m_options.self)
        return;
    MemberRecord suspected = *known;
    suspected.status = MemberStatus::Suspect;
    logEvent(Event::PeerSuspected, {{"peer", node}});
    store(suspected);
}

void MemberTable::store(const MemberRecord &record)
{
    Entry &entry = m_entries[record.node];
    std::uint64_t &bucket = m_digest[bucketOf(record.node)];
    bucket ^= entry.hash;
    const bool statusChanged = entry.record.status != record.status
                               || entry.record.backend != record.backend
                               || entry.record.version != record.version
                               || entry.record.incarnation != record.incarnation;
    const bool added = entry.record.node.empty();
    if (added || entry.record.isReachable() != record.isReachable()
        || entry.record.service != record.service)
        ++m_generation;
    entry.record = record;
    entry.changedAt = m_timers.now();
    entry.hash = record.contentHash();
    bucket ^= entry.hash;
    m_changedRecords.push_back(record);
    if (statusChanged)
        logEvent(Event::MemberChanged, {{"member", record.node},
                                        {"member_domain", record.domain},
                                        {"status", memberStatusName(record.status)},
                                        {"backend", backendStateName(record.backend)},
                                        {"service", record.service},
                                        {"version", record.version},
                                        {"sequence", record.sequence}});
    for (const ChangeCallback &observer : m_observers)
        observer(record);
    resolveEndpointConflict(record);
}

void MemberTable::resolveEndpointConflict(const MemberRecord &record)
{
    if (!record.isReachable())
        return;
    std::string &currentNode = m_nodeByEndpoint[record.links.text()];
    const std::string previousNode = std::exchange(currentNode, record.node);
    const MemberRecord *previous = previousNode == record.node ? nullptr : find(previousNode);
    if (previous == nullptr || !previous->isReachable())
        return;
    // A new VM has the address of an old one. The process that started later is the running one.
    const bool startedLater = record.incarnation >= previous->incarnation;
    MemberRecord stale = startedLater ? *previous : record;
    if (stale.node == m_options.self)
        return;
    if (!startedLater)
        currentNode = previousNode;
    stale.status = MemberStatus::Down;
    store(stale);
}

void MemberTable::expire()
{
    const SteadyTime now = m_timers.now();
    std::vector<MemberRecord> down;
    std::vector<std::string> expired;
    for (const auto &[node, entry] : m_entries) {
        const SteadyTime::duration age = now - entry.changedAt;
        if (entry.record.status == MemberStatus::Suspect && age > m_options.suspicionTimeout)
            down.push_back(entry.record);
        else if (!entry.record.isReachable() && age > m_options.unreachableRetention)
            expired.push_back(node);
    }
    for (MemberRecord &record : down) {
        record.status = MemberStatus::Down;
        store(record);
    }
    for (const std::string &node : expired)
        erase(node);
}

void MemberTable::erase(const std::string &node)
{
    const auto found = m_entries.find(node);
    m_digest[bucketOf(node)] ^= found->second.hash;
    const auto endpoint = m_nodeByEndpoint.find(found->second.record.links.text());
    if (endpoint != m_nodeByEndpoint.end() && endpoint->second == node)
        m_nodeByEndpoint.erase(endpoint);
    m_entries.erase(found);
}

const MemberRecord *MemberTable::find(const std::string &node) const
{
    const auto found = m_entries.find(node);
    return found == m_entries.end() ? nullptr : &found->second.record;
}

std::vector<MemberRecord> MemberTable::records() const
{
    std::vector<MemberRecord> all;
    all.reserve(m_entries.size());
    for (const auto &[node, entry] : m_entries)
        all.push_back(entry.record);
    return all;
}

std::vector<MemberRecord> MemberTable::recordsInBucket(std::size_t bucket) const
{
    std::vector<MemberRecord> found;
    for (const auto &[node, entry] : m_entries) {
        if (bucketOf(node) == bucket)
            found.push_back(entry.record);
    }
    return found;
}

std::vector<std::string> MemberTable::reachableNodes(const std::string &domain) const
{
    std::vector<std::string> nodes;
    for (const auto &[node, entry] : m_entries) {
        if (entry.record.isReachable() && (domain.empty() || entry.record.domain == domain))
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<std::string> MemberTable::downNodes() const
{
    std::vector<std::string> nodes;
    for (const auto &[node, entry] : m_entries) {
        if (entry.record.status == MemberStatus::Down && node != m_options.self)
            nodes.push_back(node);
    }
    return nodes;
}

std::vector<MemberRecord> MemberTable::takeChangedRecords()
{
    return std::exchange(m_changedRecords, {});
}

} // namespace jacinthshift
