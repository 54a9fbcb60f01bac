#include "modules/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

namespace {

// Weight with which the baseline latency follows higher latencies while the limit is 1. Only then
// is it certain that the limit itself does not cause them.
constexpr double BaselineDrift = 0.2;
// Weight of the newest latency in the mean deviation.
constexpr double DeviationSmoothing = 0.02;
// The same weight while a late answer restricts the limit. A temporary overload must not raise the
// mean deviation, but a permanent change of the latencies must enter it.
constexpr double OverloadDeviationSmoothing = 0.002;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options, std::uint32_t slots)
    : m_options(options)
{
    reset(slots);
}

void ConcurrencyLimit::reset(std::uint32_t slots)
{
    m_slots = std::max(1U, slots);
    m_limit = std::min(m_options.initialLimit, m_slots);
    m_ceiling = m_slots;
    m_baseline = 0.0;
    m_deviation = 0.0;
    m_temporaryLimit = 0;
    m_phase = Phase::Lowered;
    m_window = {};
    m_saturatedWindow = {};
}

std::chrono::milliseconds ConcurrencyLimit::stallThreshold() const
{
    if (m_baseline <= 0.0)
        return std::chrono::milliseconds(0);
    const double allowedExcess = std::max(m_baseline * (m_options.stallFactor - 1.0),
                                          m_deviation * m_options.stallDeviations);
    const double minExcess = static_cast<double>(m_options.minStallExcess.count());
    return std::chrono::milliseconds(
            static_cast<std::int64_t>(m_baseline + std::max(allowedExcess, minExcess)));
}

std::uint32_t ConcurrencyLimit::effectiveLimit() const
{
    return m_temporaryLimit > 0 ? std::min(m_limit, m_temporaryLimit) : m_limit;
}

void ConcurrencyLimit::answered(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning)
{
    const std::chrono::milliseconds lateAfter = stallThreshold();
    if (lateAfter.count() == 0)
        return;
    if (now - startedAt > lateAfter)
        restrictAfterLateAnswer(now, startedAt, stillRunning);
    else if (m_temporaryLimit > 0 && startedAt >= m_temporaryLimitSince)
        relaxTemporaryLimit();
}

void ConcurrencyLimit::restrictAfterLateAnswer(SteadyTime now, SteadyTime startedAt,
                                               std::uint32_t stillRunning)
{
    // Late answers to requests that ran at the same time belong to one overload.
    if (m_temporaryLimit == 0 || startedAt >= m_temporaryLimitSince)
        m_fastRecoveryLimit = std::max(1U, (stillRunning + 1) / 2);
    m_temporaryLimit = std::max(1U, std::min(effectiveLimit(), stillRunning));
    m_temporaryLimitSince = now;
    m_timelyAnswers = 0;
}

void ConcurrencyLimit::relaxTemporaryLimit()
{
    ++m_timelyAnswers;
    if (m_temporaryLimit < m_fastRecoveryLimit || m_timelyAnswers >= m_temporaryLimit) {
        ++m_temporaryLimit;
        m_timelyAnswers = 0;
    }
    if (m_temporaryLimit >= m_limit)
        m_temporaryLimit = 0;
}

void ConcurrencyLimit::applyLimit(SteadyTime now, std::uint32_t limit)
{
    m_limit = std::clamp(limit, 1U, m_slots);
    m_changedAt = now;
    m_window = {};
    m_saturatedWindow = {};
}

void ConcurrencyLimit::lowerLimit(SteadyTime now, std::uint32_t limit)
{
    m_ceiling = m_limit > 1 ? m_limit - 1 : 1;
    m_ceilingUntil = now + m_options.ceilingDuration;
    applyLimit(now, std::min(limit, m_ceiling));
    m_phase = Phase::Lowered;
}

std::uint32_t ConcurrencyLimit::windowSize() const
{
    const bool steady = m_phase == Phase::Steady;
    return std::max(steady ? m_options.minSamplesWhenSteady : m_options.minSamplesAfterChange,
                    m_limit);
}

void ConcurrencyLimit::stalled(SteadyTime now, SteadyTime oldestStart, std::uint32_t inFlight)
{
    if (oldestStart >= m_changedAt)
        lowerLimit(now, std::min(m_limit, inFlight) / 2);
}

void ConcurrencyLimit::finished(SteadyTime now, SteadyTime startedAt, WorkOutcome outcome,
                                std::uint32_t inFlight)
{
    // A request that started before the last change gives no information about the new limit.
    if (startedAt < m_changedAt)
        return;
    const std::uint32_t decreasedLimit =
            static_cast<std::uint32_t>(static_cast<double>(m_limit) * m_options.decreaseFactor);
    if (outcome != WorkOutcome::Success) {
        lowerLimit(now, std::min(decreasedLimit, inFlight > 1 ? inFlight - 1 : 1));
        return;
    }
    double latency = std::chrono::duration<double, std::milli>(now - startedAt).count();
    // Clamp outliers so that a pause of the machine does not lower a limit that has been steady.
    if (m_phase == Phase::Steady)
        latency = std::min(latency, m_baseline * m_options.outlierFactor + tolerance());
    m_window.add(latency);
    const double smoothing = m_temporaryLimit > 0 ? OverloadDeviationSmoothing : DeviationSmoothing;
    if (m_baseline > 0.0)
        m_deviation += smoothing * (std::abs(latency - m_baseline) - m_deviation);
    if (inFlight >= m_limit)
        m_saturatedWindow.add(latency);
    if (m_window.count >= windowSize())
        evaluateWindow(now);
}

void ConcurrencyLimit::evaluateWindow(SteadyTime now)
{
    const double windowMean = m_window.value();
    const double highestMean = std::max(windowMean, m_saturatedWindow.value());
    const bool saturated = m_saturatedWindow.count > 0;
    m_window = {};
    m_saturatedWindow = {};
    if (m_baseline <= 0.0 || windowMean < m_baseline)
        m_baseline = windowMean;
    const double oldBaseline = m_baseline;
    if (m_limit == 1)
        m_baseline += (highestMean - m_baseline) * BaselineDrift;
    if (highestMean > oldBaseline * m_options.overloadFactor + tolerance()) {
        // Revert a raise that caused the overload; otherwise lower in proportion to the excess.
        const double factor = m_phase == Phase::Raised ? 1.0 : oldBaseline / highestMean;
        lowerLimit(now, static_cast<std::uint32_t>(static_cast<double>(m_limit) * factor));
        return;
    }
    if (now >= m_ceilingUntil)
        m_ceiling = m_slots;
    const bool belowGrowthBound = highestMean <= oldBaseline * m_options.growthFactor + tolerance();
    if (!saturated || !belowGrowthBound || m_limit >= m_ceiling) {
        m_phase = Phase::Steady;
        return;
    }
    applyLimit(now, m_limit + 1);
    m_phase = Phase::Raised;
}

} // namespace jacinthshift
