#include "tests/scenario/invariants.h"

#include "core/text.h"

namespace jacinthshift {

namespace {

absl::Status checkRequest(const SentRequest &sent, int runs)
{
    const LoadResult &result = sent.result;
    // A repeat with the same idempotency key may be reported as not run although an earlier
    // attempt has run.
    if (result.verdict == Verdict::NotRun && runs > 0 && !sent.keyed)
        return absl::FailedPreconditionError(result.id + " was reported as not run but ran");
    if ((sent.keyed || !sent.idempotent) && runs > 1)
        return absl::FailedPreconditionError(joinText(result.id, " ran ", runs, " times"));
    if (result.verdict == Verdict::Done && result.status == 200 && !result.matchesRequest)
        return absl::FailedPreconditionError(result.id
                                             + " received a response without its Request-Id");
    return absl::OkStatus();
}

} // namespace

absl::Status checkSentRequests(const std::vector<SentRequest> &sent, const RunCounts &runs)
{
    for (const SentRequest &request : sent) {
        const auto found = runs.find(request.result.id);
        const absl::Status status = checkRequest(request, found == runs.end() ? 0 : found->second);
        if (!status.ok())
            return status;
    }
    return absl::OkStatus();
}

} // namespace jacinthshift
