// Measures the latency and the CPU time of the nodes that the mesh adds to a call. Each round sends
// calls directly to the backend server, then through the owner's node, then through another node.
//
// call_study --per_second=R --rounds=N
//
// Prints one table row for each path: path, calls per second, number of calls, percentage with
// status 200, median and 99th percentile of the latency in ms, CPU time of the nodes per call in
// ms.
#include <algorithm>
#include <cstdio>
#include <cstdlib>

#include <gflags/gflags.h>
#include <glib.h>

#include "core/text.h"
#include "modules/config/config_codec.h"
#include "tests/studies/process_usage.h"
#include "tests/support/load_generator.h"
#include "tests/support/mesh_bench.h"

DEFINE_double(per_second, 500.0, "calls per second");
DEFINE_uint32(rounds, 3, "number of measured rounds for each path");
DEFINE_uint32(seconds, 3, "duration of a measurement in seconds");
DEFINE_uint32(work_ms, 2, "service time of the backend server in milliseconds");
DEFINE_string(method, "GET", "HTTP method of the calls");

using namespace jacinthshift;

namespace {

/** One way to reach the backend server, with its measurements. */
struct CallPath
{
    const char *name;
    Endpoint target;
    std::string path;
    std::vector<LoadResult> results;
    double cpuSeconds = 0.0; ///< CPU time of both nodes.
};

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::vector<std::string> flags = {"--service=s", "--slots=200",
                                            joinText("--work_ms=", FLAGS_work_ms)};
    MeshBench bench(JACINTHSHIFT_BINARIES,
                    {{.name = "owner", .domain = "d", .backendFlags = flags},
                     {.name = "other", .domain = "d"}},
                    "log_level: debug\n");
    if (std::getenv("JACINTHSHIFT_KEEP_FILES") == nullptr)
        bench.discardFiles();
    if (!bench.startPlatform())
        return 1;
    PublishRecord publish;
    publish.changes.push_back(ServiceChange{
            .spec = {.name = "s", .version = "v1", .routes = {RouteSpec{.idempotent = true}}}});
    const ConfigRecord record{.header = {.id = "study", .author = "study"}, .body = publish};
    bench.exchange(bench.logEndpoint(),
                   HttpRequest{.method = "POST",
                               .target = "/streams/config/records",
                               .body = ConfigCodec::encodeRecord(record)},
                   std::chrono::seconds(5));
    for (const std::string &name : bench.vmNames()) {
        bench.startNode(bench.vm(name));
        bench.startBackend(bench.vm(name));
    }
    bench.pause(std::chrono::seconds(4));
    std::vector<CallPath> callPaths = {
            {.name = "direct", .target = bench.vm("owner").backendEndpoint(), .path = "/x"},
            {.name = "owner's node", .target = bench.vm("owner").callerEndpoint(), .path = "/s/x"},
            {.name = "another node", .target = bench.vm("other").callerEndpoint(), .path = "/s/x"}};
    const auto nodeCpuSeconds = [&bench] {
        return processUsage(bench.vm("owner").node.pid()).cpuSeconds
               + processUsage(bench.vm("other").node.pid()).cpuSeconds;
    };
    // The first round is a warm-up in which the owner's limit grows; it is not counted.
    for (std::uint32_t round = 0; round <= FLAGS_rounds; ++round) {
        for (CallPath &callPath : callPaths) {
            const double before = nodeCpuSeconds();
            const LoadGenerator load(
                    bench.http(), bench.timers(),
                    LoadPlan{.targets = {callPath.target},
                             .request = {.method = FLAGS_method, .target = callPath.path},
                             .requestsPerSecond = FLAGS_per_second,
                             .duration = std::chrono::seconds(FLAGS_seconds),
                             .idPrefix = joinText(callPath.name, round)});
            while (!load.isFinished())
                g_main_context_iteration(nullptr, TRUE);
            if (round == 0)
                continue;
            callPath.cpuSeconds += nodeCpuSeconds() - before;
            callPath.results.insert(callPath.results.end(), load.results().begin(),
                                    load.results().end());
        }
    }
    for (const CallPath &callPath : callPaths) {
        const auto successes = std::count_if(callPath.results.begin(), callPath.results.end(),
                                             [](const LoadResult &r) { return r.status == 200; });
        std::printf("| %s | %.0f/s | %zu | %.2f%% | %.2f | %.2f | %.3f |\n", callPath.name,
                    FLAGS_per_second, callPath.results.size(),
                    100.0 * double(successes) / double(callPath.results.size()),
                    latencyQuantile(callPath.results, 0.5), latencyQuantile(callPath.results, 0.99),
                    1000.0 * callPath.cpuSeconds / double(callPath.results.size()));
    }
    return 0;
}
