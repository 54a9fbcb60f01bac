#include "modules/feed/record_history.h"

#include "core/hash.h"

namespace jacinthshift {

namespace {

std::uint64_t recordHash(const KeyedRecord &record)
{
    return combineHash(stableHash(record.key), stableHash(record.value));
}

} // namespace

void RecordHistory::add(const std::vector<KeyedRecord> &records, std::uint64_t era)
{
    for (const KeyedRecord &record : records) {
        if (record.era == era)
            m_hashes[record.offset] = recordHash(record);
    }
    while (m_hashes.size() > MaxRecords)
        m_hashes.erase(m_hashes.begin());
}

bool RecordHistory::holdsAnother(const KeyedRecord &record) const
{
    const auto seen = m_hashes.find(record.offset);
    return seen != m_hashes.end() && seen->second != recordHash(record);
}

} // namespace jacinthshift
