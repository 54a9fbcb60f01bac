// Measures the convergence time and the control-plane cost of a mesh of a given size.
//
// mesh_study --nodes=N --domains=D --records=R [--readers=K] [--storm]
// Each node runs as a process. Records of about a kilobyte are appended directly to the log, and
// the time at which a node installed them is read from the node's log file. If --readers is as
// large as a failure domain, every node polls the log itself, which is the baseline. With --storm,
// half of the nodes are killed and restarted at once while records are being appended.
//
// Prints one table row: nodes; services; mode; quantiles 0.5, 0.99, 0.999 and 1 of the time from
// append to install in ms; missing installs; then per node, each idle and while records are
// appended, link bytes per second (sent and received) and percent of a core; then per node
// megabytes of resident memory and links; and the numbers of appends and reads of the log.
#include <algorithm>
#include <cstdio>
#include <map>

#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

#include "core/duration.h"
#include "core/text.h"
#include "modules/config/config_codec.h"
#include "tests/studies/process_usage.h"
#include "tests/support/mesh_bench.h"

DEFINE_uint32(nodes, 40, "number of nodes");
DEFINE_uint32(domains, 4, "number of failure domains");
DEFINE_uint32(records, 20, "number of records to append");
DEFINE_uint32(services, 100, "number of services that are published first");
DEFINE_uint32(readers, 2, "nodes per failure domain that read the log");
DEFINE_uint32(gap_ms, 200, "time between two records in milliseconds");
DEFINE_uint32(log_delay_ms, 0, "delay of the log's responses in milliseconds");
DEFINE_bool(storm, false, "during the run, kill and restart half of the nodes");
DEFINE_bool(kill_readers, false, "during the run, kill all nodes that read the log");

using namespace jacinthshift;

namespace {

constexpr std::chrono::milliseconds SettleTime{6'000};

ServiceSpec makeServiceSpec(std::uint32_t number, std::uint32_t version)
{
    ServiceSpec spec{.name = joinText("service-", number), .version = joinText("v", version)};
    for (int route = 0; route < 8; ++route)
        spec.routes.push_back(RouteSpec{.prefix = joinText("/resource/of/some/length/", route),
                                        .methods = {"GET", "HEAD"},
                                        .idempotent = true});
    return spec;
}

void appendRecord(MeshBench &bench, const PublishRecord &publish, std::uint64_t number)
{
    const ConfigRecord record{.header = {.id = joinText("study-", number), .author = "study"},
                              .body = publish};
    bench.exchange(bench.logEndpoint(),
                   HttpRequest{.method = "POST",
                               .target = "/streams/config/records",
                               .body = ConfigCodec::encodeRecord(record)},
                   std::chrono::seconds(5));
}

std::int64_t unixMillisecondsNow()
{
    return unixMilliseconds(std::chrono::system_clock::now());
}

/** Parses a node's log and returns when each version was first installed, in Unix milliseconds. */
std::map<std::uint64_t, std::int64_t> installTimes(const std::vector<std::string> &lines)
{
    std::map<std::uint64_t, std::int64_t> times;
    std::uint64_t lastVersion = 0;
    for (const std::string &line : lines) {
        const std::size_t position = line.find("ConfigInstalled version=");
        if (position == std::string::npos)
            continue;
        const std::uint64_t version = std::strtoull(line.c_str() + position + 24, nullptr, 10);
        const std::int64_t time = std::strtoll(line.c_str(), nullptr, 10);
        // A batch is logged once, with its last version, and puts all its versions in force.
        for (std::uint64_t v = lastVersion + 1; v <= version; ++v)
            times.emplace(v, time);
        lastVersion = std::max(lastVersion, version);
    }
    return times;
}

double readMetric(MeshBench &bench, Vm &vm, const std::string &name)
{
    const HttpResult result = bench.exchange(vm.localEndpoint(), HttpRequest{.target = "/metrics"},
                                             std::chrono::seconds(2));
    const std::size_t position = result.response.body.string().find("jacinthshift_" + name + " ");
    return position == std::string::npos ? 0.0
                                         : std::strtod(result.response.body.string().c_str()
                                                               + position + name.size() + 14,
                                                       nullptr);
}

/** Usage summed over all nodes. linkBytes counts a byte at its sender and at its receiver. */
struct NodeTotals
{
    double cpuSeconds = 0.0;
    double linkBytes = 0.0;
    double residentMegabytes = 0.0;
    double links = 0.0;
};

NodeTotals measure(MeshBench &bench)
{
    NodeTotals totals;
    for (const std::string &name : bench.vmNames()) {
        Vm &vm = bench.vm(name);
        const ProcessUsage usage = processUsage(vm.node.pid());
        totals.cpuSeconds += usage.cpuSeconds;
        totals.residentMegabytes += usage.residentMegabytes;
        totals.linkBytes += readMetric(bench, vm, "link_sent_bytes_total")
                            + readMetric(bench, vm, "link_received_bytes_total");
        totals.links += readMetric(bench, vm, "links");
    }
    return totals;
}

double quantile(std::vector<double> values, double fraction)
{
    std::sort(values.begin(), values.end());
    return values.empty() ? 0.0
                          : values[static_cast<std::size_t>(fraction * double(values.size() - 1))];
}

void injectFaults(MeshBench &bench, std::uint32_t record)
{
    const std::vector<std::string> names = bench.vmNames();
    if (FLAGS_storm && record == FLAGS_records / 2) {
        for (std::size_t i = 0; i < names.size(); i += 2) {
            bench.vm(names[i]).node.signal(9);
            bench.vm(names[i]).node.wait();
        }
        for (std::size_t i = 0; i < names.size(); i += 2)
            bench.startNode(bench.vm(names[i]));
    }
    if (!FLAGS_kill_readers || record != FLAGS_records / 2)
        return;
    for (const std::string &name : names) {
        const HttpResult status =
                bench.exchange(bench.vm(name).localEndpoint(), HttpRequest{.target = "/status"},
                               std::chrono::seconds(2));
        if (status.response.body.string().find("\"reads_log\":true") != std::string::npos)
            bench.vm(name).node.signal(9);
    }
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    std::vector<VmPlan> plans;
    for (std::uint32_t i = 0; i < FLAGS_nodes; ++i)
        plans.push_back(
                VmPlan{.name = joinText("n", i), .domain = joinText("d", i % FLAGS_domains)});
    MeshBench bench(JACINTHSHIFT_BINARIES, plans,
                    joinText("readers_per_domain: ", FLAGS_readers, "\n"));
    bench.discardFiles();
    if (!bench.startPlatform())
        return 1;
    PublishRecord base;
    for (std::uint32_t i = 0; i < FLAGS_services; ++i)
        base.changes.push_back(ServiceChange{.spec = makeServiceSpec(i, 1)});
    appendRecord(bench, base, 0);
    for (const std::string &name : bench.vmNames())
        bench.startNode(bench.vm(name));
    bench.pause(SettleTime);
    bench.exchange(bench.logEndpoint(),
                   HttpRequest{.method = "POST",
                               .target = "/control",
                               .body = joinText("{\"delay_ms\": ", FLAGS_log_delay_ms, "}")},
                   std::chrono::seconds(5));

    const NodeTotals idleStart = measure(bench);
    const std::int64_t idleStartAt = unixMillisecondsNow();
    bench.pause(SettleTime);
    const NodeTotals idleEnd = measure(bench);
    const double idleSeconds = double(unixMillisecondsNow() - idleStartAt) / 1000.0;

    std::map<std::uint64_t, std::int64_t> sentAt;
    std::uint64_t revision = 1;
    const std::int64_t busyStartAt = unixMillisecondsNow();
    for (std::uint32_t i = 0; i < FLAGS_records; ++i) {
        injectFaults(bench, i);
        const std::uint64_t version = i + 2;
        sentAt[version] = unixMillisecondsNow();
        appendRecord(bench,
                     PublishRecord{.changes = {{.spec = makeServiceSpec(0, i + 2),
                                                .baseRevision = revision}}},
                     version);
        revision = version;
        bench.pause(std::chrono::milliseconds(FLAGS_gap_ms));
    }
    const NodeTotals busyEnd = measure(bench);
    const double busySeconds = double(unixMillisecondsNow() - busyStartAt) / 1000.0;
    bench.pause(SettleTime);

    std::vector<double> delays;
    int missingInstalls = 0;
    for (const std::string &name : bench.vmNames()) {
        if (!bench.vm(name).node.isRunning())
            continue;
        const std::map<std::uint64_t, std::int64_t> times =
                installTimes(bench.lines(name + ".log"));
        for (const auto &[version, sent] : sentAt) {
            const auto found = times.find(version);
            if (found == times.end())
                ++missingInstalls;
            else
                delays.push_back(double(found->second - sent));
        }
    }
    const HttpResult control = bench.exchange(
            bench.logEndpoint(), HttpRequest{.method = "POST", .target = "/control", .body = "{}"},
            std::chrono::seconds(2));
    const double nodes = FLAGS_nodes;
    std::printf(
            "| %u | %u | %s%s | %.0f | %.0f | %.0f | %.0f | %d | %.0f | %.0f | %.2f | %.2f | %.1f "
            "| %.1f | %s |\n",
            FLAGS_nodes, FLAGS_services, FLAGS_readers > 2 ? "all poll" : "tree",
            FLAGS_storm          ? ", storm"
            : FLAGS_kill_readers ? ", readers killed"
            : FLAGS_log_delay_ms ? ", slow log"
                                 : "",
            quantile(delays, 0.5), quantile(delays, 0.99), quantile(delays, 0.999),
            quantile(delays, 1.0), missingInstalls,
            (idleEnd.linkBytes - idleStart.linkBytes) / nodes / idleSeconds,
            (busyEnd.linkBytes - idleEnd.linkBytes) / nodes / busySeconds,
            100.0 * (idleEnd.cpuSeconds - idleStart.cpuSeconds) / nodes / idleSeconds,
            100.0 * (busyEnd.cpuSeconds - idleEnd.cpuSeconds) / nodes / busySeconds,
            busyEnd.residentMegabytes / nodes, busyEnd.links / nodes,
            control.response.body.string().c_str());
    return missingInstalls == 0 ? 0 : 1;
}
