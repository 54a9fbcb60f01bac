#include <catch2/catch.hpp>

#include <sstream>

#include "cli/explain.h"

namespace jacinthshift {

TEST_CASE("explain merges the lines about a request from several logs and sorts them by time")
{
    std::istringstream sender(
            R"(12.5 n1 {"at":1000,"name":"OwnerChosen","node":"n1","request":"ab","owner":"n2"}
{"at":1010,"name":"RequestFailed","node":"n1","request":"ab","status":503}
{"at":1001,"name":"RequestServed","node":"n1","request":"abc"}
{"at":1020,"name":"RequestFailed","node":"n1","requ)");
    std::istringstream owner(R"(not a line
{"at":1005,"name":"AdmissionRefused","node":"n2","request":"ab","reason":"full"}
{"at":1006,"request":"ab", broken)");
    std::size_t unparsable = 0;
    const std::vector<RequestLogLine> lines =
            collectRequestLog("ab", {&sender, &owner}, unparsable);
    REQUIRE(lines.size() == 3);
    CHECK(lines[0].name == "OwnerChosen");
    CHECK(lines[1].node == "n2");
    CHECK(lines[1].fields == " reason=\"full\"");
    CHECK(lines[2].fields == " status=503");
    CHECK(unparsable == 1);
}

} // namespace jacinthshift
