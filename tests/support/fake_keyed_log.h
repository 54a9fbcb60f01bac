#ifndef TESTS_SUPPORT_FAKE_KEYED_LOG_H
#define TESTS_SUPPORT_FAKE_KEYED_LOG_H

#include <map>
#include <string>
#include <utility>
#include <vector>

#include "servers/keyed_log.h"

namespace jacinthshift {

/** Tables of a log in memory; calls are answered at once, or wait for a record. */
class FakeKeyedLog final : public KeyedLog
{
    struct Table
    {
        std::vector<KeyedRecord> records;
        std::uint64_t first = 0;
    };
    struct Waiting
    {
        KeyedReadRequest request;
        PageCallback callback;
    };

    std::map<std::string, Table> m_tables;
    std::vector<Waiting> m_waiting;

    void wake(const std::string &table)
    {
        std::vector<Waiting> woken;
        std::erase_if(m_waiting, [&](const Waiting &waiting) {
            const bool due = waiting.request.table == table;
            if (due)
                woken.push_back(waiting);
            return due;
        });
        for (const Waiting &waiting : woken)
            readFrom(waiting.request, waiting.callback);
    }

public:
    bool down = false;
    bool loseWriteAnswers = false; ///< Writes take effect and their answers are lost.
    int calls = 0;

    void put(const std::string &table, const std::string &key, const std::string &value)
    {
        Table &target = m_tables[table];
        target.records.push_back({.key = key, .value = value, .offset = target.records.size()});
        wake(table);
    }
    void remove(const std::string &table, const std::string &key) { put(table, key, ""); }
    void dropHistory(const std::string &table)
    {
        m_tables[table].first = m_tables[table].records.size();
    }
    /** Breaks the connections of all reads that wait. */
    void failWaiting()
    {
        const std::vector<Waiting> waiting = std::exchange(m_waiting, {});
        for (const Waiting &read : waiting)
            read.callback(absl::UnavailableError("reset"));
    }
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
        ++calls;
        if (down) {
            callback(absl::UnavailableError("down"));
            return;
        }
        std::map<std::string, KeyedRecord> newest;
        for (const KeyedRecord &record : m_tables[table].records)
            newest[record.key] = record;
        KeyedPage page{.end = m_tables[table].records.size()};
        for (const auto &[key, record] : newest) {
            if (!record.isRemoval())
                page.records.push_back(record);
        }
        callback(page);
    }
    void readFrom(const KeyedReadRequest &request, PageCallback callback) override
    {
        ++calls;
        const Table &table = m_tables[request.table];
        if (down) {
            callback(absl::UnavailableError("down"));
        } else if (request.from < table.first) {
            callback(absl::OutOfRangeError("dropped"));
        } else if (request.from >= table.records.size()) {
            m_waiting.push_back({request, std::move(callback)});
        } else {
            KeyedPage page{.end = table.records.size()};
            page.records.assign(table.records.begin() + static_cast<std::ptrdiff_t>(request.from),
                                table.records.end());
            callback(page);
        }
    }
    void write(const KeyedWrite &record, WriteCallback callback) override
    {
        ++calls;
        if (down) {
            callback(absl::UnavailableError("down"));
            return;
        }
        if (record.expectedEnd && *record.expectedEnd != m_tables[record.table].records.size()) {
            callback(absl::FailedPreconditionError("grown"));
            return;
        }
        put(record.table, record.key, record.value);
        callback(loseWriteAnswers ? absl::UnknownError("lost") : absl::OkStatus());
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_FAKE_KEYED_LOG_H
