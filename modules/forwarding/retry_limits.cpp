#include "modules/forwarding/retry_limits.h"

#include <algorithm>

namespace jacinthshift {

namespace {

/** The parts of the operator's limits for requests of one origin. */
struct Parts
{
    double ratio;
    double slack;
};

// A call that fails wastes the run that made it and is not repeated by its caller. The slack of
// callers' requests is spent again at each service that a repeated run calls, so it is smaller.
constexpr Parts BackendParts{.ratio = 0.7, .slack = 0.25};
constexpr Parts CallerParts{.ratio = 0.3, .slack = 0.15};

} // namespace

RetryBudgetOptions retryBudgetOfNode(const RetryLimits &limits, std::size_t nodes,
                                     RequestOrigin origin)
{
    const Parts &parts = origin == RequestOrigin::Backend ? BackendParts : CallerParts;
    const double share =
            limits.slack * parts.slack / static_cast<double>(std::max<std::size_t>(1, nodes));
    return RetryBudgetOptions{
            .share = limits.ratio * parts.ratio, .reserve = std::max(1.0, share), .initial = share};
}

} // namespace jacinthshift
