#include "modules/feed/operator_table.h"

#include <algorithm>
#include <set>

namespace jacinthshift {

void OperatorTable::merge(const KeyedPage &page)
{
    std::vector<KeyedRecord> newRecords;
    for (const KeyedRecord &record : page.records) {
        const auto stored = m_records.find(record.key);
        if (stored != m_records.end() && stored->second.offset >= record.offset)
            continue;
        m_records[record.key] = record;
        newRecords.push_back(record);
    }
    m_end = std::max(m_end, page.endOffset);
    if (m_listener == nullptr)
        return;
    for (const KeyedRecord &record : newRecords) {
        // If a page holds several records of a key, only the newest one is reported.
        if (m_records[record.key].offset == record.offset)
            m_listener(record);
    }
}

void OperatorTable::replace(const KeyedPage &page)
{
    if (page.endOffset < m_end)
        return;
    std::set<std::string> present;
    for (const KeyedRecord &record : page.records)
        present.insert(record.key);
    KeyedPage withRemovals = page;
    for (const auto &[key, record] : m_records) {
        if (!present.contains(key) && !record.isRemoval() && page.endOffset > record.offset)
            withRemovals.records.push_back(KeyedRecord{.key = key, .offset = page.endOffset - 1});
    }
    merge(withRemovals);
    m_removalsKnownFrom = page.endOffset;
}

void OperatorTable::apply(const KeyedPage &page)
{
    if (page.isWholeTable)
        replace(page);
    else
        merge(page);
}

KeyedPage OperatorTable::recordsFrom(std::uint64_t offset) const
{
    KeyedPage page{.endOffset = m_end, .isWholeTable = offset < m_removalsKnownFrom};
    for (const auto &[key, record] : m_records) {
        if (page.isWholeTable || record.offset >= offset)
            page.records.push_back(record);
    }
    std::sort(page.records.begin(), page.records.end(),
              [](const KeyedRecord &a, const KeyedRecord &b) { return a.offset < b.offset; });
    return page;
}

} // namespace jacinthshift
