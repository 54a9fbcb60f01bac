#ifndef MODULES_FEED_RECORD_HISTORY_H
#define MODULES_FEED_RECORD_HISTORY_H

#include <cstdint>
#include <map>
#include <vector>

#include "servers/keyed_log.h"

namespace jacinthshift {

/** Hashes of the last records that were seen in a table, by offset. */
class RecordHistory
{
    // A restored log has lost some seconds of records, and operators write a few a second.
    static constexpr std::size_t MaxRecords = 1'024;

    std::map<std::uint64_t, std::uint64_t> m_hashes;

public:
    /** Adds the records of an era; the offsets of others mean something else. */
    void add(const std::vector<KeyedRecord> &records, std::uint64_t era);
    /** Returns whether another record was seen at the offset of a record. */
    bool holdsAnother(const KeyedRecord &record) const;
    void clear() { m_hashes.clear(); }
};

} // namespace jacinthshift

#endif // MODULES_FEED_RECORD_HISTORY_H
