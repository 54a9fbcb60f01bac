#ifndef TESTS_SUPPORT_MANUAL_BOOT_CLOCK_H
#define TESTS_SUPPORT_MANUAL_BOOT_CLOCK_H

#include "servers/boot_clock.h"

namespace jacinthshift {

/** A boot clock that advances only when the test advances it. */
class ManualBootClock final : public BootClock
{
    time_point m_now{std::chrono::hours(2)};

public:
    time_point now() const override { return m_now; }
    void advance(std::chrono::milliseconds time) { m_now += time; }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_MANUAL_BOOT_CLOCK_H
