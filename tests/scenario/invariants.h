#ifndef TESTS_SCENARIO_INVARIANTS_H
#define TESTS_SCENARIO_INVARIANTS_H

#include <map>
#include <string>
#include <vector>

#include <absl/status/status.h>

#include "tests/support/load_generator.h"

namespace jacinthshift {

/** A request that a scenario sent, and its result. */
struct SentRequest
{
    LoadResult result;
    bool idempotent = true;
    bool keyed = false; ///< Sent several times with one idempotency key.
};

/** How often backend servers started each request, by request id. */
using RunCounts = std::map<std::string, int>;

/**
 * Checks the invariants that hold for every request, whatever fails: a request reported as not run
 * has not run (unless it has an idempotency key); one that is not idempotent or has a key ran at
 * most once; and a response with status 200 carries the id of its request. The error names the
 * first request that violates one.
 */
absl::Status checkSentRequests(const std::vector<SentRequest> &sent, const RunCounts &runs);

} // namespace jacinthshift

#endif // TESTS_SCENARIO_INVARIANTS_H
