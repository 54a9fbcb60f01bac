#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

#include "core/event.h"
#include "core/text.h"

namespace jacinthshift {

TEST_CASE("docs/EVENTS.md lists exactly the events of the catalogue")
{
    std::ifstream file(JACINTHSHIFT_SOURCES "/docs/EVENTS.md");
    std::stringstream text;
    text << file.rdbuf();
    std::size_t rows = 0;
    std::string line;
    while (std::getline(text, line))
        rows += line.rfind("| E", 0) == 0 ? 1 : 0;
    CHECK(rows == eventCatalogue().size());
    for (const EventInfo &info : eventCatalogue()) {
        INFO(info.name);
        const std::string row = joinText("| E", static_cast<int>(info.event), " | ", info.name,
                                         " | ", levelName(info.level), " |");
        CHECK(text.str().find(row) != std::string::npos);
    }
}

} // namespace jacinthshift
