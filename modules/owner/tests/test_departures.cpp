#include <catch2/catch.hpp>

#include <cstdlib>

#include "modules/owner/tests/departure_model.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

/** Seeds that are played; more can be asked for in the environment. */
std::uint64_t seedCount()
{
    const char *count = std::getenv("DEPARTURE_SEEDS");
    return count == nullptr ? 300 : std::strtoull(count, nullptr, 10);
}

std::string playSeeds(DepartureModelOptions options)
{
    for (options.seed = 1; options.seed <= seedCount(); ++options.seed) {
        const std::string violation = DepartureModel(options).play(120);
        if (!violation.empty())
            return "seed " + std::to_string(options.seed) + ": " + violation;
    }
    return {};
}

/** Holds back all calls until they are let through. */
class HeldRegister final : public DepartureRegister
{
public:
    std::vector<WriteCallback> writes;

    void write(const BackendLifetime &, WriteCallback callback) override
    {
        writes.push_back(std::move(callback));
    }
};

} // namespace

// Guards against a backend server that has left and is used again after all processes were killed.
TEST_CASE("no lifetime whose leaving was acknowledged is used again, and each later one is")
{
    SECTION("heartbeats are up to ten seconds late, the log answers")
    {
        const std::string violation = playSeeds({});
        CAPTURE(violation);
        CHECK(violation.empty());
    }
    SECTION("the log is away at times; heartbeats are late by less than the time to confirm one")
    {
        const std::string violation = playSeeds(
                {.maxLateness = BackendRegistrationOptions().confirmTime, .logFails = true});
        CAPTURE(violation);
        CHECK(violation.empty());
    }
    SECTION("the model finds a node that only remembers departures")
    {
        CHECK_FALSE(playSeeds({.recordsDepartures = false}).empty());
    }
}

TEST_CASE("a departure is acknowledged once it is recorded")
{
    ManualTimerService timers;
    HeldRegister held;
    DepartureRecorder recorder({}, held, timers);
    const BackendLifetime backend{.id = "i", .startedAt = 1};
    std::vector<bool> answers;
    const auto note = [&answers](bool recorded) {
        answers.push_back(recorded);
    };
    recorder.record(backend, note);
    recorder.record(backend, note);
    REQUIRE(held.writes.size() == 1);
    CHECK(answers.empty());
    SECTION("all that ask are answered at once")
    {
        held.writes[0](absl::OkStatus());
        CHECK(answers == std::vector<bool>{true, true});
        recorder.record(backend, note);
        CHECK(answers.size() == 3);
        CHECK(held.writes.size() == 1);
    }
    SECTION("without a record there is none, within the time that a backend server waits")
    {
        held.writes[0](absl::UnavailableError("away"));
        timers.advance(milliseconds(900));
        CHECK(answers == std::vector<bool>{false, false});
        // The write is tried again, and the next attempt to leave is acknowledged.
        REQUIRE(held.writes.size() >= 2);
        held.writes[1](absl::OkStatus());
        recorder.record(backend, note);
        CHECK(answers.back());
    }
    SECTION("a response that was lost does not delay it beyond that time")
    {
        timers.advance(milliseconds(500));
        REQUIRE(held.writes.size() == 2);
        held.writes[1](absl::OkStatus());
        CHECK(answers == std::vector<bool>{true, true});
        timers.advance(milliseconds(10'000));
        CHECK(held.writes.size() == 2);
    }
}

TEST_CASE("departures of ids that nobody could have are not written without a limit")
{
    ManualTimerService timers;
    HeldRegister held;
    DepartureRecorder recorder({}, held, timers);
    std::size_t refused = 0;
    for (std::uint64_t i = 1; i <= 1'000; ++i)
        recorder.record({.id = "i", .startedAt = i},
                        [&refused](bool recorded) { refused += recorded ? 0 : 1; });
    CHECK(held.writes.size() == DepartureRecorderOptions().maxPerMinute);
    CHECK(refused == 1'000 - held.writes.size());
}

} // namespace jacinthshift
