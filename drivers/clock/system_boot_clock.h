#ifndef DRIVERS_CLOCK_SYSTEM_BOOT_CLOCK_H
#define DRIVERS_CLOCK_SYSTEM_BOOT_CLOCK_H

#include "servers/boot_clock.h"

namespace jacinthshift {

/** The kernel's CLOCK_BOOTTIME. */
class SystemBootClock final : public BootClock
{
public:
    time_point now() const override;
};

} // namespace jacinthshift

#endif // DRIVERS_CLOCK_SYSTEM_BOOT_CLOCK_H
