#ifndef SERVERS_BOOT_CLOCK_H
#define SERVERS_BOOT_CLOCK_H

#include <chrono>

namespace jacinthshift {

/**
 * Measures the time since the VM was started. Unlike the steady clock, it includes the time for
 * which the VM was suspended.
 */
class BootClock
{
public:
    using duration = std::chrono::nanoseconds;
    using time_point = std::chrono::time_point<BootClock, duration>;

    virtual ~BootClock() = default;

    virtual time_point now() const = 0;
};

using BootTime = BootClock::time_point;

} // namespace jacinthshift

#endif // SERVERS_BOOT_CLOCK_H
