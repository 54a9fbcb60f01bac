#ifndef TESTS_STUDIES_PROCESS_USAGE_H
#define TESTS_STUDIES_PROCESS_USAGE_H

#include <sys/types.h>

namespace jacinthshift {

/** The resource usage of a process as reported by the kernel. */
struct ProcessUsage
{
    double cpuSeconds = 0.0;
    double residentMegabytes = 0.0;
};

/** Reads the resource usage of a process; all values are 0 if it does not exist. */
ProcessUsage processUsage(pid_t pid);

} // namespace jacinthshift

#endif // TESTS_STUDIES_PROCESS_USAGE_H
