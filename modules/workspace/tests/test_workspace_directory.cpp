#include <catch2/catch.hpp>

#include "modules/workspace/workspace_directory.h"

namespace jacinthshift {

// Guards against requests that run for another workspace than the one whose key they carry.
TEST_CASE("each key finds its own workspace, and no other text finds any")
{
    std::vector<Workspace> workspaces;
    for (int i = 0; i < 3'000; ++i) {
        const std::string number = std::to_string(i);
        workspaces.push_back({.name = "w" + number, .keys = {"a" + number, "b" + number}});
    }
    const WorkspaceDirectory directory(workspaces);
    CHECK(directory.size() == 3'000);
    for (int i = 0; i < 3'000; ++i) {
        const std::string number = std::to_string(i);
        REQUIRE(directory.find("a" + number) != nullptr);
        CHECK(directory.find("a" + number)->name == "w" + number);
        REQUIRE(directory.find("b" + number) != nullptr);
        CHECK(directory.find("b" + number)->name == "w" + number);
    }
    for (const char *other : {"", "a", "w1", "A1", "a1 ", "a3000", "a1, b1"}) {
        INFO(other);
        CHECK(directory.find(other) == nullptr);
    }
}

} // namespace jacinthshift
