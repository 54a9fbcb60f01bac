#ifndef TESTS_SOAK_SOAK_BACKEND_H
#define TESTS_SOAK_SOAK_BACKEND_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <string>

#include "core/random.h"
#include "drivers/beast/beast_http_server.h"
#include "servers/http_client.h"
#include "servers/timer_service.h"
#include "tests/soak/ledger.h"

namespace jacinthshift {

struct SoakBackendOptions
{
    std::string service;
    std::string domain;
    std::size_t node = 0; ///< The number of the node beside it.
    Endpoint listen;
    Endpoint control; ///< Where the node beside it takes heartbeats.
    std::uint32_t slots = 8;
    std::chrono::milliseconds work{40};
    std::chrono::milliseconds coldPeriod{3'000};
    std::uint64_t seed = 0;
};

/**
 * A stand-in for a backend server: it registers with the node beside it, runs requests in slots and
 * tells the ledger what reached it.
 */
class SoakBackend
{
    using ResponderPointer = std::shared_ptr<HttpResponder>;

    struct Work
    {
        HttpRequest request;
        ResponderPointer responder;
        std::size_t run = 0; ///< Its entry in the ledger.
        Timer end;
    };

    SoakBackendOptions m_options;
    TimerService &m_timers;
    HttpClient &m_http;
    Ledger &m_ledger;
    Random m_random;
    std::unique_ptr<BeastHttpServer> m_server;
    std::string m_id;
    std::uint64_t m_bornAt = 0;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastWork = 0;
    std::map<std::uint64_t, Work> m_running;
    std::deque<std::pair<std::uint64_t, Work>> m_queue;
    Timer m_heartbeat;
    Timer m_restart;
    SteadyTime m_coldUntil;
    std::uint32_t m_failPercent = 0;
    std::uint32_t m_slowFactor = 1;
    bool m_hang = false;
    bool m_draining = false;
    bool m_drainAcknowledged = false;

    bool isCold() const { return m_timers.now() < m_coldUntil; }
    std::chrono::milliseconds coldLeft() const;
    void beat();
    void beatAnswered(const std::string &id, bool draining, const HttpResult &result);
    void leave();
    void end();
    void serve(const HttpRequest &request, const ResponderPointer &responder);
    void answerProbe(const ResponderPointer &responder) const;
    void run(std::uint64_t number, Work work);
    void finish(std::uint64_t number);
    void startQueued();
    void abandon(std::uint64_t number);
    HttpHeader loadHeader() const;

public:
    SoakBackend(const SoakBackendOptions &options, TimerService &timers, HttpClient &http,
                Ledger &ledger)
        : m_options(options)
        , m_timers(timers)
        , m_http(http)
        , m_ledger(ledger)
        , m_random(options.seed)
    {
    }

    const SoakBackendOptions &options() const { return m_options; }
    bool isRunning() const { return m_server != nullptr; }
    /** Starts a new lifetime, cold unless it is the first. */
    void start(bool cold);
    /** Ends at once with all its connections and starts again after a while. */
    void crash(std::chrono::milliseconds pause);
    /** Leaves as planned and starts again after a while. */
    void drain();
    void turnCold();
    void setFailPercent(std::uint32_t percent) { m_failPercent = percent; }
    void setSlowFactor(std::uint32_t factor) { m_slowFactor = factor; }
    /** While it hangs, what it starts never ends. */
    void setHang(bool hang) { m_hang = hang; }
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SOAK_BACKEND_H
