#include "modules/admission/concurrency_limit.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

namespace {

// How fast the floor follows higher latencies when one request runs at a time. Only then is it
// certain that the limit itself does not cause them.
constexpr double FloorDrift = 0.2;
constexpr double DeviationSmoothing = 0.02;
// After a late answer; an overload must not pass for the usual spread while it lasts, but latencies
// that differ for good have to be learnt.
constexpr double HeldDeviationSmoothing = 0.002;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(const ConcurrencyLimitOptions &options, std::uint32_t slots)
    : m_options(options)
{
    restart(slots);
}

void ConcurrencyLimit::restart(std::uint32_t slots)
{
    m_slots = std::max(1U, slots);
    m_limit = std::min(m_options.initial, m_slots);
    m_ceiling = m_slots;
    m_floor = 0.0;
    m_deviation = 0.0;
    m_held = 0;
    m_phase = Phase::Lowered;
    m_round = {};
    m_fullRound = {};
}

std::chrono::milliseconds ConcurrencyLimit::stallAge() const
{
    if (m_floor <= 0.0)
        return std::chrono::milliseconds(0);
    const double excess = std::max(m_floor * (m_options.stallFactor - 1.0),
                                   m_deviation * m_options.stallDeviations);
    const double least = static_cast<double>(m_options.stallLeast.count());
    return std::chrono::milliseconds(static_cast<std::int64_t>(m_floor + std::max(excess, least)));
}

std::uint32_t ConcurrencyLimit::allowed() const
{
    return m_held > 0 ? std::min(m_limit, m_held) : m_limit;
}

void ConcurrencyLimit::answered(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning)
{
    const std::chrono::milliseconds late = stallAge();
    if (late.count() == 0)
        return;
    if (now - startedAt > late)
        hold(now, startedAt, stillRunning);
    else if (m_held > 0 && startedAt >= m_heldSince)
        loosen();
}

void ConcurrencyLimit::hold(SteadyTime now, SteadyTime startedAt, std::uint32_t stillRunning)
{
    // Late answers to requests that ran together are one overload.
    if (m_held == 0 || startedAt >= m_heldSince)
        m_reopen = std::max(1U, (stillRunning + 1) / 2);
    m_held = std::max(1U, std::min(allowed(), stillRunning));
    m_heldSince = now;
    m_heldRound = 0;
}

void ConcurrencyLimit::loosen()
{
    ++m_heldRound;
    if (m_held < m_reopen || m_heldRound >= m_held) {
        ++m_held;
        m_heldRound = 0;
    }
    if (m_held >= m_limit)
        m_held = 0;
}

void ConcurrencyLimit::change(SteadyTime now, std::uint32_t limit)
{
    m_limit = std::clamp(limit, 1U, m_slots);
    m_changedAt = now;
    m_round = {};
    m_fullRound = {};
}

void ConcurrencyLimit::lower(SteadyTime now, std::uint32_t limit)
{
    m_ceiling = m_limit > 1 ? m_limit - 1 : 1;
    m_ceilingUntil = now + m_options.ceilingHold;
    change(now, std::min(limit, m_ceiling));
    m_phase = Phase::Lowered;
}

std::uint32_t ConcurrencyLimit::roundSize() const
{
    const bool standing = m_phase == Phase::Standing;
    return std::max(standing ? m_options.longRound : m_options.shortRound, m_limit);
}

void ConcurrencyLimit::stalled(SteadyTime now, SteadyTime oldestStart, std::uint32_t inFlight)
{
    if (oldestStart >= m_changedAt)
        lower(now, std::min(m_limit, inFlight) / 2);
}

void ConcurrencyLimit::finished(SteadyTime now, SteadyTime startedAt, WorkOutcome outcome,
                                std::uint32_t inFlight)
{
    // A request that started before the limit changed tells nothing about the new limit.
    if (startedAt < m_changedAt)
        return;
    const std::uint32_t decreased =
            static_cast<std::uint32_t>(static_cast<double>(m_limit) * m_options.decrease);
    if (outcome != WorkOutcome::Success) {
        lower(now, std::min(decreased, inFlight > 1 ? inFlight - 1 : 1));
        return;
    }
    double latency = std::chrono::duration<double, std::milli>(now - startedAt).count();
    // A pause of the machine must not look like load to a limit that has long proved good.
    if (m_phase == Phase::Standing)
        latency = std::min(latency, m_floor * m_options.outlier + noise());
    m_round.add(latency);
    const double smoothing = m_held > 0 ? HeldDeviationSmoothing : DeviationSmoothing;
    if (m_floor > 0.0)
        m_deviation += smoothing * (std::abs(latency - m_floor) - m_deviation);
    if (inFlight >= m_limit)
        m_fullRound.add(latency);
    if (m_round.count >= roundSize())
        endRound(now);
}

void ConcurrencyLimit::endRound(SteadyTime now)
{
    const double whole = m_round.value();
    const double mean = std::max(whole, m_fullRound.value());
    const bool used = m_fullRound.count > 0;
    m_round = {};
    m_fullRound = {};
    if (m_floor <= 0.0 || whole < m_floor)
        m_floor = whole;
    const double before = m_floor;
    if (m_limit == 1)
        m_floor += (mean - m_floor) * FloorDrift;
    if (mean > before * m_options.overload + noise()) {
        // A raise that was too much is taken back; otherwise the excess tells how far to go.
        const double share = m_phase == Phase::Raised ? 1.0 : before / mean;
        lower(now, static_cast<std::uint32_t>(static_cast<double>(m_limit) * share));
        return;
    }
    if (now >= m_ceilingUntil)
        m_ceiling = m_slots;
    const bool comfortable = mean <= before * m_options.comfort + noise();
    if (!used || !comfortable || m_limit >= m_ceiling) {
        m_phase = Phase::Standing;
        return;
    }
    change(now, m_limit + 1);
    m_phase = Phase::Raised;
}

} // namespace jacinthshift
