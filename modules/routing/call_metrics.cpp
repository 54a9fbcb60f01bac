#include "modules/routing/call_metrics.h"

#include <array>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "core/text.h"

namespace jacinthshift {

namespace {

namespace acc = boost::accumulators;

constexpr std::array<double, 3> Quantiles = {0.5, 0.9, 0.99};

} // namespace

struct CallMetrics::Accumulators
{
    acc::accumulator_set<double, acc::stats<acc::tag::count, acc::tag::sum,
                                            acc::tag::extended_p_square_quantile>>
            latency{acc::extended_p_square_probabilities = Quantiles};
};

CallMetrics::CallMetrics() : m_accumulators(std::make_unique<Accumulators>()) {}

CallMetrics::~CallMetrics() = default;

void CallMetrics::requestEnded(Verdict verdict, std::chrono::microseconds latency)
{
    switch (verdict) {
    case Verdict::Done:
        ++m_done;
        m_accumulators->latency(std::chrono::duration<double>(latency).count());
        break;
    case Verdict::NotRun:
        ++m_notRun;
        break;
    case Verdict::MayHaveRun:
        ++m_mayHaveRun;
        break;
    }
}

std::string CallMetrics::prometheusText() const
{
    const std::string name = "jacinthshift_requests_total{verdict=\"";
    std::string text = joinText(name, "done\"} ", m_done, "\n", name, "not-run\"} ", m_notRun, "\n",
                                name, "may-have-run\"} ", m_mayHaveRun, "\n",
                                "jacinthshift_retries_total ", m_retries, "\n");
    const auto &latency = m_accumulators->latency;
    for (const double quantile : Quantiles) {
        const double value = acc::count(latency) == 0
                                     ? 0.0
                                     : acc::quantile(latency, acc::quantile_probability = quantile);
        text += joinText("jacinthshift_request_seconds{quantile=\"", std::to_string(quantile),
                         "\"} ", std::to_string(value), "\n");
    }
    text += joinText("jacinthshift_request_seconds_sum ", std::to_string(acc::sum(latency)),
                     "\njacinthshift_request_seconds_count ",
                     static_cast<std::uint64_t>(acc::count(latency)), "\n");
    return text;
}

} // namespace jacinthshift
