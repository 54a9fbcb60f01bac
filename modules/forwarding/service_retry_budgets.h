#ifndef MODULES_FORWARDING_SERVICE_RETRY_BUDGETS_H
#define MODULES_FORWARDING_SERVICE_RETRY_BUDGETS_H

#include <cstddef>
#include <map>
#include <string>

#include "modules/forwarding/retry_limits.h"

namespace jacinthshift {

/** This node's part of the operator's limits of retries, which hold for each service by itself. */
class ServiceRetryBudgets
{
    RetryLimits m_limits;
    std::size_t m_nodes = 1;
    std::map<std::string, RetryBudget> m_budgets;

    RetryBudget &budget(const std::string &service);

public:
    explicit ServiceRetryBudgets(const RetryLimits &limits) : m_limits(limits) {}

    /** Says how many nodes share the limits. */
    void setNodeCount(std::size_t nodes);
    void requestMade(const std::string &service) { budget(service).requestMade(); }
    /** Returns whether one more retry to a service may be made, and takes it from its budget. */
    bool take(const std::string &service) { return budget(service).take(); }
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_SERVICE_RETRY_BUDGETS_H
