#include <catch2/catch.hpp>

#include "modules/owner/backend_registration.h"

namespace jacinthshift {

namespace {

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
    CHECK(registration.heartbeat(makeHeartbeat("a", 3, 100)) == RegistrationOutcome::NewLifetime);
    CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100, true))
          == RegistrationOutcome::Accepted);
    CHECK(registration.heartbeat(makeHeartbeat("a", 4, 100)) == RegistrationOutcome::Stale);
    CHECK(registration.current()->draining);
}

TEST_CASE("a lifetime that is draining never becomes ready again")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 1, 100, true));
    CHECK(registration.heartbeat(makeHeartbeat("a", 2, 100)) == RegistrationOutcome::Accepted);
    CHECK(registration.current()->draining);
}

TEST_CASE("a late heartbeat of a crashed backend server does not replace its successor")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("new", 1, 200));
    CHECK(registration.heartbeat(makeHeartbeat("old", 9, 100)) == RegistrationOutcome::Stale);
    CHECK(registration.current()->id == "new");
}

TEST_CASE("a backend server that restarts under its id begins a new heartbeat sequence")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 40, 100));
    CHECK(registration.heartbeat(makeHeartbeat("a", 1, 200)) == RegistrationOutcome::NewLifetime);
    CHECK(registration.heartbeat(makeHeartbeat("a", 41, 100)) == RegistrationOutcome::Stale);
}

TEST_CASE("heartbeats that arrive after the deregistration of their lifetime are ignored")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 4, 100));
    CHECK(registration.deregister("a", std::nullopt) == RegistrationOutcome::Accepted);
    CHECK_FALSE(registration.current().has_value());
    CHECK(registration.heartbeat(makeHeartbeat("a", 5, 100)) == RegistrationOutcome::Deregistered);
    CHECK(registration.heartbeat(makeHeartbeat("a", 1, 300)) == RegistrationOutcome::NewLifetime);
}

TEST_CASE("a deregistration of another backend server does not affect the current one")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("b", 1, 200));
    CHECK(registration.deregister("a", std::nullopt) == RegistrationOutcome::Stale);
    CHECK(registration.current()->id == "b");
}

TEST_CASE("a late deregistration of an earlier lifetime does not remove the present one")
{
    BackendRegistration registration;
    registration.heartbeat(makeHeartbeat("a", 1, 300));
    CHECK(registration.deregister("a", 100) == RegistrationOutcome::Stale);
    REQUIRE(registration.current().has_value());
    CHECK(registration.heartbeat(makeHeartbeat("a", 2, 300)) == RegistrationOutcome::Accepted);
    CHECK(registration.heartbeat(makeHeartbeat("a", 9, 100)) == RegistrationOutcome::Deregistered);
}

TEST_CASE("a deregistration that is repeated does not displace others")
{
    BackendRegistration registration;
    registration.deregister("first", 100);
    for (int i = 0; i < 1'000; ++i)
        registration.deregister("second", 200);
    CHECK(registration.heartbeat(makeHeartbeat("first", 9, 100))
          == RegistrationOutcome::Deregistered);
}

} // namespace jacinthshift
