#ifndef SERVERS_KEYED_LOG_H
#define SERVERS_KEYED_LOG_H

#include <chrono>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace jacinthshift {

/**
 * A place in a table. When the log is restored from an older copy, its era increases and offsets
 * are given out again, so a place of a later era is the newer one whatever its offset.
 */
struct TablePosition
{
    std::uint64_t era = 0;
    std::uint64_t offset = 0;

    auto operator<=>(const TablePosition &) const = default;
};

/** A record of a table: a new value of a key, or its removal. */
struct KeyedRecord
{
    std::string key;
    std::string value;        ///< Empty if the key was removed.
    std::uint64_t offset = 0; ///< Increases with every record of the table within an era.
    std::uint64_t era = 0;    ///< See TablePosition.

    bool isRemoval() const { return value.empty(); }
    TablePosition position() const { return {.era = era, .offset = offset}; }
};

/** The result of a read. readFrom() orders the records by offset. */
struct KeyedPage
{
    std::vector<KeyedRecord> records;
    /** Where the next readFrom() continues: after the last record read, or the table's end. */
    std::uint64_t endOffset = 0;
    std::uint64_t era = 0; ///< Of endOffset; see TablePosition.
    /** The page holds every key of the table, so keys that it lacks were removed. */
    bool isWholeTable = false;
    /** The page was not cut off: no record that was in the table when it was read is missing. */
    bool reachesEnd = true;

    TablePosition end() const { return {.era = era, .offset = endOffset}; }
};

/** Which records to read. */
struct KeyedReadRequest
{
    std::string table;
    std::uint64_t fromOffset = 0;         ///< The offset of the first record.
    std::chrono::milliseconds maxWait{0}; ///< How long to wait for a record if there is none yet.
};

/** A record to write. */
struct KeyedWrite
{
    std::string table;
    std::string key;
    std::string value;
    /** If set, the record is written only if the table ends at this offset. */
    std::optional<std::uint64_t> expectedEnd;
};

/**
 * A client of the key tables in the platform's log. The newest record of each key is retained
 * indefinitely, older records for a limited time.
 */
class KeyedLog
{
public:
    using PageCallback = std::function<void(absl::StatusOr<KeyedPage>)>;
    using WriteCallback = std::function<void(absl::Status)>;

    virtual ~KeyedLog() = default;

    /** Reads the newest record of each key. */
    virtual void readNewest(const std::string &table, PageCallback callback) = 0;
    /** Reads the records from an offset on. Fails with OutOfRange if it is no longer retained. */
    virtual void readFrom(const KeyedReadRequest &request, PageCallback callback) = 0;
    /**
     * Writes a record. Fails with FailedPrecondition if the table does not end at expectedEnd, with
     * Unavailable if the record was not written and with Unknown if it may have been written.
     */
    virtual void write(const KeyedWrite &record, WriteCallback callback) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_KEYED_LOG_H
