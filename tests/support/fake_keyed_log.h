#ifndef TESTS_SUPPORT_FAKE_KEYED_LOG_H
#define TESTS_SUPPORT_FAKE_KEYED_LOG_H

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "servers/keyed_log.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/**
 * A keyed log in memory. Calls complete at once, except reads that wait for the next record. Those
 * end without a record only if there is a timer service.
 */
class FakeKeyedLog final : public KeyedLog
{
    struct Table
    {
        std::vector<KeyedRecord> records;
        std::uint64_t firstOffset = 0;
    };
    struct PendingRead
    {
        KeyedReadRequest request;
        PageCallback callback;
        int number = 0;
    };

    std::map<std::string, Table> m_tables;
    std::vector<PendingRead> m_pendingReads;
    TimerService *m_timers = nullptr;

    KeyedPage emptyPage(const KeyedReadRequest &request) const
    {
        return KeyedPage{.endOffset = request.fromOffset, .era = era};
    }
    void addPendingRead(const KeyedReadRequest &request, PageCallback callback)
    {
        m_pendingReads.push_back({request, std::move(callback), callCount});
        if (m_timers == nullptr)
            return;
        m_timers->startOnce(request.maxWait, [this, number = callCount] { endRead(number); });
    }
    void endRead(int number)
    {
        const auto found =
                std::find_if(m_pendingReads.begin(), m_pendingReads.end(),
                             [number](const PendingRead &read) { return read.number == number; });
        if (found == m_pendingReads.end())
            return;
        const PendingRead ended = *found;
        m_pendingReads.erase(found);
        ended.callback(emptyPage(ended.request));
    }

    void completeReads(const std::string &table)
    {
        std::vector<PendingRead> matching;
        std::erase_if(m_pendingReads, [&](const PendingRead &read) {
            const bool matches = read.request.table == table;
            if (matches)
                matching.push_back(read);
            return matches;
        });
        for (const PendingRead &read : matching)
            readFrom(read.request, read.callback);
    }

public:
    FakeKeyedLog() = default;
    explicit FakeKeyedLog(TimerService &timers) : m_timers(&timers) {}

    bool unavailable = false;        ///< All calls fail with Unavailable.
    bool loseWriteResponses = false; ///< Writes take effect but report Unknown.
    bool silent = false;             ///< Reads are never answered, not even later.
    bool cutsPages = false;          ///< Pages of records say that more follow.
    int callCount = 0;
    std::uint64_t era = 0;

    /**
     * Restores all tables from a copy that lacks the last records of one of them. Pending reads are
     * reset.
     */
    void restoreWithout(const std::string &table, std::size_t lastRecords)
    {
        ++era;
        std::vector<KeyedRecord> &records = m_tables[table].records;
        records.resize(records.size() - lastRecords);
        failPendingReads();
    }
    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        Table &target = m_tables[table];
        target.records.push_back(
                {.key = key, .value = value, .offset = target.records.size(), .era = era});
        completeReads(table);
    }
    void remove(const std::string &table, const std::string &key) { put(table, key, ""); }
    /**
     * Makes reads from offsets before the table's end fail with OutOfRange. The newest values can
     * still be read.
     */
    void dropAllRecords(const std::string &table)
    {
        m_tables[table].firstOffset = m_tables[table].records.size();
    }
    /** Fails all pending reads with Unavailable. */
    void failPendingReads()
    {
        const std::vector<PendingRead> pendingReads = std::exchange(m_pendingReads, {});
        for (const PendingRead &read : pendingReads)
            read.callback(absl::UnavailableError("the connection was reset"));
    }
    /** Never answers the pending reads, as if their connections carried nothing more. */
    void losePendingReads() { m_pendingReads.clear(); }
    /** Returns the newest value of a key, or an empty string. */
    std::string newest(const std::string &table, const std::string &key) const
    {
        std::string value;
        const auto found = m_tables.find(table);
        if (found == m_tables.end())
            return value;
        for (const KeyedRecord &record : found->second.records) {
            if (record.key == key)
                value = record.value;
        }
        return value;
    }

    void readNewest(const std::string &table, PageCallback callback) override
    {
        ++callCount;
        if (silent)
            return;
        if (unavailable) {
            callback(absl::UnavailableError("down"));
            return;
        }
        std::map<std::string, KeyedRecord> newest;
        for (const KeyedRecord &record : m_tables[table].records)
            newest[record.key] = record;
        KeyedPage page{.endOffset = m_tables[table].records.size(), .era = era};
        for (auto &[key, record] : newest) {
            record.era = era;
            if (!record.isRemoval())
                page.records.push_back(record);
        }
        callback(page);
    }
    void readFrom(const KeyedReadRequest &request, PageCallback callback) override
    {
        ++callCount;
        if (silent)
            return;
        const Table &table = m_tables[request.table];
        if (unavailable) {
            callback(absl::UnavailableError("down"));
        } else if (request.fromOffset < table.firstOffset
                   || request.fromOffset > table.records.size()) {
            callback(absl::OutOfRangeError("the offset is no longer retained"));
        } else if (request.fromOffset >= table.records.size() && request.maxWait.count() == 0) {
            callback(emptyPage(request));
        } else if (request.fromOffset >= table.records.size()) {
            addPendingRead(request, std::move(callback));
        } else {
            KeyedPage page{.endOffset = table.records.size(), .era = era, .reachesEnd = !cutsPages};
            page.records.assign(table.records.begin()
                                        + static_cast<std::ptrdiff_t>(request.fromOffset),
                                table.records.end());
            for (KeyedRecord &record : page.records)
                record.era = era;
            callback(page);
        }
    }
    void write(const KeyedWrite &record, WriteCallback callback) override
    {
        ++callCount;
        if (unavailable) {
            callback(absl::UnavailableError("down"));
            return;
        }
        if (record.expectedEnd && *record.expectedEnd != m_tables[record.table].records.size()) {
            callback(
                    absl::FailedPreconditionError("the table does not end at the expected offset"));
            return;
        }
        put(record.table, record.key, record.value);
        callback(loseWriteResponses ? absl::UnknownError("the response was lost")
                                    : absl::OkStatus());
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_FAKE_KEYED_LOG_H
