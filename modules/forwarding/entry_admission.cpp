#include "modules/forwarding/entry_admission.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace jacinthshift {

namespace {

// Callers honour at most this part of the time that they have left.
constexpr double HonouredDivisor = 3.0;
// A time that is cut to the honoured part is still spread over this fraction of it.
constexpr double SpreadOfLongest = 0.4;
// Room may be there a little sooner than expected, more often later.
constexpr double EarliestReturn = 0.8;
constexpr double ReturnSpread = 0.8;

std::chrono::milliseconds rounded(double milliseconds)
{
    return std::chrono::milliseconds(std::llround(milliseconds));
}

} // namespace

std::optional<std::chrono::milliseconds>
EntryAdmission::refusal(const std::vector<OwnerCandidate> &candidates, const EntryRequest &request)
{
    if (candidates.empty())
        return std::nullopt;
    const auto timeLeft = static_cast<double>(request.timeLeft.count());
    double shortestWait = std::numeric_limits<double>::max();
    for (const OwnerCandidate &candidate : candidates) {
        if (!hasCosts(candidate.backend) || candidate.backend.startsPerSecond > 0)
            return std::nullopt;
        const OwnerEstimate estimate =
                estimateOwner(OwnerFigures{.backend = candidate.backend,
                                           .age = candidate.statusAge,
                                           .outstanding = candidate.outstanding,
                                           .routeFactor = request.routeFactor});
        // Only what is certainly still in the queue counts against a request.
        const double wait = request.overtakesOthers ? 0.0 : estimate.wait * estimate.freshness;
        if (wait + estimate.run * m_options.minRunFraction <= timeLeft)
            return std::nullopt;
        shortestWait = std::min(shortestWait, wait);
    }
    if (m_random.uniform() < m_options.probeFraction)
        return std::nullopt;
    return std::clamp(rounded(shortestWait), m_options.minRetryAfter, m_options.maxRetryAfter);
}

std::chrono::milliseconds EntryAdmission::retryAfter(std::chrono::milliseconds untilRoom,
                                                     std::chrono::milliseconds timeLeft)
{
    const auto expected = static_cast<double>(
            std::clamp(untilRoom, m_options.minRetryAfter, m_options.maxRetryAfter).count());
    const double spread = expected * (EarliestReturn + ReturnSpread * m_random.uniform());
    const auto longest = std::floor(static_cast<double>(timeLeft.count()) / HonouredDivisor);
    if (longest <= 0.0 || spread <= longest)
        return std::max(std::chrono::milliseconds(1), rounded(spread));
    const double cut = longest * (1.0 - SpreadOfLongest * m_random.uniform());
    return std::max(std::chrono::milliseconds(1), std::chrono::milliseconds(std::int64_t(cut)));
}

} // namespace jacinthshift
