#ifndef MODULES_FORWARDING_TRAFFIC_METRICS_H
#define MODULES_FORWARDING_TRAFFIC_METRICS_H

#include <array>
#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <tuple>

namespace jacinthshift {

/** Counts callers' requests by route, status and reason, with a latency histogram per route. */
class TrafficMetrics
{
public:
    /** Upper bounds of the histogram buckets in milliseconds. */
    static constexpr std::array<int, 12> BucketBoundsMs = {1,   2,   5,   10,   25,   50,
                                                           100, 250, 500, 1000, 2500, 5000};

private:
    struct Histogram
    {
        std::array<std::uint64_t, BucketBoundsMs.size()> buckets{}; ///< Cumulative counts.
        std::uint64_t count = 0;
        double sumSeconds = 0.0;
    };
    using CounterKey = std::tuple<std::string, int, std::string>; ///< Route, status, reason.

    std::map<CounterKey, std::uint64_t> m_requests;
    std::map<std::string, Histogram> m_latencies;
    std::uint64_t m_retries = 0;
    std::uint64_t m_retriesDenied = 0;
    std::uint64_t m_callersGone = 0;
    std::uint64_t m_entryRefused = 0;

public:
    /** Counts an answered request. The route is empty if the request was refused before routing. */
    void requestAnswered(const std::string &route, int status, std::string_view reason,
                         std::chrono::microseconds latency);
    void requestRetried() { ++m_retries; }
    void retryDenied() { ++m_retriesDenied; }
    void callerGone() { ++m_callersGone; }
    /** Counts a request that no owner could end in time. */
    void entryRefused() { ++m_entryRefused; }
    /** Returns the metrics in the Prometheus text format, with latencies in seconds. */
    std::string prometheusText() const;
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_TRAFFIC_METRICS_H
