#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/usage/tests/usage_world.h"

namespace jacinthshift {

using std::chrono::milliseconds;

TEST_CASE("each window is reported once by one node")
{
    UsageWorld world({});
    world.run(milliseconds(40'000));
    CHECK(world.violation().empty());
    CHECK(world.reportedWindows().size() == world.accepted.size());
    CHECK(world.reportedWindows().size() >= 6);
    for (const AcceptedReport &received : world.accepted)
        CHECK(received.node == world.accepted.front().node);
}

// Guards against windows that nobody reports after the holder has ended or stands still.
TEST_CASE("after the end of the holder another node reports the windows that follow")
{
    const UsageFault fault = GENERATE(UsageFault::KillNode, UsageFault::FreezeNode);
    UsageWorld world({{6, fault}});
    world.run(milliseconds(60'000));
    CHECK(world.violation().empty());
    CHECK(world.reportedWindows().size() >= 10);
}

// Explores every schedule with one or two faults among the first calls: lost and late calls, ended
// and frozen nodes, restores of the register. Guards against two different reports of one window, a
// token of two nodes, and a duty that comes back within the lease.
TEST_CASE("model: with up to two faults anywhere no rule of the duty is broken")
{
    constexpr std::size_t FirstCalls = 14;
    constexpr int LastFault = static_cast<int>(UsageFault::RestoreRegister);
    const auto check = [](const UsageFaultPlan &plan) {
        UsageWorld world(plan);
        world.run(milliseconds(45'000));
        const std::string problem =
                world.accepted.empty() ? "nothing was reported" : world.violation();
        std::string schedule;
        for (const auto &[call, fault] : plan)
            schedule += joinText(call, ":", static_cast<int>(fault), " ");
        INFO(schedule << ": " << problem);
        CHECK(problem.empty());
    };
    for (std::size_t first = 0; first < FirstCalls; ++first) {
        for (int firstFault = 1; firstFault <= LastFault; ++firstFault) {
            check({{first, static_cast<UsageFault>(firstFault)}});
            for (std::size_t second = first + 1; second < FirstCalls; ++second) {
                for (int secondFault = 1; secondFault <= LastFault; ++secondFault)
                    check({{first, static_cast<UsageFault>(firstFault)},
                           {second, static_cast<UsageFault>(secondFault)}});
            }
        }
    }
}

} // namespace jacinthshift
