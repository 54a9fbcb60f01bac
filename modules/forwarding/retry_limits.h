#ifndef MODULES_FORWARDING_RETRY_LIMITS_H
#define MODULES_FORWARDING_RETRY_LIMITS_H

#include <cstddef>

#include "modules/routing/retry_budget.h"

namespace jacinthshift {

/** The operator's limits on the retries of all nodes together to one service. */
struct RetryLimits
{
    double ratio = 0.2;  ///< Retries per request.
    double slack = 25.0; ///< Further retries in one time window.
};

/**
 * Returns the retry budget of one node if the given number of nodes share the limits.
 *
 * The calls that a repeated run makes count as retries at the called service as well. Therefore
 * half of the ratio is left for them, and the token buckets of all nodes together hold less than
 * half of the slack. A bucket always has room for one token, even if the node's share is smaller,
 * as the node could not retry otherwise.
 */
RetryBudgetOptions retryBudgetOfNode(const RetryLimits &limits, std::size_t nodeCount);

} // namespace jacinthshift

#endif // MODULES_FORWARDING_RETRY_LIMITS_H
