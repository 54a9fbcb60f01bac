#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "modules/forwarding/owner_selector.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** Returns an owner with 18 slots that has reported costs. Each open request has half a run left.
 */
OwnerCandidate candidate(const std::string &node, bool sameDomain, std::uint32_t open,
                         milliseconds runTime = milliseconds(250))
{
    constexpr std::uint32_t Slots = 18;
    return OwnerCandidate{.node = node,
                          .sameDomain = sameDomain,
                          .backend = {.availability = BackendAvailability::Ready,
                                      .concurrencyLimit = Slots,
                                      .running = std::min(open, Slots),
                                      .queued = open - std::min(open, Slots),
                                      .serviceTime = runTime,
                                      .remainingWork = runTime * open / 2,
                                      .normalRunTime = runTime}};
}

std::map<std::string, int> countChoices(const std::vector<OwnerCandidate> &candidates,
                                        milliseconds target = milliseconds(800))
{
    OwnerSelector selector(OwnerSelectorOptions{}, 7);
    std::map<std::string, int> counts;
    for (int i = 0; i < 1'000; ++i)
        ++counts[candidates[*selector.choose(candidates, {.targetTimeLeft = target})].node];
    return counts;
}

} // namespace

// Load pattern: backend servers of one service differ in speed by up to three times.
TEST_CASE(
        "different speeds: faster backend servers get more, slow ones that are in time still some")
{
    std::map<std::string, int> counts = countChoices(
            {candidate("fast", true, 4, milliseconds(170)), candidate("usual", true, 4),
             candidate("slow", true, 4, milliseconds(500))});
    CHECK(counts["fast"] > counts["usual"]);
    CHECK(counts["usual"] > 2 * counts["slow"]);
    CHECK(counts["slow"] > 0);
}

// Load pattern: equal counts of running requests, but those of one server are long runs.
TEST_CASE("full servers: one with long runs gets fewer requests, and none if they would be late")
{
    OwnerCandidate longRuns = candidate("long", true, 18);
    longRuns.backend.remainingWork = milliseconds(80'000);
    CHECK(countChoices({longRuns, candidate("short", true, 18)})["long"] <= 300);
    longRuns.backend.queued = 3;
    CHECK(countChoices({longRuns, candidate("short", true, 18)})["long"] == 0);
}

// Load pattern: a machine shared with others becomes three times slower for a moment.
TEST_CASE("changing pace: a server is avoided while its pace is slow, and only as long as that is "
          "new")
{
    OwnerCandidate slow = candidate("slow", true, 4);
    slow.backend.pacePercent = 300;
    const int whenNew = countChoices({slow, candidate("usual", true, 4)})["slow"];
    slow.statusAge = milliseconds(2'000);
    const int whenOld = countChoices({slow, candidate("usual", true, 4)})["slow"];
    CHECK(whenNew <= 10);
    CHECK(whenOld >= 400);
}

// Load pattern: a server was full some seconds ago; nothing newer is known.
TEST_CASE("old figures: an owner that was full long ago is expected to be like the others")
{
    OwnerCandidate full = candidate("full", true, 60);
    const int whenNew = countChoices({full, candidate("free", true, 4)}, milliseconds(500))["full"];
    full.statusAge = milliseconds(5'000);
    const int whenOld =
            countChoices({full, candidate("free", true, 40)}, milliseconds(1'000))["full"];
    CHECK(whenNew == 0);
    CHECK(whenOld > 0);
}

// Load pattern: 300 senders choose for a second by one and the same status of 40 owners.
TEST_CASE("equally old figures: 300 selectors give no owner more than it can run")
{
    constexpr std::size_t Owners = 40;
    constexpr int Senders = 300;
    constexpr int RequestsPerSender = 5;
    std::vector<OwnerCandidate> candidates;
    for (std::size_t i = 0; i < Owners; ++i) {
        const milliseconds runTime(170 + 40 * (i % 9));
        candidates.push_back(candidate(std::to_string(i), i % 4 == 0,
                                       static_cast<std::uint32_t>(i % 12), runTime));
        candidates.back().statusAge = milliseconds(500);
    }
    std::vector<int> counts(Owners, 0);
    for (int sender = 0; sender < Senders; ++sender) {
        // Each quarter of the senders is in the failure domain of a quarter of the owners.
        for (std::size_t i = 0; i < Owners; ++i)
            candidates[i].sameDomain = i % 4 == static_cast<std::size_t>(sender % 4);
        OwnerSelector selector(OwnerSelectorOptions{}, static_cast<std::uint64_t>(sender));
        for (int request = 0; request < RequestsPerSender; ++request)
            ++counts[*selector.choose(candidates, {.targetTimeLeft = milliseconds(800)})];
    }
    for (std::size_t i = 0; i < Owners; ++i) {
        INFO("owner " << i);
        const double perSecond = 18'000.0 / static_cast<double>(170 + 40 * (i % 9));
        CHECK(counts[i] <= perSecond);
    }
}

// Load pattern: demand of domains varies with a period of 15 s, out of phase.
TEST_CASE("uneven demand: a busier domain lends out some requests before it is full, never most")
{
    const auto lentAt = [](std::uint32_t ownOpen, std::uint32_t otherOpen) {
        return countChoices({candidate("near", true, ownOpen, milliseconds(200)),
                             candidate("far", false, otherOpen, milliseconds(200))})["far"];
    };
    CHECK(lentAt(8, 0) == 0);
    CHECK(lentAt(16, 16) == 0);
    CHECK(lentAt(14, 4) > 50);
    CHECK(lentAt(17, 4) > lentAt(14, 4));
    CHECK(lentAt(18, 0) <= 500);
}

// Load pattern: two domains with demands of 1.2 and 0.4 of their slots, by figures a second old.
TEST_CASE("uneven demand: lending by old figures settles and does not swing between two domains")
{
    constexpr int Draws = 5'000;
    double open[2] = {18.0, 4.0};
    const double demand[2] = {18.0 * 1.2, 18.0 * 0.4};
    OwnerSelector selector(OwnerSelectorOptions{}, 5);
    double lowest = 1e9;
    double highest = 0.0;
    for (int second = 0; second < 40; ++second) {
        double next[2] = {0.0, 0.0};
        for (int domain = 0; domain < 2; ++domain) {
            std::vector<OwnerCandidate> owners = {
                    candidate("a", domain == 0, static_cast<std::uint32_t>(open[0]),
                              milliseconds(200)),
                    candidate("b", domain == 1, static_cast<std::uint32_t>(open[1]),
                              milliseconds(200))};
            for (int i = 0; i < Draws; ++i)
                next[*selector.choose(owners, {.targetTimeLeft = milliseconds(800)})] +=
                        demand[domain] / Draws;
        }
        for (int domain = 0; domain < 2; ++domain)
            open[domain] = 0.5 * open[domain] + 0.5 * next[domain];
        if (second < 10)
            continue;
        lowest = std::min(lowest, open[0]);
        highest = std::max(highest, open[0]);
    }
    CHECK(highest <= 18.0);
    CHECK(highest - lowest <= 4.0);
}

// Guards against changed decisions where some owners report no costs.
TEST_CASE("without costs of all compared owners the choice is made as before")
{
    OwnerCandidate unknown = candidate("unknown", true, 2);
    unknown.backend.normalRunTime = milliseconds(0);
    const std::vector<OwnerCandidate> mixed = {unknown, candidate("known", true, 10)};
    std::vector<OwnerCandidate> none = mixed;
    none[1].backend.normalRunTime = milliseconds(0);
    none[1].backend.remainingWork = milliseconds(0);
    CHECK(countChoices(mixed) == countChoices(none));
}

} // namespace jacinthshift
