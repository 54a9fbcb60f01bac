#ifndef SERVERS_LOG_CLIENT_H
#define SERVERS_LOG_CLIENT_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

namespace jacinthshift {

/** A record of a stream of the platform's log. Offsets start at 1 and have no gaps. */
struct LogRecord
{
    std::uint64_t offset = 0;
    std::string payload;
};

/** What to read from a stream. */
struct LogReadRequest
{
    std::string stream;
    std::uint64_t fromOffset = 1;
    std::uint32_t maxRecords = 256;
    std::chrono::milliseconds maxWait{0}; ///< How long to wait for a record if there is none yet.
};

/** The result of a read. */
struct LogPage
{
    std::vector<LogRecord> records;
    std::uint64_t firstOffset = 1; ///< The oldest offset that the log still retains.
    std::uint64_t nextOffset = 1;  ///< The offset that the next append will get.
};

/** A client of the platform's append-only log. */
class LogClient
{
public:
    using AppendCallback = std::function<void(absl::StatusOr<std::uint64_t>)>;
    using ReadCallback = std::function<void(absl::StatusOr<LogPage>)>;

    virtual ~LogClient() = default;

    /**
     * Appends a record and reports its offset. Fails with Unavailable if the record was certainly
     * not appended and with Unknown if it may have been appended.
     */
    virtual void append(const std::string &stream, const std::string &payload,
                        AppendCallback callback) = 0;

    /**
     * Reads records in order of their offsets. Fails with Unavailable if the log cannot be reached
     * or refuses the read, and with DataLoss if its response is malformed.
     */
    virtual void read(const LogReadRequest &request, ReadCallback callback) = 0;
};

} // namespace jacinthshift

#endif // SERVERS_LOG_CLIENT_H
