#ifndef TESTS_SUPPORT_PROCESSOR_TIME_H
#define TESTS_SUPPORT_PROCESSOR_TIME_H

#include <chrono>
#include <ctime>

namespace jacinthshift {

/**
 * Returns the processor time of the calling thread. Unlike the steady clock, it does not count the
 * time for which other processes had the processor.
 */
inline std::chrono::nanoseconds processorTime()
{
    timespec time = {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

/** Keeps the processor busy. */
inline void useProcessor(std::chrono::nanoseconds time)
{
    const std::chrono::nanoseconds end = processorTime() + time;
    while (processorTime() < end)
        continue;
}

} // namespace jacinthshift

#endif // TESTS_SUPPORT_PROCESSOR_TIME_H
