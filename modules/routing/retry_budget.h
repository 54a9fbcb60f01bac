#ifndef MODULES_ROUTING_RETRY_BUDGET_H
#define MODULES_ROUTING_RETRY_BUDGET_H

#include <algorithm>

namespace jacinthshift {

/** Parameters of a token bucket in which each retry costs one token. */
struct RetryBudgetOptions
{
    double tokensPerRequest = 0.1; ///< Tokens added by each request.
    double maxTokens = 10.0;       ///< Size of the bucket, and so of a burst of retries.
    double initialTokens = 10.0;   ///< Tokens before the first request.
};

/**
 * Token bucket that limits retries to a fraction of the requests, so that retries cannot multiply
 * the load during a fault.
 */
class RetryBudget
{
    RetryBudgetOptions m_options;
    double m_tokens;

public:
    explicit RetryBudget(const RetryBudgetOptions &options)
        : m_options(options), m_tokens(options.initialTokens)
    {
    }

    void setOptions(const RetryBudgetOptions &options) { m_options = options; }

    /** Adds the tokens of one request. */
    void requestMade()
    {
        m_tokens = std::min(m_options.maxTokens, m_tokens + m_options.tokensPerRequest);
    }

    bool canConsume() const { return m_tokens >= 1.0; }
    /** Consumes the token for one retry. Returns false if the budget is used up. */
    bool tryConsume()
    {
        if (!canConsume())
            return false;
        m_tokens -= 1.0;
        return true;
    }
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_RETRY_BUDGET_H
