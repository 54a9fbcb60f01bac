#ifndef MODULES_FEED_OPERATOR_TABLE_H
#define MODULES_FEED_OPERATOR_TABLE_H

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "modules/feed/record_history.h"
#include "servers/keyed_log.h"

namespace jacinthshift {

/**
 * This node's copy of the operator table: the newest record of each key.
 *
 * Records arrive from the log and from other nodes, in any order. The record with the later
 * position wins, so a key never reverts to an older value. Values are stored as they were written.
 */
class OperatorTable
{
public:
    /** Called for each record that is newer than the stored one, including removals. */
    using Listener = std::function<void(const KeyedRecord &)>;
    /** Called with the new era when the log turns out to have been restored from an older copy. */
    using RestoreListener = std::function<void(std::uint64_t)>;

private:
    std::map<std::string, KeyedRecord> m_records;
    RecordHistory m_history; ///< Of the current era.
    TablePosition m_end;     ///< See position().
    /** Removals before this position may be unknown: the table was read whole up to it. */
    TablePosition m_removalsKnownFrom;
    bool m_mayLackRecords = false; ///< See mayLackRecords().
    Listener m_listener;
    RestoreListener m_restoreListener;

    /** Returns whether a record of the restored log was written after the copy was made. */
    bool isNewSinceCopy(const KeyedRecord &record) const;
    void store(const std::vector<KeyedRecord> &newRecords);
    void moveEnd(TablePosition end);

public:
    void setListener(Listener listener) { m_listener = std::move(listener); }
    void setRestoreListener(RestoreListener listener) { m_restoreListener = std::move(listener); }

    /**
     * Merges the records of a page that starts at or before end(). Afterwards all records before
     * page.endOffset are known.
     */
    void merge(const KeyedPage &page);
    /**
     * Merges a page that contains the newest record of every key. Stored keys that it lacks were
     * removed before its end, and are reported as removals. A page that ends before this copy is
     * ignored. So is the lack of a key that was stored in an earlier era: the operator may not have
     * written it again yet.
     */
    void replace(const KeyedPage &page);
    /**
     * Merges the whole table of a log that was restored from an older copy. The copy is what the
     * log held some time ago, so a record in it that was followed by a known one is old; all others
     * were written since. Keys that it lacks are retained.
     */
    void restore(const KeyedPage &page);
    /** Merges or replaces, depending on whether the page holds the whole table. */
    void apply(const KeyedPage &page);
    /**
     * Returns the newest records of keys from a position on, including removals. If this copy may
     * lack removals after it, the page holds the whole table instead.
     */
    KeyedPage recordsFrom(TablePosition from) const;
    /** Returns the position before which all records are known. */
    TablePosition position() const { return m_end; }
    /** Returns the offset of position(). */
    std::uint64_t end() const { return m_end.offset; }
    /**
     * Returns whether other nodes may know records that the log has lost: this copy was read from a
     * restored log and no other node's whole table has been merged into it.
     */
    bool mayLackRecords() const { return m_mayLackRecords; }
};

} // namespace jacinthshift

#endif // MODULES_FEED_OPERATOR_TABLE_H
