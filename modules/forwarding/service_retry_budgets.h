#ifndef MODULES_FORWARDING_SERVICE_RETRY_BUDGETS_H
#define MODULES_FORWARDING_SERVICE_RETRY_BUDGETS_H

#include <cstddef>
#include <map>
#include <string>

#include "modules/forwarding/retry_limits.h"

namespace jacinthshift {

/** This node's retry budgets. The operator's retry limits apply to each service separately. */
class ServiceRetryBudgets
{
    RetryLimits m_limits;
    std::size_t m_nodeCount = 1;
    std::map<std::string, RetryBudget> m_budgets;

    RetryBudget &budget(const std::string &service);

public:
    explicit ServiceRetryBudgets(const RetryLimits &limits) : m_limits(limits) {}

    /** Sets the number of nodes that share the limits. */
    void setNodeCount(std::size_t nodeCount);
    void requestMade(const std::string &service) { budget(service).requestMade(); }
    bool canConsume(const std::string &service) { return budget(service).canConsume(); }
    /** Consumes the token for one retry to a service. Returns false if its budget is used up. */
    bool tryConsume(const std::string &service) { return budget(service).tryConsume(); }
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_SERVICE_RETRY_BUDGETS_H
