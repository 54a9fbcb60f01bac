#include <catch2/catch.hpp>

#include "modules/owner/backend_registration.h"

namespace jacinthshift {

namespace {

BackendHeartbeat beat(const std::string &id, std::uint64_t sequence, std::uint64_t startedAt,
                      bool draining = false)
{
    return BackendHeartbeat{
            .id = id, .draining = draining, .sequence = sequence, .startedAt = startedAt};
}

} // namespace

TEST_CASE("a late heartbeat does not undo a later one")
{
    BackendRegistration registration;
    CHECK(registration.heartbeat(beat("a", 3, 100)) == RegistrationOutcome::NewLifetime);
    CHECK(registration.heartbeat(beat("a", 5, 100, true)) == RegistrationOutcome::Accepted);
    CHECK(registration.heartbeat(beat("a", 4, 100)) == RegistrationOutcome::Stale);
    CHECK(registration.current()->draining);
}

TEST_CASE("a lifetime that has announced its leaving never becomes ready again")
{
    BackendRegistration registration;
    registration.heartbeat(beat("a", 1, 100, true));
    CHECK(registration.heartbeat(beat("a", 2, 100)) == RegistrationOutcome::Accepted);
    CHECK(registration.current()->draining);
}

TEST_CASE("a heartbeat of a lifetime that has crashed does not replace its successor")
{
    BackendRegistration registration;
    registration.heartbeat(beat("new", 1, 200));
    CHECK(registration.heartbeat(beat("old", 9, 100)) == RegistrationOutcome::Stale);
    CHECK(registration.current()->id == "new");
}

TEST_CASE("a backend server that starts again under its id counts anew")
{
    BackendRegistration registration;
    registration.heartbeat(beat("a", 40, 100));
    CHECK(registration.heartbeat(beat("a", 1, 200)) == RegistrationOutcome::NewLifetime);
    CHECK(registration.heartbeat(beat("a", 41, 100)) == RegistrationOutcome::Stale);
}

TEST_CASE("a goodbye holds against heartbeats of the same lifetime that come later")
{
    BackendRegistration registration;
    registration.heartbeat(beat("a", 4, 100));
    CHECK(registration.goodbye("a", std::nullopt) == RegistrationOutcome::Accepted);
    CHECK_FALSE(registration.current().has_value());
    CHECK(registration.heartbeat(beat("a", 5, 100)) == RegistrationOutcome::Left);
    CHECK(registration.heartbeat(beat("a", 1, 300)) == RegistrationOutcome::NewLifetime);
}

TEST_CASE("a goodbye of another backend server leaves the present one alone")
{
    BackendRegistration registration;
    registration.heartbeat(beat("b", 1, 200));
    CHECK(registration.goodbye("a", std::nullopt) == RegistrationOutcome::Stale);
    CHECK(registration.current()->id == "b");
}

} // namespace jacinthshift
