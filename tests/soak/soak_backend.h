#ifndef TESTS_SOAK_SOAK_BACKEND_H
#define TESTS_SOAK_SOAK_BACKEND_H

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "core/random.h"
#include "drivers/beast/beast_http_server.h"
#include "servers/http_client.h"
#include "servers/timer_service.h"
#include "tests/soak/observation_log.h"

namespace jacinthshift {

/** Requests with such an id get a long response. */
constexpr std::string_view LongResponseIdPrefix = "slow-";

/** Settings of a backend server stand-in. */
struct SoakBackendOptions
{
    std::string service;
    std::string domain;
    std::size_t node = 0; ///< Index of the node at which it registers.
    Endpoint listen;
    Endpoint control;        ///< Where that node receives heartbeats.
    std::uint32_t slots = 8; ///< Requests that run concurrently.
    std::chrono::milliseconds meanServiceTime{40};
    std::chrono::milliseconds coldPeriod{3'000};
    std::uint64_t seed = 0;
};

/**
 * A stand-in for a backend server: registers with its node, runs requests in a fixed number of
 * slots and records arrivals and runs in the observation log.
 */
class SoakBackend
{
    using ResponderPointer = std::shared_ptr<HttpResponder>;

    /** A request that runs or is queued. */
    struct Work
    {
        HttpRequest request;
        ResponderPointer responder;
        std::size_t run = 0; ///< Its index in the observation log.
        Timer finishTimer;
    };

    SoakBackendOptions m_options;
    TimerService &m_timers;
    HttpClient &m_http;
    ObservationLog &m_observations;
    Random m_random;
    std::unique_ptr<BeastHttpServer> m_server;
    std::string m_id;
    std::uint64_t m_startedAt = 0; ///< In Unix milliseconds.
    std::uint64_t m_sequence = 0;
    std::uint64_t m_lastWorkNumber = 0;
    std::map<std::uint64_t, Work> m_running;
    std::deque<std::pair<std::uint64_t, Work>> m_queue;
    Timer m_heartbeatTimer;
    Timer m_lifecycleTimer; ///< Ends a drain or a downtime.
    SteadyTime m_coldUntil;
    std::uint32_t m_failPercent = 0;
    std::uint32_t m_slowFactor = 1;
    bool m_hang = false;
    bool m_draining = false;
    bool m_drainAcknowledged = false;
    Random m_departureRandom; ///< For late heartbeats and ways of leaving, apart from the other
                              ///< one.
    std::deque<Timer> m_lateHeartbeats; ///< They arrive even if the server has ended.
    std::function<void()> m_departureAcknowledged;

    bool isCold() const { return m_timers.now() < m_coldUntil; }
    std::chrono::milliseconds remainingColdTime() const;
    /** Sends a heartbeat, some of them seconds later than it says. */
    void sendHeartbeat(bool mayBeLate);
    void transmit(const HttpRequest &heartbeat, const std::string &id, bool draining);
    /** Records that the leaving was acknowledged, and serves on for a while. */
    void departureAcknowledged(const std::string &id);
    void heartbeatAnswered(const std::string &id, bool draining, const HttpResult &result);
    void sendDeregistration(HttpClient::Callback callback);
    void deregister();
    void stopServer();
    void serve(const HttpRequest &request, const ResponderPointer &responder);
    void respondToHealthCheck(const ResponderPointer &responder) const;
    void run(std::uint64_t number, Work work);
    void finish(std::uint64_t number);
    void startQueued();
    void cancelWork(std::uint64_t number);
    HttpHeader loadHeader() const;

public:
    SoakBackend(const SoakBackendOptions &options, TimerService &timers, HttpClient &http,
                ObservationLog &observations)
        : m_options(options)
        , m_timers(timers)
        , m_http(http)
        , m_observations(observations)
        , m_random(options.seed)
        , m_departureRandom(options.seed + 1'000'000)
    {
    }

    const SoakBackendOptions &options() const { return m_options; }
    bool isRunning() const { return m_server != nullptr; }
    bool isLeaving() const { return m_draining; }
    /** Starts a new instance with a new id, cold or warm. */
    void start(bool cold);
    /** Closes all connections at once and starts a new, cold instance after the downtime. */
    void crash(std::chrono::milliseconds downtime);
    /**
     * Announces a drain, deregisters some time after the acknowledgement, and starts a new, cold
     * instance after a downtime.
     */
    void drain();
    /** Announces a drain, or deregisters and serves on. The callback runs once it is acknowledged.
     */
    void leave(std::function<void()> acknowledged);
    /** Starts a cold period, in which requests take twice as long. */
    void turnCold();
    void setFailPercent(std::uint32_t percent) { m_failPercent = percent; }
    void setSlowFactor(std::uint32_t factor) { m_slowFactor = factor; }
    /** Runs that start while it hangs never finish. */
    void setHang(bool hang) { m_hang = hang; }
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SOAK_BACKEND_H
