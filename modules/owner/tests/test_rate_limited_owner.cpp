#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "modules/owner/backend_owner.h"
#include "tests/support/fake_http_client.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

using std::chrono::milliseconds;
using std::chrono::seconds;

namespace {

struct SilentObserver final : public OwnerObserver
{
    void ownerStatusChanged() override {}
    void requestSuspected(std::uint64_t, const std::string &) override {}
    void requestCleared(std::uint64_t) override {}
};

/**
 * An owner under more load than its backend server takes: 20 requests every 50 ms, each answered
 * after 50 ms. Half of them are retries or calls of other backend servers, which look the same.
 */
struct OverloadedOwner
{
    FakeHttpClient http;
    ManualTimerService timers;
    PoisonRegistry poison{PoisonRegistryOptions{}};
    SilentObserver observer;
    std::unique_ptr<BackendOwner> owner;
    std::string limit; ///< Value of the header in answers; empty for none.
    std::uint64_t sequence = 0;
    std::vector<std::size_t> sentByStep{0}; ///< Requests sent since the start, every 50 ms.
    int lastRequest = 0;
    int rateLimited = 0; ///< Requests refused because of the limit.

    OverloadedOwner() { restartProcess(); }

    /** Replaces the owner's process; the backend server runs on. */
    void restartProcess()
    {
        http.pendingExchanges.clear();
        owner = std::make_unique<BackendOwner>(
                BackendOwnerOptions{.node = "n",
                                    .service = "s",
                                    .headers = {.requestId = "Id",
                                                .notRun = "Not-Run",
                                                .seal = "Seal",
                                                .requestRateLimit = "Limit"}},
                http, timers, poison, observer);
        heartbeat(1);
    }
    void heartbeat(std::uint64_t startedAt)
    {
        REQUIRE(owner->heartbeat(BackendHeartbeat{.id = "i-1",
                                                  .service = "s",
                                                  .version = "v1",
                                                  .endpoint = {"127.0.0.1", 80},
                                                  .slots = 18,
                                                  .sequence = ++sequence,
                                                  .startedAt = startedAt})
                        .ok());
    }
    void runOne()
    {
        const WorkRequest work{.request = {.target = "/" + std::to_string(++lastRequest),
                                           .headers = {{"Id", std::to_string(lastRequest)}}},
                               .route = "r",
                               .service = "s",
                               .isCallerRetry = lastRequest % 2 == 0,
                               .timeLeft = milliseconds(1'000),
                               .targetTimeLeft = milliseconds(400)};
        owner->run(work, [this](const WorkResult &result) {
            rateLimited += result.refusal == WorkRefusal::RateLimited ? 1 : 0;
        });
    }
    void runFor(milliseconds time)
    {
        for (milliseconds passed(0); passed < time; passed += milliseconds(50)) {
            for (int i = 0; i < 20; ++i)
                runOne();
            timers.advance(milliseconds(50));
            while (!http.pendingExchanges.empty()) {
                http.respond(200, limit.empty() ? std::vector<HttpHeader>{{"Seal", "x"}}
                                                : std::vector<HttpHeader>{{"Seal", "x"},
                                                                          {"Limit", limit}});
                // An answer can start another request at once, which is answered at the next step.
                if (http.sentRequests.size() > sentByStep.back() + 400)
                    break;
            }
            sentByStep.push_back(http.sentRequests.size());
        }
    }
    /** Returns the most requests in any 4 s from a step on. */
    std::size_t mostInFourSeconds(std::size_t firstStep) const
    {
        constexpr std::size_t Steps = 4'000 / 50;
        std::size_t most = 0;
        for (std::size_t end = firstStep + Steps; end < sentByStep.size(); ++end)
            most = std::max(most, sentByStep[end] - sentByStep[end - Steps]);
        return most;
    }
    std::size_t step() const { return sentByStep.size() - 1; }
};

/** Returns how many requests in 4 s the operator's rule allows at a limit per second. */
double allowedInFourSeconds(double limit)
{
    return 1.5 * 4.0 * limit + 5.0;
}

} // namespace

// Guards against a backend server in need that gets more requests than the limit that it named.
TEST_CASE("surge: a backend server that names a limit gets what it takes, and no more")
{
    OverloadedOwner fixture;
    fixture.runFor(seconds(1));
    const auto [limit, lowest] = GENERATE(
            table<const char *, double>({{"1", 1.0}, {"2.5", 2.5}, {"45.3", 45.3}, {"0", 0.25}}));
    fixture.limit = limit;
    fixture.runFor(milliseconds(500));
    const std::size_t begin = fixture.step();
    fixture.runFor(seconds(12));
    CAPTURE(limit);
    CHECK(static_cast<double>(fixture.mostInFourSeconds(begin)) <= allowedInFourSeconds(lowest));
    CHECK(static_cast<double>(fixture.sentByStep.back() - fixture.sentByStep[begin])
          >= 0.8 * 12.0 * lowest - 1.0);
    CHECK(fixture.rateLimited > 0);
}

// Guards against a limit that is forgotten when the owner's process restarts.
TEST_CASE("rolling restarts: a named limit holds over restarts of the owner's process")
{
    OverloadedOwner fixture;
    fixture.limit = "1";
    fixture.runFor(seconds(1));
    const std::size_t begin = fixture.step();
    for (int restart = 0; restart < 4; ++restart) {
        fixture.restartProcess();
        fixture.runFor(seconds(3));
    }
    CHECK(static_cast<double>(fixture.mostInFourSeconds(begin)) <= allowedInFourSeconds(1.0));
}

TEST_CASE("a limit follows the last answers and ends a second after the last one that names it")
{
    OverloadedOwner fixture;
    fixture.limit = "40";
    fixture.runFor(seconds(1));
    fixture.limit = "3";
    fixture.runFor(milliseconds(500));
    const std::size_t lowered = fixture.step();
    fixture.runFor(seconds(5));
    CHECK(static_cast<double>(fixture.mostInFourSeconds(lowered)) <= allowedInFourSeconds(3.0));
    CHECK(fixture.owner->status().requestRateLimit == 3.0);
    fixture.limit = "";
    fixture.runFor(milliseconds(2'000));
    CHECK(fixture.owner->status().requestRateLimit == 0.0);
}

TEST_CASE("an owner that was frozen does not make up for the time")
{
    OverloadedOwner fixture;
    fixture.limit = "2";
    fixture.runFor(seconds(2));
    const std::size_t begin = fixture.step();
    for (int freeze = 0; freeze < 4; ++freeze) {
        fixture.timers.advance(seconds(3));
        fixture.runFor(seconds(1));
    }
    // The steps leave the frozen time out, so this counts more than 4 s.
    CHECK(static_cast<double>(fixture.mostInFourSeconds(begin)) <= allowedInFourSeconds(2.0));
}

TEST_CASE("a restarted backend server has no limit until it names one")
{
    OverloadedOwner fixture;
    fixture.limit = "2";
    fixture.runFor(seconds(1));
    fixture.heartbeat(2);
    CHECK(fixture.owner->status().requestRateLimit == 0.0);
}

TEST_CASE("only decimal numbers of at least zero are rates")
{
    CHECK(parseRequestRate("44.3") == 44.3);
    CHECK(parseRequestRate("7") == 7.0);
    CHECK(parseRequestRate("0") == 0.0);
    for (const char *text : {"", "-1", "nan", "inf", "1e3", "0x10", "12 ", " 12", "1,5", "many"}) {
        CAPTURE(text);
        CHECK_FALSE(parseRequestRate(text).has_value());
    }
    CHECK_FALSE(parseRequestRate(std::string(400, '9')).has_value());
}

} // namespace jacinthshift
