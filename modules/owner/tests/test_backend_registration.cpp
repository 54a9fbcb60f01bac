#include <catch2/catch.hpp>

#include "modules/owner/backend_registration.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

const SteadyTime start{std::chrono::hours(1)};

BackendHeartbeat makeHeartbeat(const std::string &id, std::uint64_t sequence,
                               std::uint64_t startedAt, bool draining = false)
{
    return BackendHeartbeat{
            .id = id, .draining = draining, .sequence = sequence, .startedAt = startedAt};
}

} // namespace

TEST_CASE("a heartbeat that arrives late does not undo a newer one")
{
    BackendRegistration registration;
    CHECK(registration.heartbeat(makeHeartbeat("a", 3, 100), start)
          == RegistrationOutcome::NewLifetime);
    CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100, true), start)
          == RegistrationOutcome::Accepted);
    CHECK(registration.heartbeat(makeHeartbeat("a", 4, 100), start) == RegistrationOutcome::Stale);
    CHECK(registration.current()->draining);
}

TEST_CASE("a lifetime that is draining never becomes ready again")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 1, 100, true), start);
    CHECK(registration.heartbeat(makeHeartbeat("a", 2, 100), start)
          == RegistrationOutcome::Accepted);
    CHECK(registration.current()->draining);
}

TEST_CASE("a late heartbeat of a crashed backend server does not replace its successor")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("new", 1, 200), start);
    CHECK(registration.heartbeat(makeHeartbeat("old", 9, 100), start)
          == RegistrationOutcome::Stale);
    CHECK(registration.current()->id == "new");
}

TEST_CASE("a backend server that restarts under its id begins a new heartbeat sequence")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 40, 100), start);
    CHECK(registration.heartbeat(makeHeartbeat("a", 1, 200), start)
          == RegistrationOutcome::NewLifetime);
    CHECK(registration.heartbeat(makeHeartbeat("a", 41, 100), start) == RegistrationOutcome::Stale);
}

TEST_CASE("heartbeats that arrive after the deregistration of their lifetime are ignored")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 4, 100), start);
    CHECK(registration.deregister("a", std::nullopt) == RegistrationOutcome::Accepted);
    CHECK_FALSE(registration.current().has_value());
    CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100), start)
          == RegistrationOutcome::Deregistered);
    CHECK(registration.heartbeat(makeHeartbeat("a", 1, 300), start)
          == RegistrationOutcome::NewLifetime);
}

TEST_CASE("a deregistration of another backend server does not affect the current one")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("b", 1, 200), start);
    CHECK(registration.deregister("a", std::nullopt) == RegistrationOutcome::Stale);
    CHECK(registration.current()->id == "b");
}

TEST_CASE("a late deregistration of an earlier lifetime does not remove the present one")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 1, 300), start);
    CHECK(registration.deregister("a", 100) == RegistrationOutcome::Stale);
    REQUIRE(registration.current().has_value());
    CHECK(registration.heartbeat(makeHeartbeat("a", 2, 300), start)
          == RegistrationOutcome::Accepted);
    CHECK(registration.heartbeat(makeHeartbeat("a", 9, 100), start)
          == RegistrationOutcome::Deregistered);
}

TEST_CASE("a deregistration that is repeated does not displace others")
{
    BackendRegistration registration;
    registration.deregister("first", 100);
    for (int i = 0; i < 1'000; ++i)
        registration.deregister("second", 200);
    CHECK(registration.heartbeat(makeHeartbeat("first", 9, 100), start)
          == RegistrationOutcome::Deregistered);
}

// Guards against a draining heartbeat that is acknowledged and has no effect.
TEST_CASE("a draining heartbeat holds although a newer one has overtaken it")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 5, 100), start);
    CHECK(registration.heartbeat(makeHeartbeat("a", 4, 100, true), start)
          == RegistrationOutcome::Accepted);
    CHECK(registration.current()->draining);
    CHECK(registration.current()->sequence == 5);
}

// Guards against a late heartbeat that a process takes for one of a backend server in service.
TEST_CASE("while earlier deregistrations are not known, a lifetime has to go on sending")
{
    BackendRegistration registration;
    registration.setHistoryKnown(false);
    CHECK(registration.heartbeat(makeHeartbeat("a", 4, 100), start)
          == RegistrationOutcome::Unconfirmed);
    SECTION("late heartbeats that arrive together do not confirm each other")
    {
        CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100), start + milliseconds(2'900))
              == RegistrationOutcome::Unconfirmed);
    }
    SECTION("an earlier heartbeat does not confirm it")
    {
        CHECK(registration.heartbeat(makeHeartbeat("a", 3, 100), start + milliseconds(3'500))
              == RegistrationOutcome::Unconfirmed);
    }
    SECTION("the next one after a while does")
    {
        CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100), start + milliseconds(3'500))
              == RegistrationOutcome::NewLifetime);
    }
    SECTION("it is registered once the history is known")
    {
        registration.setHistoryKnown(true);
        CHECK(registration.heartbeat(*registration.unconfirmed(), start)
              == RegistrationOutcome::NewLifetime);
    }
    SECTION("it is not if the history says that it has deregistered")
    {
        registration.deregister("a", 100);
        CHECK_FALSE(registration.unconfirmed().has_value());
    }
    SECTION("that it drains is believed at once")
    {
        CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100, true), start)
              == RegistrationOutcome::NewLifetime);
        CHECK(registration.current()->draining);
    }
}

// Guards against a backend server that is unusable for ever after the clock of its VM went back.
TEST_CASE("a backend server whose start time went back is used once it has sent for a while")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 9, 200), start);
    registration.deregister("a", 200);
    RegistrationOutcome outcome = RegistrationOutcome::Stale;
    SteadyTime now = start;
    std::uint64_t sequence = 0;
    while (outcome == RegistrationOutcome::Stale && now < start + milliseconds(10'000)) {
        outcome = registration.heartbeat(makeHeartbeat("a", ++sequence, 150), now);
        now += milliseconds(1'500);
    }
    CHECK(outcome == RegistrationOutcome::NewLifetime);
    CHECK(now - start > milliseconds(6'000));
    CHECK(registration.heartbeat(makeHeartbeat("a", ++sequence, 150), now)
          == RegistrationOutcome::Accepted);
    CHECK(registration.heartbeat(makeHeartbeat("a", 10, 200), now)
          == RegistrationOutcome::Deregistered);
}

} // namespace jacinthshift
