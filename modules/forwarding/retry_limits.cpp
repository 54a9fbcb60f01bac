#include "modules/forwarding/retry_limits.h"

#include <algorithm>

namespace jacinthshift {

namespace {

constexpr double RatioPart = 0.5;
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
