#ifndef TESTS_HOSTILE_STOP_CASE_H
#define TESTS_HOSTILE_STOP_CASE_H

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace jacinthshift {

/** A planned stop of a node while a caller reads its responses slowly. */
struct StopCase
{
    std::string name; ///< The CTest test is called "hostile_" and this.
    std::size_t backendNode = 0;
    std::size_t stoppedNode = 0;   ///< The caller is at node 0.
    std::size_t pipelined = 1;     ///< Requests that the caller sends at once.
    std::size_t responseBytes = 0; ///< Of each of them.
    std::size_t readBytes = 5'500; ///< Read every 20 ms.
    bool stopsReading = false;     ///< The caller reads nothing more after the stop has begun.
    std::chrono::milliseconds stopAfter{1'300};  ///< From the first byte of a response.
    bool stopsBeforeResponse = false;            ///< The stop is counted from the request instead.
    double linkMegabits = 1'000.0;               ///< Of each VM.
    std::chrono::milliseconds callerWait{8'000}; ///< The deadline in the requests.
    /** The caller sends a further request this long after the stop; none if zero. */
    std::chrono::milliseconds requestAfterStop{0};
    bool repeatsSignal = false; ///< SIGTERM is sent again without a pause until the node has ended.
    /** The process has to end by itself this long after the stop began. */
    std::chrono::milliseconds maxDuration{6'000};
};

/** Returns all cases of planned stops. */
std::vector<StopCase> stopCases();

} // namespace jacinthshift

#endif // TESTS_HOSTILE_STOP_CASE_H
