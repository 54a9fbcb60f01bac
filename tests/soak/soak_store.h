#ifndef TESTS_SOAK_SOAK_STORE_H
#define TESTS_SOAK_SOAK_STORE_H

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "drivers/beast/beast_http_server.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** A stand-in for the platform's store: keyed tables in memory, with injectable faults. */
class SoakStore
{
    using ResponderPointer = std::shared_ptr<HttpResponder>;

    struct Record
    {
        std::string key;
        std::string value;
    };
    struct NewestValue
    {
        std::string value;
        std::uint64_t offset = 0;
    };
    struct Table
    {
        std::uint64_t firstOffset = 0; ///< Offset of the oldest record still held.
        std::vector<Record> records;
        std::map<std::string, NewestValue> newest;

        std::uint64_t end() const { return firstOffset + records.size(); }
    };
    /** A read that waits for new records. */
    struct PendingRead
    {
        std::string table;
        std::uint64_t from = 0;
        ResponderPointer responder;
        Timer timeoutTimer;
    };

    TimerService &m_timers;
    BeastHttpServer m_server{HttpServerOptions{}};
    std::map<std::string, Table> m_tables;
    std::vector<std::shared_ptr<PendingRead>> m_pendingReads;
    std::vector<ResponderPointer> m_unanswered; ///< Appends whose answer is suppressed.
    std::vector<Timer> m_delayTimers;
    bool m_down = false;
    bool m_loseAnswers = false;
    std::chrono::milliseconds m_delay{0};

    void serve(const HttpRequest &request, const ResponderPointer &responder);
    void append(const HttpRequest &request, const ResponderPointer &responder);
    void read(const HttpRequest &request, const ResponderPointer &responder);
    void newest(const HttpRequest &request, const ResponderPointer &responder);
    void addRecord(Table &table, const std::string &key, const std::string &value);
    /** Answers a read, without new records only if answerIfEmpty. Returns whether it did. */
    bool answerRead(const PendingRead &pendingRead, bool answerIfEmpty);
    void answerPendingReads();

public:
    explicit SoakStore(TimerService &timers) : m_timers(timers) {}

    absl::Status listen(const Endpoint &endpoint);

    /** Appends a record as the operator does; an empty value removes the key. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    /** Returns the newest value of a key, or an empty string. */
    std::string value(const std::string &table, const std::string &key) const;

    void setDown(bool down) { m_down = down; }
    bool isDown() const { return m_down; }
    /** While set, appends take effect but are not answered. */
    void setLoseAnswers(bool lose) { m_loseAnswers = lose; }
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    /** Discards all records; the newest value of each key stays readable. */
    void discardHistory();
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SOAK_STORE_H
