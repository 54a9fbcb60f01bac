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
    std::uint64_t m_end = 0; ///< See end().
    /** Removals before this offset may be unknown: the table was read whole up to it. */
    std::uint64_t m_removalsKnownFrom = 0;
    Listener m_listener;

public:
    void setListener(Listener listener) { m_listener = std::move(listener); }

    /**
     * Merges the records of a page that starts at or before end(). Afterwards all records before
     * page.endOffset are known.
     */
    void merge(const KeyedPage &page);
    /**
     * Merges a page that contains the newest record of every key. Stored keys that it lacks were
     * removed before its end, and are reported as removals. A page that ends before this copy is
     * ignored.
     */
    void replace(const KeyedPage &page);
    /** Merges or replaces, depending on whether the page holds the whole table. */
    void apply(const KeyedPage &page);
    /**
     * Returns the newest records of keys from an offset on, including removals. If this copy may
     * lack removals after the offset, the page holds the whole table instead.
     */
    KeyedPage recordsFrom(std::uint64_t offset) const;
    /** Returns the offset before which all records are known. */
    std::uint64_t end() const { return m_end; }
};

} // namespace jacinthshift

#endif // MODULES_FEED_OPERATOR_TABLE_H
