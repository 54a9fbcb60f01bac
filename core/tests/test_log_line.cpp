#include <catch2/catch.hpp>

#include <limits>

#include "core/log_line.h"

namespace jacinthshift {

namespace {

std::string format(LogFormat lineFormat, std::int64_t suppressed,
                   std::initializer_list<LogField> fields)
{
    const LoggerOptions options{.format = lineFormat, .node = "vm-1", .failureDomain = "d1"};
    const LogLineHead head{.event = eventInfo(Event::OwnerChosen),
                           .unixMilliseconds = 1'780'000'000'123,
                           .suppressed = suppressed};
    return formatLogLine(options, head, fields);
}

} // namespace

// Guards against readers of the log that no longer find a field, its type or the dropped lines.
TEST_CASE("a JSON line holds the head and all fields")
{
    const std::string owner = "vm-2";
    CHECK(format(LogFormat::JsonLines, 3,
                 {{"owner", owner}, {"route", "a \"b\"\n"}, {"try", 2U}, {"left_ms", -5}})
          == R"({"at":1780000000123,"level":"info","event":5006,"name":"OwnerChosen",)"
             R"("node":"vm-1","domain":"d1","suppressed":3,"owner":"vm-2",)"
             R"("route":"a \"b\"\n","try":2,"left_ms":-5})");
}

TEST_CASE("a text line holds the head and all fields")
{
    CHECK(format(LogFormat::Text, 0, {{"owner", "vm 2"}, {"route", ""}, {"left_ms", 7}})
          == "1780000000123 E5006 info node=vm-1 domain=d1 OwnerChosen owner=\"vm 2\" route=\"\" "
             "left_ms=7");
}

// Guards against numbers at the limits of their types that change when they are formatted late.
TEST_CASE("numbers in log lines keep their value and sign")
{
    CHECK(LogField("k", std::numeric_limits<std::int64_t>::min()).value()
          == "-9223372036854775808");
    CHECK(LogField("k", std::numeric_limits<std::uint64_t>::max()).value()
          == "18446744073709551615");
    CHECK(LogField("k", -1).value() == "-1");
    CHECK(LogField("k", 0).value() == "0");
}

} // namespace jacinthshift
