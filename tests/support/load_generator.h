#ifndef TESTS_SUPPORT_LOAD_GENERATOR_H
#define TESTS_SUPPORT_LOAD_GENERATOR_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/verdict.h"
#include "servers/http_client.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** An open-loop load: requests are sent at a constant rate, regardless of earlier responses. */
struct LoadPlan
{
    std::vector<Endpoint> targets; ///< Used round-robin.
    HttpRequest request;
    double requestsPerSecond = 100.0;
    std::chrono::milliseconds duration{1000};
    std::chrono::milliseconds timeout{5000};
    std::string idPrefix = "load";
};

/** The result of one request. */
struct LoadResult
{
    std::string id;
    SteadyTime sentAt;
    std::chrono::microseconds latency{0};
    int status = 0; ///< 0 if no complete response was received.
    Verdict verdict = Verdict::MayHaveRun;
    std::string version;         ///< The version of the backend server that responded.
    bool matchesRequest = false; ///< The response is complete and carries the id of this request.
};

/** Sends a load and stores the result of each request. */
class LoadGenerator
{
    HttpClient &m_http;
    TimerService &m_timers;
    LoadPlan m_plan;
    std::vector<LoadResult> m_results;
    std::size_t m_sent = 0;
    std::size_t m_inFlight = 0;
    SteadyTime m_startedAt;
    Timer m_tickTimer;

    void tick();
    void send();

public:
    LoadGenerator(HttpClient &http, TimerService &timers, LoadPlan plan);

    /** Returns whether the load's duration has passed and no request is in flight. */
    bool isFinished() const;
    const std::vector<LoadResult> &results() const { return m_results; }
};

/** Converts the result of the request with this id; sentAt and latency remain unset. */
LoadResult readLoadResult(const std::string &id, const HttpResult &result);

/** Returns a quantile of the latencies of all responses, in milliseconds; 0 if there are none. */
double latencyQuantile(const std::vector<LoadResult> &results, double quantile);

} // namespace jacinthshift

#endif // TESTS_SUPPORT_LOAD_GENERATOR_H
