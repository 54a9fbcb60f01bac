#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <vector>

#include "core/random.h"
#include "modules/owner/admission_queue.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const SteadyTime epoch{std::chrono::hours(1)};

/** One workspace's demand in a simulation. */
struct Demand
{
    double requestsPerSecond = 0.0;
    std::uint32_t priority = 1;
};

struct Served
{
    double offered = 0.0;
    double started = 0.0;

    double share() const { return offered > 0.0 ? started / offered : 1.0; }
};

/** Runs an admission queue with 10 slots and requests of 100 ms, so it serves 100 per second. */
std::vector<Served> simulate(const std::vector<Demand> &demands, int seconds)
{
    constexpr int ServiceMs = 100;
    AdmissionQueue queue{AdmissionQueueOptions{}};
    queue.setLimit(10);
    queue.offer({.id = 0,
                 .route = "r",
                 .targetAt = epoch + milliseconds(10'000),
                 .deadline = epoch + milliseconds(20'000)},
                epoch);
    queue.finished("r", milliseconds(ServiceMs), epoch);
    Random random(3);
    std::vector<Served> served(demands.size());
    std::map<std::uint64_t, std::size_t> workspaceOfId;
    std::vector<int> running; // When each request ends.
    std::uint64_t lastId = 0;
    const auto start = [&](std::uint64_t id, int now) {
        served[workspaceOfId.at(id)].started += 1.0;
        running.push_back(now + ServiceMs);
    };
    for (int now = 1; now <= seconds * 1'000; ++now) {
        const SteadyTime time = epoch + milliseconds(now);
        const auto ended = std::erase_if(running, [now](int until) { return until <= now; });
        for (std::size_t i = 0; i < ended; ++i)
            queue.finished("r", milliseconds(ServiceMs), time);
        for (const std::uint64_t id : queue.dequeue(time).start)
            start(id, now);
        for (std::size_t i = 0; i < demands.size(); ++i) {
            if (static_cast<double>(random.below(1'000'000))
                >= demands[i].requestsPerSecond * 1'000.0)
                continue;
            const std::uint64_t id = ++lastId;
            workspaceOfId[id] = i;
            served[i].offered += 1.0;
            const AdmissionDecision decision = queue.offer({.id = id,
                                                            .route = "r",
                                                            .workspace = "w" + std::to_string(i),
                                                            .priority = demands[i].priority,
                                                            .targetAt = time + milliseconds(400),
                                                            .deadline = time + milliseconds(800)},
                                                           time);
            if (decision.kind == AdmissionDecision::Kind::Start)
                start(id, now);
        }
    }
    return served;
}

double overallShare(const std::vector<Served> &all)
{
    Served total;
    for (const Served &one : all) {
        total.offered += one.offered;
        total.started += one.started;
    }
    return total.share();
}

} // namespace

// Guards against a large workspace that crowds out small ones, and against one that small ones
// crowd out.
TEST_CASE("one large workspace and 79 small ones are each served a quarter as often as all")
{
    // The backend server serves 100 requests per second.
    const double smallRate = GENERATE(0.5, 1.2, 2.0);
    std::vector<Demand> demands(79, Demand{.requestsPerSecond = smallRate});
    demands.push_back({.requestsPerSecond = 200.0});
    const std::vector<Served> served = simulate(demands, 120);
    const double overall = overallShare(served);
    CAPTURE(smallRate, overall);
    CHECK(overall < 0.8); // The capacity is short.
    for (const Served &one : served) {
        CAPTURE(one.offered, one.started);
        CHECK(one.share() >= overall / 4.0);
    }
    if (smallRate < 1.0) {
        // Small workspaces that need less than an equal part are served almost completely.
        const std::vector<Served> small(served.begin(), served.end() - 1);
        CHECK(overallShare(small) >= 0.8);
    }
}

// Guards against a less urgent workspace that gets nothing while urgent ones need all capacity.
TEST_CASE("a less urgent workspace still gets its guaranteed part")
{
    const std::vector<Served> served = simulate({{.requestsPerSecond = 150.0, .priority = 0},
                                                 {.requestsPerSecond = 30.0, .priority = 5},
                                                 {.requestsPerSecond = 2.0, .priority = 5}},
                                                120);
    const double overall = overallShare(served);
    CAPTURE(overall, served[0].share(), served[1].share(), served[2].share());
    CHECK(served[1].share() >= overall / 4.0);
    CHECK(served[2].share() >= overall / 4.0);
    CHECK(served[0].share() > served[1].share());
    CHECK(served[0].share() > served[2].share());
}

// Guards against a change for deployments without workspaces.
TEST_CASE("tickets without a workspace are not counted")
{
    WorkspaceShares shares{WorkspaceSharesOptions{}};
    for (int i = 0; i < 100; ++i)
        shares.offered("", epoch);
    shares.started("", 100.0, epoch);
    CHECK(shares.size() == 0);
    CHECK(shares.recentService("") == 0.0);
    CHECK_FALSE(shares.isUnderserved("", epoch));
}

// Guards against memory that grows with every workspace that was ever seen, and against counts
// that overflow or never decay.
TEST_CASE("the number of tracked workspaces is bounded, and old ones make room")
{
    WorkspaceShares shares({.maxWorkspaces = 100});
    for (int i = 0; i < 1'000; ++i)
        shares.offered("w" + std::to_string(i), epoch);
    CHECK(shares.size() == 100);
    const SteadyTime later = epoch + std::chrono::hours(10);
    shares.offered("new", later);
    shares.started("new", 50.0, later);
    CHECK(shares.size() == 1);
    CHECK(shares.recentService("new") == Approx(50.0));
    CHECK(shares.recentService("w1") == 0.0);
}

} // namespace jacinthshift
