#ifndef MODULES_ROUTING_CALL_METRICS_H
#define MODULES_ROUTING_CALL_METRICS_H

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>

#include "core/verdict.h"

namespace jacinthshift {

/** Counts callers' requests by verdict and estimates quantiles of the latency of answered ones. */
class CallMetrics
{
    struct Accumulators;
    std::unique_ptr<Accumulators> m_accumulators;
    std::uint64_t m_done = 0;
    std::uint64_t m_notRun = 0;
    std::uint64_t m_mayHaveRun = 0;
    std::uint64_t m_retries = 0;

public:
    CallMetrics();
    ~CallMetrics();

    /** Counts an ended request. The latency is used only for requests with verdict Done. */
    void requestEnded(Verdict verdict, std::chrono::microseconds latency);
    void requestRetried() { ++m_retries; }
    /** Returns the metrics in the Prometheus text format, with latencies in seconds. */
    std::string prometheusText() const;
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_CALL_METRICS_H
