#include "tests/hostile/stop_case.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;

// The slow caller needs about 6 s for it, of which 4.7 s after the stop began.
constexpr std::size_t LongResponse = 460'000;

} // namespace

std::vector<StopCase> stopCases()
{
    return {
            // Guards against a stop that ends the process while a response is being read.
            {.name = "stop_response_read_slowly", .responseBytes = LongResponse},
            {.name = "stop_remote_response_read_slowly",
             .backendNode = 1,
             .responseBytes = LongResponse},
            {.name = "stop_pipelined_responses_read_slowly",
             .pipelined = 3,
             .responseBytes = LongResponse / 3},
            // Guards against a stop that loses a response on its way to another node.
            {.name = "stop_owner_of_long_response",
             .backendNode = 1,
             .stoppedNode = 1,
             .responseBytes = LongResponse,
             .readBytes = 65'536,
             .stopAfter = milliseconds(500),
             .stopsBeforeResponse = true,
             .linkMegabits = 1.0},
            // Guards against a stop that loses its own refusal behind a slow response.
            {.name = "stop_refusal_behind_slow_response",
             .responseBytes = LongResponse,
             .requestAfterStop = milliseconds(3'000)},
            // Guards against a stop that waits for callers who do not wait any more.
            {.name = "stop_response_not_read",
             .responseBytes = LongResponse,
             .stopsReading = true,
             .callerWait = milliseconds(4'500),
             .maxDuration = milliseconds(3'800)},
            // Guards against a stop that waits for idle connections.
            {.name = "stop_idle_connection",
             .responseBytes = 600,
             .maxDuration = milliseconds(3'200)},
            // Guards against a further SIGTERM that ends the process before it has returned.
            {.name = "stop_repeated_signal", .responseBytes = 600, .repeatsSignal = true},
    };
}

} // namespace jacinthshift
