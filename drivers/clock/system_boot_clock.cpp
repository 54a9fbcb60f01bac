#include "drivers/clock/system_boot_clock.h"

#include <ctime>

namespace jacinthshift {

BootClock::time_point SystemBootClock::now() const
{
    struct timespec time = {};
    clock_gettime(CLOCK_BOOTTIME, &time);
    return time_point(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec));
}

} // namespace jacinthshift
