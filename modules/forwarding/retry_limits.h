#ifndef MODULES_FORWARDING_RETRY_LIMITS_H
#define MODULES_FORWARDING_RETRY_LIMITS_H

#include <cstddef>

#include "modules/routing/retry_budget.h"

namespace jacinthshift {

/** Who made a request. */
enum class RequestOrigin {
    Caller,  ///< It may come back by itself after a failure.
    Backend, ///< A call of a backend server for a request that it runs; it does not come back.
};

/** What the operator allows all nodes together in retries to one service. */
struct RetryLimits
{
    double ratio = 0.2;  ///< Retries per request.
    double slack = 25.0; ///< Retries beyond those, in one window of time.
};

/**
 * Returns the part of the limits that one of the given number of nodes may use for one origin.
 *
 * The calls that a repeated run makes count as retries at the called service as well. With the
 * parts of both origins adding up to the ratio, callers' requests and the calls that they cause
 * stay within it together.
 */
RetryBudgetOptions retryBudgetOfNode(const RetryLimits &limits, std::size_t nodes,
                                     RequestOrigin origin);

} // namespace jacinthshift

#endif // MODULES_FORWARDING_RETRY_LIMITS_H
