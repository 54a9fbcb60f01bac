#ifndef MODULES_ROUTING_RETRY_BUDGET_H
#define MODULES_ROUTING_RETRY_BUDGET_H

#include <algorithm>

namespace jacinthshift {

struct RetryBudgetOptions
{
    double share = 0.1;    ///< Retries per request, on average.
    double reserve = 10.0; ///< Retries that may come at once after a quiet time.
    double initial = 10.0; ///< Retries that may come before any request was made.
};

/** Allows retries as a share of the traffic, so that they cannot multiply a fault's load. */
class RetryBudget
{
    RetryBudgetOptions m_options;
    double m_tokens;

public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : m_options(options), m_tokens(options.initial)
    {
    }

    void setOptions(const RetryBudgetOptions &options) { m_options = options; }

    void requestMade() { m_tokens = std::min(m_options.reserve, m_tokens + m_options.share); }

    /** Returns whether one more retry may be made, and takes it from the budget. */
    bool take()
    {
        if (m_tokens < 1.0)
            return false;
        m_tokens -= 1.0;
        return true;
    }
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_RETRY_BUDGET_H
