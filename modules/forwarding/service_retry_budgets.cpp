#include "modules/forwarding/service_retry_budgets.h"

namespace jacinthshift {

RetryBudget &ServiceRetryBudgets::budget(const std::string &service)
{
    const auto found = m_budgets.find(service);
    if (found != m_budgets.end())
        return found->second;
    return m_budgets.emplace(service, RetryBudget(retryBudgetOfNode(m_limits, m_nodeCount)))
            .first->second;
}

void ServiceRetryBudgets::setNodeCount(std::size_t nodeCount)
{
    if (nodeCount == m_nodeCount)
        return;
    m_nodeCount = nodeCount;
    for (auto &[service, budget] : m_budgets)
        budget.setOptions(retryBudgetOfNode(m_limits, nodeCount));
}

} // namespace jacinthshift
