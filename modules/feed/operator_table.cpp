#include "modules/feed/operator_table.h"

#include <algorithm>
#include <set>

namespace jacinthshift {

void OperatorTable::moveEnd(TablePosition end)
{
    const bool isRestored = end.era > m_end.era && m_end != TablePosition();
    m_end = std::max(m_end, end);
    if (!isRestored)
        return;
    m_history.clear();
    if (m_restoreListener != nullptr)
        m_restoreListener(end.era);
}

void OperatorTable::store(const std::vector<KeyedRecord> &newRecords)
{
    std::vector<KeyedRecord> changed;
    for (const KeyedRecord &record : newRecords) {
        const auto stored = m_records.find(record.key);
        if (stored != m_records.end()) {
            const KeyedRecord &known = stored->second;
            // The copy from which the log was restored holds it where it was.
            const bool isSame = known.offset == record.offset && known.value == record.value;
            if (isSame || known.position() >= record.position())
                continue;
        }
        m_records[record.key] = record;
        changed.push_back(record);
    }
    if (m_listener == nullptr)
        return;
    for (const KeyedRecord &record : changed) {
        // If a page holds several records of a key, only the newest one is reported.
        if (m_records[record.key].position() == record.position())
            m_listener(record);
    }
}

void OperatorTable::merge(const KeyedPage &page)
{
    moveEnd(page.end());
    m_history.add(page.records, m_end.era);
    store(page.records);
}

void OperatorTable::replace(const KeyedPage &page)
{
    if (page.end() < m_end)
        return;
    KeyedPage withRemovals = page;
    if (m_end == TablePosition() && page.era > 0) {
        // Which of the records were written before the restore is not known, so those that other
        // nodes have count as newer.
        m_history.add(page.records, page.era);
        for (KeyedRecord &record : withRemovals.records)
            record.era = 0;
        m_mayLackRecords = true;
    }
    std::set<std::string> present;
    for (const KeyedRecord &record : page.records)
        present.insert(record.key);
    for (const auto &[key, record] : m_records) {
        const bool isRemoved = !present.contains(key) && !record.isRemoval()
                               && record.era == page.era && page.endOffset > record.offset;
        if (isRemoved) {
            withRemovals.records.push_back(
                    KeyedRecord{.key = key, .offset = page.endOffset - 1, .era = page.era});
        }
    }
    merge(withRemovals);
    m_removalsKnownFrom = page.end();
}

bool OperatorTable::isNewSinceCopy(const KeyedRecord &record) const
{
    const auto stored = m_records.find(record.key);
    if (stored == m_records.end() || record.offset > stored->second.offset)
        return true;
    if (record.offset == stored->second.offset)
        return record.value != stored->second.value;
    return m_history.holdsAnother(record);
}

void OperatorTable::restore(const KeyedPage &page)
{
    if (page.end() < m_end)
        return;
    std::vector<KeyedRecord> newRecords;
    for (const KeyedRecord &record : page.records) {
        if (isNewSinceCopy(record))
            newRecords.push_back(record);
    }
    moveEnd(page.end());
    m_history.add(page.records, page.era);
    store(newRecords);
    m_removalsKnownFrom = page.end();
    m_mayLackRecords = true;
}

void OperatorTable::apply(const KeyedPage &page)
{
    if (page.era >= m_end.era)
        m_mayLackRecords = false;
    if (page.isWholeTable && page.end() >= m_end)
        replace(page);
    else
        merge(page);
}

KeyedPage OperatorTable::recordsFrom(TablePosition from) const
{
    KeyedPage page{.endOffset = m_end.offset,
                   .era = m_end.era,
                   .isWholeTable = from < m_removalsKnownFrom};
    for (const auto &[key, record] : m_records) {
        if (page.isWholeTable || record.position() >= from)
            page.records.push_back(record);
    }
    std::sort(
            page.records.begin(), page.records.end(),
            [](const KeyedRecord &a, const KeyedRecord &b) { return a.position() < b.position(); });
    return page;
}

} // namespace jacinthshift
