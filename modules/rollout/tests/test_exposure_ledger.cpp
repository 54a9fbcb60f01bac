#include <catch2/catch.hpp>

#include "core/random.h"
#include "modules/rollout/exposure_ledger.h"

namespace jacinthshift {

namespace {

/** Sends requests to the new version whenever the ledger allows it. Returns how many. */
std::uint64_t sendAll(ExposureLedger &ledger, std::uint64_t answered)
{
    std::uint64_t sent = 0;
    for (std::uint64_t i = 0; i < answered; ++i) {
        ledger.requestAnswered();
        if (!ledger.allowsRequest())
            continue;
        ledger.charge();
        ++sent;
    }
    return sent;
}

} // namespace

// Guards against a share that grows with the number of nodes, or of their restarts.
TEST_CASE("exposure ledgers of many nodes with few requests keep to the share together")
{
    constexpr std::uint64_t Nodes = 10'000;
    constexpr std::uint64_t RequestsPerNode = 7;
    Random random(1);
    std::uint64_t sent = 0;
    for (std::uint64_t node = 0; node < Nodes; ++node) {
        ExposureLedger ledger(0.1, random.uniform());
        sent += sendAll(ledger, RequestsPerNode);
    }
    CHECK(sent == Approx(0.1 * Nodes * RequestsPerNode).epsilon(0.03));
}

TEST_CASE("an exposure ledger gives back what reached no backend server, and nothing else")
{
    ExposureLedger ledger(0.1, 0.95);
    ledger.requestAnswered();
    REQUIRE(ledger.allowsRequest());
    ledger.charge();
    CHECK_FALSE(ledger.allowsRequest());
    ledger.refund();
    CHECK(ledger.allowsRequest());
}

} // namespace jacinthshift
