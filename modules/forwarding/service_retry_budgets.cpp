#include "modules/forwarding/service_retry_budgets.h"

namespace jacinthshift {

RetryBudget &ServiceRetryBudgets::budget(const std::string &service, RequestOrigin origin)
{
    const std::pair key(service, origin);
    const auto found = m_budgets.find(key);
    if (found != m_budgets.end())
        return found->second;
    return m_budgets.emplace(key, RetryBudget(retryBudgetOfNode(m_limits, m_nodes, origin)))
            .first->second;
}

void ServiceRetryBudgets::setNodeCount(std::size_t nodes)
{
    if (nodes == m_nodes)
        return;
    m_nodes = nodes;
    for (auto &[key, budget] : m_budgets)
        budget.setOptions(retryBudgetOfNode(m_limits, nodes, key.second));
}

} // namespace jacinthshift
