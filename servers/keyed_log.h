#ifndef SERVERS_KEYED_LOG_H
#define SERVERS_KEYED_LOG_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace jacinthshift {

/** The newest value of a key in a table of the log. */
struct KeyedRecord
{
    std::string key;
    std::string value;        ///< Empty if the key was removed.
    std::uint64_t offset = 0; ///< Grows with every record of the table.

    bool isRemoval() const { return value.empty(); }
};

/** Records in the order of their offsets. */
struct KeyedPage
{
    std::vector<KeyedRecord> records;
    std::uint64_t end = 0; ///< The offset that the next record will get.
};

/** Which records to wait for. */
struct KeyedReadRequest
{
    std::string table;
    std::uint64_t from = 0;
    std::chrono::milliseconds wait{0}; ///< How long the log may wait for a first record.
};

/** A record to write. */
struct KeyedWrite
{
    std::string table;
    std::string key;
    std::string value;
    /** If set, the write takes place only while the table ends at this offset. */
    std::optional<std::uint64_t> expectedEnd;
};

/**
 * Tables of keys in the platform's log. The newest record of each key is kept for good, older ones
 * for a limited time.
 */
class KeyedLog
{
public:
    using PageCallback = std::function<void(absl::StatusOr<KeyedPage>)>;
    using WriteCallback = std::function<void(absl::Status)>;

    virtual ~KeyedLog() = default;

    /** Reads the newest record of each key. */
    virtual void readNewest(const std::string &table, PageCallback callback) = 0;
    /** Reads what follows an offset. Fails with OutOfRange when that is no longer kept. */
    virtual void readFrom(const KeyedReadRequest &request, PageCallback callback) = 0;
    /**
     * Writes a record. Fails with FailedPrecondition when the table ends elsewhere, with
     * Unavailable when nothing was written and with Unknown when it may have been.
     */
    virtual void write(const KeyedWrite &record, WriteCallback callback) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_KEYED_LOG_H
