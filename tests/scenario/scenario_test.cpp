#define CATCH_CONFIG_RUNNER
#include <catch2/catch.hpp>

#include <iostream>

#include "tests/scenario/scenario.h"

// Usage: scenario_tests FILE [Catch2 options]
static std::string scenarioFile; // NOLINT: Catch2 test cases take no arguments.

TEST_CASE("scenario")
{
    jacinthshift::Scenario scenario(scenarioFile, JACINTHSHIFT_BINARIES);
    const absl::Status status = scenario.runAll();
    for (const std::string &measurement : scenario.measurements())
        std::cout << scenario.name() << ": " << measurement << "\n";
    INFO(scenario.name());
    INFO(std::string(status.message()));
    REQUIRE(status.ok());
}

int main(int argc, char **argv)
{
    if (argc < 2)
        return 2;
    scenarioFile = argv[1];
    argv[1] = argv[0];
    return Catch::Session().run(argc - 1, argv + 1);
}
