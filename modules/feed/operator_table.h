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
 * This node's copy of what the operator wrote: the newest record of each key.
 *
 * Records reach it from the log and from other nodes, in any order; the offset decides which one is
 * newer, so the copy never goes back. The values stay as they were written.
 */
class OperatorTable
{
public:
    /** Called for each record that is news, also for removals. */
    using Listener = std::function<void(const KeyedRecord &)>;

private:
    std::map<std::string, KeyedRecord> m_records;
    std::uint64_t m_end = 0;
    Listener m_listener;

public:
    void setListener(Listener listener) { m_listener = std::move(listener); }

    /** Takes records that follow each other in the table up to an end. */
    void merge(const KeyedPage &page);
    /**
     * Takes a whole table. Keys that it lacks were removed before its end. A table that ends before
     * the present one changes nothing.
     */
    void replace(const KeyedPage &page);
    /** Returns the records from an offset on, removals included. */
    KeyedPage since(std::uint64_t offset) const;
    /** Returns the offset up to which everything is known. */
    std::uint64_t end() const { return m_end; }
};

} // namespace jacinthshift

#endif // MODULES_FEED_OPERATOR_TABLE_H
