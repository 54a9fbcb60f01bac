#include <catch2/catch.hpp>

#include "modules/fleet/message_codec.h"
#include "modules/usage/usage_collector.h"
#include "modules/usage/usage_counter.h"

namespace jacinthshift {

using std::chrono::milliseconds;

namespace {

constexpr milliseconds Window{5'000};

WallTime at(std::int64_t window, std::int64_t offsetMs)
{
    return WallTime(Window * window + milliseconds(offsetMs));
}

} // namespace

TEST_CASE("runs count for the window in which they began, unless they were rejected")
{
    UsageCounter counter(Window);
    counter.runStarted("a", at(10, 4'999));
    counter.runStarted("a", at(11, 0));
    counter.runStarted("b", at(11, 1));
    counter.runRejected("a", at(10, 4'999));
    const std::vector<UsageCountsMessage> changes = counter.takeChanges();
    REQUIRE(changes.size() == 2);
    CHECK(changes[0].counts.empty());
    CHECK(changes[1].counts == UsageCounts{{"a", 1}, {"b", 1}});
    CHECK(counter.takeChanges().empty());
    counter.markAllChanged();
    CHECK(counter.takeChanges().size() == 2);
}

// Guards against memory that grows with the time that a process runs.
TEST_CASE("old windows are dropped")
{
    UsageCounter counter(Window);
    for (std::int64_t window = 0; window < 100; ++window)
        counter.runStarted("a", at(window, 0));
    CHECK(counter.takeChanges().size() == UsageCounter::MaxWindows);
}

// Guards against runs that count twice, or are lost with the process that began them.
TEST_CASE("a collector has the newest counts of each process, also of ended ones")
{
    UsageCollector collector;
    const auto counts = [](std::uint64_t incarnation, std::uint64_t sequence, std::uint64_t runs) {
        return UsageCountsMessage{.incarnation = incarnation,
                                  .window = 7,
                                  .sequence = sequence,
                                  .counts = {{"a", runs}}};
    };
    collector.add("n1", counts(1, 2, 20));
    collector.add("n1", counts(1, 1, 10));
    collector.add("n1", counts(2, 1, 3));
    collector.add("n2", counts(1, 1, 100));
    CHECK(collector.sum(7).counts == UsageCounts{{"a", 123}});
    CHECK(collector.sum(7).processes == 3);
    CHECK(collector.sum(8).counts.empty());
}

TEST_CASE("messages about usage are encoded and decoded")
{
    const UsageReport report{.window = 353'445'120, .counts = {{"a", 412}, {"b", 1}}};
    const absl::StatusOr<FleetMessage> sealed =
            decodeFleetMessage(encodeFleetMessage(UsageSealedMessage{.report = report}));
    REQUIRE(sealed.ok());
    CHECK(std::get<UsageSealedMessage>(*sealed).report == report);
    const absl::StatusOr<FleetMessage> sum = decodeFleetMessage(encodeFleetMessage(
            UsageSumMessage{.window = 3, .processes = 2, .counts = report.counts}));
    REQUIRE(sum.ok());
    CHECK(std::get<UsageSumMessage>(*sum).counts == report.counts);
    const absl::StatusOr<FleetMessage> counts = decodeFleetMessage(
            encodeFleetMessage(UsageCountsMessage{.incarnation = 5, .window = 3, .sequence = 2}));
    REQUIRE(counts.ok());
    CHECK(std::get<UsageCountsMessage>(*counts).incarnation == 5);
}

} // namespace jacinthshift
