#ifndef MODULES_FORWARDING_RETRY_LIMITS_H
#define MODULES_FORWARDING_RETRY_LIMITS_H

#include <cstddef>

#include "modules/routing/retry_budget.h"

namespace jacinthshift {

/** What the operator allows all nodes together in retries to one service. */
struct RetryLimits
{
    double ratio = 0.2;  ///< Retries per request.
    double slack = 25.0; ///< Retries beyond those, in one window of time.
};

/**
 * Returns the part of the limits that one of the given number of nodes may use.
 *
 * The calls that a repeated run makes count as retries at the called service as well, so half of
 * the ratio is left for them; the reserves of all nodes stay below half of the slack for the same
 * reason.
 */
RetryBudgetOptions retryBudgetOfNode(const RetryLimits &limits, std::size_t nodes);

} // namespace jacinthshift

#endif // MODULES_FORWARDING_RETRY_LIMITS_H
