#include "modules/forwarding/traffic_metrics.h"

#include "core/text.h"

namespace jacinthshift {

void TrafficMetrics::requestAnswered(const std::string &route, int status, std::string_view reason,
                                     std::chrono::microseconds latency)
{
    ++m_requests[CounterKey(route, status, std::string(reason))];
    Histogram &histogram = m_latencies[route];
    ++histogram.count;
    histogram.sumSeconds += std::chrono::duration<double>(latency).count();
    for (std::size_t i = 0; i < BucketBoundsMs.size(); ++i) {
        if (latency <= std::chrono::milliseconds(BucketBoundsMs.at(i)))
            ++histogram.buckets.at(i);
    }
}

std::string TrafficMetrics::prometheusText() const
{
    std::string text;
    for (const auto &[key, count] : m_requests) {
        text += joinText("jacinthshift_requests_total{route=\"", std::get<0>(key), "\",status=\"",
                         std::get<1>(key), "\",reason=\"", std::get<2>(key), "\"} ", count, "\n");
    }
    for (const auto &[route, histogram] : m_latencies) {
        const std::string label = joinText("{route=\"", route, "\"");
        for (std::size_t i = 0; i < BucketBoundsMs.size(); ++i) {
            text += joinText("jacinthshift_request_seconds_bucket", label, ",le=\"",
                             std::to_string(BucketBoundsMs.at(i) / 1'000.0), "\"} ",
                             histogram.buckets.at(i), "\n");
        }
        text += joinText("jacinthshift_request_seconds_bucket", label, ",le=\"+Inf\"} ",
                         histogram.count, "\njacinthshift_request_seconds_sum", label, "} ",
                         std::to_string(histogram.sumSeconds),
                         "\njacinthshift_request_seconds_count", label, "} ", histogram.count,
                         "\n");
    }
    text += joinText("jacinthshift_retries_total ", m_retries,
                     "\njacinthshift_retries_denied_total ", m_retriesDenied,
                     "\njacinthshift_callers_gone_total ", m_callersGone,
                     "\njacinthshift_entry_refused_total ", m_entryRefused, "\n");
    return text;
}

} // namespace jacinthshift
