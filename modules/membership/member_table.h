#ifndef MODULES_MEMBERSHIP_MEMBER_TABLE_H
#define MODULES_MEMBERSHIP_MEMBER_TABLE_H

#include <array>
#include <chrono>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "modules/membership/member_record.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** The number of buckets over which the digest of a table is split. */
constexpr std::size_t MemberBucketCount = 256;

/** One hash per bucket of the table, to find the buckets in which two tables differ. */
using MemberDigest = std::array<std::uint64_t, MemberBucketCount>;

struct MemberTableOptions
{
    std::string self; ///< The id of this node.
    /** A node that stays suspect for longer is marked as down. */
    std::chrono::milliseconds suspicionTimeout{4'000};
    /** A node that stays down or left for longer is removed. */
    std::chrono::milliseconds unreachableRetention{600'000};
};

/**
 * Table of the known nodes of the mesh, with the newest record of each. A node refutes records that
 * mark it as suspect or down by a newer record of itself.
 */
class MemberTable
{
public:
    using ChangeCallback = std::function<void(const MemberRecord &)>;

private:
    struct Entry
    {
        MemberRecord record;
        SteadyTime changedAt;
        std::uint64_t hash = 0;
    };

    MemberTableOptions m_options;
    TimerService &m_timers;
    std::map<std::string, Entry> m_entries;
    std::map<std::string, std::string> m_nodeByEndpoint; ///< Node id by the text of its endpoint.
    MemberDigest m_digest{};
    std::uint64_t m_generation = 0;
    std::vector<ChangeCallback> m_observers;
    std::vector<MemberRecord> m_changedRecords;
    Timer m_expiryTimer;

    void store(const MemberRecord &record);
    void resolveEndpointConflict(const MemberRecord &record);
    void expire();
    void erase(const std::string &node);

public:
    MemberTable(const MemberTableOptions &options, TimerService &timers);

    /** Adds or replaces this node's own record and makes it newer than the known one. */
    void setSelf(MemberRecord record);
    const MemberRecord *self() const { return find(m_options.self); }

    /** Merges a record from a peer. Returns whether the table changed. */
    bool merge(const MemberRecord &record);
    /** Marks a node as suspect if it is alive, because this node cannot reach it. */
    void markSuspect(const std::string &node);

    /** Returns the record of a node, or null. */
    const MemberRecord *find(const std::string &node) const;
    std::size_t size() const { return m_entries.size(); }
    std::vector<MemberRecord> records() const;
    std::vector<MemberRecord> recordsInBucket(std::size_t bucket) const;
    /** Returns the reachable nodes of a failure domain, or of all if `domain` is empty. */
    std::vector<std::string> reachableNodes(const std::string &domain) const;
    /** Returns the other nodes that are marked as down. */
    std::vector<std::string> downNodes() const;
    const MemberDigest &digest() const { return m_digest; }
    /** Returns a counter that is incremented when the reachable nodes or their services change. */
    std::uint64_t generation() const { return m_generation; }

    /** Returns and clears the records that changed since the last call, for sending to peers. */
    std::vector<MemberRecord> takeChangedRecords();

    /** Adds a callback that runs after a record was added or replaced. */
    void addObserver(ChangeCallback callback) { m_observers.push_back(std::move(callback)); }
};

} // namespace jacinthshift

#endif // MODULES_MEMBERSHIP_MEMBER_TABLE_H
