#include "modules/forwarding/retry_limits.h"

#include <algorithm>

namespace jacinthshift {

namespace {

// The other half is for the calls that repeated runs make.
constexpr double RatioPart = 0.5;
// A repeated run that calls the same service once doubles its part, which leaves a fifth spare.
constexpr double SlackPart = 0.4;

} // namespace

RetryBudgetOptions retryBudgetOfNode(const RetryLimits &limits, std::size_t nodes)
{
    const double share =
            limits.slack * SlackPart / static_cast<double>(std::max<std::size_t>(1, nodes));
    return RetryBudgetOptions{
            .share = limits.ratio * RatioPart, .reserve = std::max(1.0, share), .initial = share};
}

} // namespace jacinthshift
