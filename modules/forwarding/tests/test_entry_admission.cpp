#include <catch2/catch.hpp>

#include <algorithm>

#include "modules/forwarding/entry_admission.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

OwnerCandidate owner(std::uint32_t queued, milliseconds runTime = milliseconds(250))
{
    return OwnerCandidate{.node = "n",
                          .sameDomain = true,
                          .backend = {.availability = BackendAvailability::Ready,
                                      .concurrencyLimit = 18,
                                      .running = 18,
                                      .queued = queued,
                                      .remainingWork = runTime * (9 + queued),
                                      .normalRunTime = runTime}};
}

int refusedOf1000(const std::vector<OwnerCandidate> &owners, const EntryRequest &request)
{
    EntryAdmission admission(EntryAdmissionOptions{}, 3);
    int refused = 0;
    for (int i = 0; i < 1'000; ++i)
        refused += admission.refusal(owners, request) ? 1 : 0;
    return refused;
}

} // namespace

// Load pattern: in a surge all queues are so long that a request would be aborted at its deadline.
TEST_CASE("surge: what no owner can end in time is refused at once, except for a few probes")
{
    const int refused = refusedOf1000({owner(72), owner(60)}, {.timeLeft = milliseconds(600)});
    CHECK(refused >= 900);
    CHECK(refused < 1'000);
    CHECK(refusedOf1000({owner(72), owner(60)}, {.timeLeft = milliseconds(2'000)}) == 0);
    CHECK(refusedOf1000({owner(72), owner(0)}, {.timeLeft = milliseconds(600)}) == 0);
}

// Load pattern: a surge of less urgent requests fills all queues.
TEST_CASE("surge: a request of the most urgent class is not refused for queues that it overtakes")
{
    CHECK(refusedOf1000({owner(72)}, {.timeLeft = milliseconds(600), .overtakesOthers = true})
          == 0);
}

// Guards against refusals that rest on figures of the past or on none.
TEST_CASE("old figures, cold owners and owners without costs are no reason for a refusal")
{
    OwnerCandidate old = owner(72);
    old.statusAge = milliseconds(3'000);
    CHECK(refusedOf1000({old}, {.timeLeft = milliseconds(600)}) == 0);
    OwnerCandidate cold = owner(72);
    cold.backend.startsPerSecond = 10;
    CHECK(refusedOf1000({owner(72), cold}, {.timeLeft = milliseconds(600)}) == 0);
    OwnerCandidate unknown = owner(72);
    unknown.backend.normalRunTime = milliseconds(0);
    CHECK(refusedOf1000({owner(72), unknown}, {.timeLeft = milliseconds(600)}) == 0);
    CHECK(refusedOf1000({}, {.timeLeft = milliseconds(600)}) == 0);
}

// Load pattern: hundreds of callers are refused in the same moment.
TEST_CASE("refused callers come back spread over time and within a third of what they have left")
{
    EntryAdmission admission(EntryAdmissionOptions{}, 3);
    for (const milliseconds left : {milliseconds(3'000), milliseconds(300)}) {
        milliseconds first(10'000);
        milliseconds last(0);
        for (int i = 0; i < 500; ++i) {
            const milliseconds after = admission.retryAfter(milliseconds(400), left);
            first = std::min(first, after);
            last = std::max(last, after);
        }
        CHECK(last <= left / 3);
        CHECK(first >= std::min(milliseconds(320), left / 6));
        CHECK(last - first >= std::min(milliseconds(250), left / 10));
    }
}

} // namespace jacinthshift
