#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include "modules/forwarding/owner_selector.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

OwnerCandidate candidate(const std::string &node, bool sameDomain, std::uint32_t running,
                         milliseconds serviceTime = milliseconds(100))
{
    return OwnerCandidate{.node = node,
                          .sameDomain = sameDomain,
                          .backend = {.availability = BackendAvailability::Ready,
                                      .concurrencyLimit = 10,
                                      .running = running,
                                      .serviceTime = serviceTime}};
}

std::map<std::string, int> countChoices(const std::vector<OwnerCandidate> &candidates)
{
    OwnerSelector selector(OwnerSelectorOptions{}, 7);
    std::map<std::string, int> counts;
    for (int i = 0; i < 1'000; ++i) {
        const std::optional<std::size_t> chosen =
                selector.choose(candidates, {.targetTimeLeft = milliseconds(500)});
        REQUIRE(chosen.has_value());
        ++counts[candidates[*chosen].node];
    }
    return counts;
}

} // namespace

TEST_CASE("an owner in the own failure domain is chosen while it answers in time")
{
    CHECK(countChoices({candidate("near", true, 10), candidate("far", false, 0)})["near"] == 1'000);
}

TEST_CASE("a slower owner in the own failure domain is preferred while it answers in time")
{
    CHECK(countChoices({candidate("near", true, 3, milliseconds(300)),
                        candidate("far", false, 0, milliseconds(40))})["near"]
          == 1'000);
    CHECK(countChoices({candidate("near", true, 3, milliseconds(700)),
                        candidate("far", false, 0, milliseconds(40))})["far"]
          == 1'000);
}

TEST_CASE("surge in one failure domain: an owner there that just answers in time is chosen")
{
    CHECK(countChoices({candidate("near", true, 3, milliseconds(380)),
                        candidate("far", false, 0, milliseconds(40))})["near"]
          == 1'000);
}

TEST_CASE("surge in one failure domain: requests that would be late there go to another domain")
{
    OwnerCandidate near = candidate("near", true, 10);
    near.backend.queued = 40;
    CHECK(countChoices({near, candidate("far", false, 2)})["far"] == 1'000);
}

TEST_CASE("slow minority: the slow backend server gets no requests while others have capacity")
{
    CHECK(countChoices({candidate("slow", true, 0, milliseconds(1'000)),
                        candidate("good", true, 8)})["slow"]
          == 0);
}

TEST_CASE("failing minority with good checks: the failing backend server is avoided")
{
    OwnerCandidate failing = candidate("failing", true, 0);
    failing.backend.failuresPerThousand = 450;
    CHECK(countChoices({failing, candidate("good", true, 6)})["failing"] == 0);
}

TEST_CASE("shedding majority: owners in another failure domain replace ones that reject half")
{
    const auto shedding = [](const std::string &node) {
        OwnerCandidate result = candidate(node, true, 2);
        result.backend.failuresPerThousand = 500;
        return result;
    };
    const std::vector<OwnerCandidate> owners = {shedding("near-1"), shedding("near-2"),
                                                shedding("near-3"), candidate("far", false, 4)};
    CHECK(countChoices(owners)["far"] == 1'000);
}

TEST_CASE("failing minority: occasional failures do not move requests to another failure domain")
{
    OwnerCandidate near = candidate("near", true, 2);
    near.backend.failuresPerThousand = 80;
    CHECK(countChoices({near, candidate("far", false, 0)})["near"] == 1'000);
}

TEST_CASE("this node's outstanding calls that an owner has not reported yet count as its load")
{
    OwnerCandidate busy = candidate("busy", true, 0);
    busy.outstanding = 30;
    CHECK(countChoices({busy, candidate("free", true, 5)})["busy"] == 0);
}

TEST_CASE("cold return: a cold backend server gets a few requests while warm ones have capacity")
{
    OwnerCandidate cold = candidate("cold", true, 0);
    cold.backend.startsPerSecond = 30;
    const std::map<std::string, int> counts =
            countChoices({cold, candidate("warm", true, 3), candidate("warm2", true, 3)});
    CHECK(counts.at("cold") > 50);
    CHECK(counts.at("cold") < 300);
}

TEST_CASE("a backend server that takes few requests a second is left to others with room")
{
    OwnerCandidate limited = candidate("limited", true, 0);
    limited.backend.requestRateLimit = 2.0;
    CHECK(countChoices({limited, candidate("free", true, 5)})["limited"] == 0);
    SECTION("one that takes many is used")
    {
        limited.backend.requestRateLimit = 50.0;
        CHECK(countChoices({limited, candidate("full", true, 20)})["limited"] == 1'000);
    }
}

TEST_CASE("choose returns nothing without candidates")
{
    OwnerSelector selector(OwnerSelectorOptions{}, 7);
    CHECK_FALSE(selector.choose({}, {.targetTimeLeft = milliseconds(500)}).has_value());
}

// Guards against a herd: a hundred senders that know the same status send to the owner that looks
// best until its next status, which comes a second later.
TEST_CASE("large mesh: many senders with status of the same age spread over the owners")
{
    constexpr std::size_t Owners = 30;
    constexpr int Senders = 100;
    constexpr int RequestsPerSender = 8;
    std::vector<OwnerCandidate> candidates;
    for (std::size_t i = 0; i < Owners; ++i) {
        candidates.push_back(candidate(std::to_string(i), true, static_cast<std::uint32_t>(i % 6),
                                       milliseconds(100 + 10 * (i % 7))));
    }
    std::vector<int> counts(Owners, 0);
    for (int sender = 0; sender < Senders; ++sender) {
        OwnerSelector selector(OwnerSelectorOptions{}, static_cast<std::uint64_t>(sender));
        for (int request = 0; request < RequestsPerSender; ++request)
            ++counts[*selector.choose(candidates, {.targetTimeLeft = milliseconds(800)})];
    }
    // Ten slots and 100 ms a request: an owner serves 100 requests before the next status.
    CHECK(*std::max_element(counts.begin(), counts.end()) <= 100);
}

TEST_CASE("slow minority of many owners: most requests go to the others")
{
    std::vector<OwnerCandidate> candidates;
    for (int i = 0; i < 30; ++i) {
        const bool slow = i < 5;
        candidates.push_back(
                candidate(slow ? "slow" : "good", true, 3, milliseconds(slow ? 700 : 100)));
    }
    CHECK(countChoices(candidates)["slow"] <= 10);
}

} // namespace jacinthshift
