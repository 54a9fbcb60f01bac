#include <catch2/catch.hpp>

#include "node/loop_monitor.h"

using namespace jacinthshift;
using std::chrono::milliseconds;

namespace {

/** A timer service whose only timer fires when the test says so. */
class LateTimerService final : public TimerService
{
    SteadyTime m_now{std::chrono::hours(1)};
    Callback m_callback;

public:
    SteadyTime now() const override { return m_now; }
    WallTime wallNow() const override { return {}; }
    TimerId startOnce(milliseconds, Callback) override { return TimerId::None; }
    TimerId startPeriodic(milliseconds, Callback callback) override
    {
        m_callback = std::move(callback);
        return static_cast<TimerId>(1);
    }
    void stop(TimerId) override {}
    void fireAfter(milliseconds time)
    {
        m_now += time;
        m_callback();
    }
};

} // namespace

TEST_CASE("A loop monitor measures by how much a timer fires late")
{
    LateTimerService timers;
    const LoopMonitor monitor(
            LoopMonitorOptions{.period = milliseconds(100), .reportedDelay = milliseconds(300)},
            timers);
    timers.fireAfter(milliseconds(100));
    CHECK(monitor.delay() == milliseconds(0));
    timers.fireAfter(milliseconds(350));
    CHECK(monitor.delay() == milliseconds(250));
    CHECK(monitor.reportedDelays() == 0);
    timers.fireAfter(milliseconds(900));
    CHECK(monitor.delay() == milliseconds(800));
    timers.fireAfter(milliseconds(60));
    CHECK(monitor.delay() == milliseconds(0));
    CHECK(monitor.maxDelay() == milliseconds(800));
    CHECK(monitor.reportedDelays() == 1);
}
