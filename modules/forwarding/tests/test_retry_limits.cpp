#include <catch2/catch.hpp>

#include "modules/forwarding/service_retry_budgets.h"

namespace jacinthshift {

namespace {

/** Makes requests on one node, all of which fail, and returns the retries made. */
double retriesOf(ServiceRetryBudgets &budgets, const std::string &service, RequestOrigin origin,
                 int requests)
{
    double retries = 0.0;
    for (int request = 0; request < requests; ++request) {
        budgets.requestMade(service, origin);
        while (budgets.take(service, origin))
            retries += 1.0;
    }
    return retries;
}

} // namespace

TEST_CASE("Failing minority everywhere: the retries of all nodes stay within the operator's limits",
          "[retries]")
{
    const RetryLimits limits{.ratio = 0.2, .slack = 200.0};
    const std::size_t nodes = GENERATE(1, 11, 80, 150);
    const int requestsPerNode = GENERATE(1, 10, 200);
    // Each run of a caller's request makes some calls to the second service.
    const int callsPerRun = GENERATE(0, 1, 3);
    double callers = 0.0;
    double calls = 0.0;
    for (std::size_t node = 0; node < nodes; ++node) {
        ServiceRetryBudgets budgets(limits);
        budgets.setNodeCount(nodes);
        callers += retriesOf(budgets, "front", RequestOrigin::Caller, requestsPerNode);
        calls += retriesOf(budgets, "back", RequestOrigin::Backend, requestsPerNode * callsPerRun);
        calls += retriesOf(budgets, "back", RequestOrigin::Caller, requestsPerNode);
    }
    const double requests = static_cast<double>(nodes) * requestsPerNode;
    CAPTURE(nodes, requestsPerNode, callsPerRun, callers, calls);
    CHECK(callers <= limits.ratio * requests + limits.slack);
    const double atBack = calls + callers * callsPerRun;
    CHECK(atBack <= limits.ratio * requests * (callsPerRun + 1) + limits.slack);
}

TEST_CASE("One service fails: its retries do not draw on the requests for others", "[retries]")
{
    const RetryLimits limits{.ratio = 0.2, .slack = 25.0};
    ServiceRetryBudgets budgets(limits);
    double retries = 0.0;
    for (int request = 0; request < 1'000; ++request) {
        budgets.requestMade("busy", RequestOrigin::Caller);
        if (request % 10 == 0)
            retries += retriesOf(budgets, "failing", RequestOrigin::Caller, 1);
    }
    // 100 requests of the failing service.
    CHECK(retries <= 0.2 * 100 + 25.0);
    CHECK(retries >= 6);
}

TEST_CASE("Shedding majority: calls of backend servers are retried more often than callers' "
          "requests",
          "[retries]")
{
    ServiceRetryBudgets budgets(RetryLimits{.ratio = 0.2, .slack = 25.0});
    budgets.setNodeCount(50);
    const double calls = retriesOf(budgets, "back", RequestOrigin::Backend, 1'000);
    const double requests = retriesOf(budgets, "back", RequestOrigin::Caller, 1'000);
    CHECK(calls > 2.0 * requests);
    CHECK(requests > 50.0);
}

} // namespace jacinthshift
