#ifndef TESTS_SOAK_PROMISES_H
#define TESTS_SOAK_PROMISES_H

#include <string>
#include <vector>

#include "tests/soak/ledger.h"

namespace jacinthshift {

/** The bounds that the users state for their deployments. */
struct PromiseBounds
{
    std::chrono::milliseconds contact{3'000}; ///< So long a node was calm to be held to times.
    std::chrono::milliseconds drain{2'000};
    std::chrono::milliseconds evacuate{5'000};
    std::chrono::milliseconds configApply{2'000};
    std::chrono::milliseconds rollbackSlack{250};
    std::chrono::milliseconds lost{200};
    std::chrono::milliseconds deadlineSlack{500};
    std::chrono::milliseconds leaveSlack{500}; ///< For work whose caller has left.
    std::chrono::milliseconds budgetWindow{10'000};
    double retryRatio = 0.2;
    std::size_t retrySlack = 60;
    double coldPerSecond = 20.0;
    double coldFactor = 1.5;
    std::size_t coldSlack = 5;
};

/** Checks all promises on what a soak saw; returns a line for each that was broken. */
std::vector<std::string> brokenPromises(const Ledger &ledger, const PromiseBounds &bounds);

} // namespace jacinthshift

#endif // TESTS_SOAK_PROMISES_H
