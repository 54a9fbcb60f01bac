#ifndef MODULES_FEED_OPERATOR_TABLE_H
#define MODULES_FEED_OPERATOR_TABLE_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "servers/keyed_log.h"

namespace jacinthshift {

/**
 * This node's copy of the operator table: the newest record of each key.
 *
 * Records arrive from the log and from other nodes, in any order. The record with the higher offset
 * wins, so a key never reverts to an older value. Values are stored as they were written.
 */
class OperatorTable
{
public:
    /** Called for each record that is newer than the stored one, including removals. */
    using Listener = std::function<void(const KeyedRecord &)>;

private:
    std::map<std::string, KeyedRecord> m_records;
    std::uint64_t m_end = 0;
    Listener m_listener;

public:
    void setListener(Listener listener) { m_listener = std::move(listener); }

    /** Merges consecutive records of the table, up to page.endOffset. */
    void merge(const KeyedPage &page);
    /**
     * Merges a page that holds the whole table. Stored keys that it lacks were removed before its
     * end, and are reported as removals. A page that ends before this copy is ignored.
     */
    void replace(const KeyedPage &page);
    /** Returns the records from an offset on, including removals. */
    KeyedPage recordsFrom(std::uint64_t offset) const;
    /** Returns the offset before which all records are known. */
    std::uint64_t end() const { return m_end; }
};

} // namespace jacinthshift

#endif // MODULES_FEED_OPERATOR_TABLE_H
