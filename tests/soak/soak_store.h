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

/** A stand-in for the platform's store: keyed tables in memory, with faults on order. */
class SoakStore
{
    using ResponderPointer = std::shared_ptr<HttpResponder>;

    struct Record
    {
        std::string key;
        std::string value;
    };
    struct Newest
    {
        std::string value;
        std::uint64_t offset = 0;
    };
    struct Table
    {
        std::uint64_t first = 0;
        std::vector<Record> records;
        std::map<std::string, Newest> newest;

        std::uint64_t end() const { return first + records.size(); }
    };
    struct Reader
    {
        std::string table;
        std::uint64_t from = 0;
        ResponderPointer responder;
        Timer limit;
    };

    TimerService &m_timers;
    BeastHttpServer m_server{HttpServerOptions{}};
    std::map<std::string, Table> m_tables;
    std::vector<std::shared_ptr<Reader>> m_readers;
    std::vector<ResponderPointer> m_lost; ///< Calls that never get an answer.
    std::vector<Timer> m_delayed;
    bool m_down = false;
    bool m_loseAnswers = false;
    std::chrono::milliseconds m_delay{0};

    void serve(const HttpRequest &request, const ResponderPointer &responder);
    void append(const HttpRequest &request, const ResponderPointer &responder);
    void read(const HttpRequest &request, const ResponderPointer &responder);
    void newest(const HttpRequest &request, const ResponderPointer &responder);
    void add(Table &table, const std::string &key, const std::string &value);
    bool answerReader(const Reader &reader, bool atOnce);
    void wakeReaders();

public:
    explicit SoakStore(TimerService &timers) : m_timers(timers) {}

    absl::Status listen(const Endpoint &endpoint);

    /** Writes a record of the operator; an empty value removes the key. */
    void put(const std::string &table, const std::string &key, const std::string &value);
    /** Returns the newest value of a key, or nothing. */
    std::string value(const std::string &table, const std::string &key) const;

    void setDown(bool down) { m_down = down; }
    bool isDown() const { return m_down; }
    void setLoseAnswers(bool lose) { m_loseAnswers = lose; }
    void setDelay(std::chrono::milliseconds delay) { m_delay = delay; }
    /** Drops all records but the newest of each key. */
    void forgetHistory();
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SOAK_STORE_H
