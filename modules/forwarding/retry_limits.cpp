#include "modules/forwarding/retry_limits.h"

#include <algorithm>

namespace jacinthshift {

namespace {

// Fraction of the ratio for retries; the other half is for the calls made by repeated runs.
constexpr double RatioFraction = 0.5;
// Fraction of the slack for retries. It doubles if each repeated run calls the same service once,
// which leaves a fifth of the slack unused.
constexpr double SlackFraction = 0.4;

} // namespace

RetryBudgetOptions retryBudgetOfNode(const RetryLimits &limits, std::size_t nodeCount)
{
    const double nodeSlack =
            limits.slack * SlackFraction / static_cast<double>(std::max<std::size_t>(1, nodeCount));
    return RetryBudgetOptions{.tokensPerRequest = limits.ratio * RatioFraction,
                              .maxTokens = std::max(1.0, nodeSlack),
                              .initialTokens = nodeSlack};
}

} // namespace jacinthshift
