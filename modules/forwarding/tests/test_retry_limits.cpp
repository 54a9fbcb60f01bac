#include <vector>

#include <catch2/catch.hpp>

#include "modules/forwarding/service_retry_budgets.h"

namespace jacinthshift {

namespace {

/** Requests and retries of all nodes in one time window in which every request fails. */
struct WindowCounts
{
    double retries = 0.0; ///< Without the calls that the repeated runs make.
    double requests = 0.0;

    WindowCounts(const RetryLimits &limits, std::size_t nodes, int requestsPerNode)
    {
        for (std::size_t node = 0; node < nodes; ++node) {
            RetryBudget budget(retryBudgetOfNode(limits, nodes));
            for (int request = 0; request < requestsPerNode; ++request) {
                budget.requestMade();
                requests += 1.0;
                while (budget.tryConsume())
                    retries += 1.0;
            }
        }
    }
};

} // namespace

TEST_CASE("failing minority everywhere: the retries of all nodes stay within the operator's limits",
          "[retries]")
{
    const RetryLimits limits{.ratio = 0.2, .slack = 200.0};
    const std::size_t nodes = GENERATE(1, 11, 80, 150);
    const int requestsPerNode = GENERATE(1, 10, 200);
    const WindowCounts window(limits, nodes, requestsPerNode);
    CAPTURE(nodes, requestsPerNode, window.retries);
    // If each repeated run calls the same service once, the service receives twice as many retries.
    REQUIRE(2.0 * window.retries <= limits.ratio * window.requests + limits.slack);
}

TEST_CASE("retries to a failing service do not use the retry budget of other services", "[retries]")
{
    const RetryLimits limits{.ratio = 0.2, .slack = 25.0};
    ServiceRetryBudgets budgets(limits);
    int retries = 0;
    for (int request = 0; request < 1'000; ++request) {
        budgets.requestMade("busy");
        if (request % 10 != 0)
            continue;
        budgets.requestMade("failing");
        while (budgets.tryConsume("failing"))
            ++retries;
    }
    // The failing service has received 100 requests.
    REQUIRE(retries <= 0.2 * 100 + 25.0);
    REQUIRE(retries >= 10);
}

TEST_CASE("failing minority: a node with few requests retries one request in ten", "[retries]")
{
    const RetryLimits limits{.ratio = 0.2, .slack = 200.0};
    RetryBudget budget(retryBudgetOfNode(limits, 1'000));
    for (int request = 0; request < 11; ++request)
        budget.requestMade();
    REQUIRE(budget.tryConsume());
    REQUIRE_FALSE(budget.tryConsume());
}

} // namespace jacinthshift
