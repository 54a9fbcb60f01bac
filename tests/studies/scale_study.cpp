// Measures the control-plane work of one node at the target scale, in a single process: the member
// table, gossip and the node's place in the distribution tree with all members at the target's rate
// of changes, and applying config records with all services.
#include <cstdio>
#include <ctime>
#include <fstream>

#include "core/text.h"
#include "modules/config/config_codec.h"
#include "modules/distribution/distributor.h"
#include "modules/gossip/member_gossip.h"
#include "tests/studies/process_usage.h"
#include "tests/support/manual_timer_service.h"

#include <unistd.h>

using namespace jacinthshift;

namespace {

constexpr std::uint32_t DomainCount = 27;
constexpr int SimulatedSeconds = 60;
// 3,300 restarts per day, each with four changes: node stop, node start and two of the backend
// server.
constexpr double ChangesPerSecond = 3'300.0 * 4.0 / 86'400.0;

/** A transport whose links never open. */
class UnconnectedTransport final : public LinkTransport
{
    std::uint64_t m_lastLinkId = 0;

public:
    absl::Status start(LinkObserver &) override { return absl::OkStatus(); }
    LinkId connect(const Endpoint &) override { return static_cast<LinkId>(++m_lastLinkId); }
    bool send(LinkId, const std::string &) override { return false; }
    bool sendUncompressed(LinkId, const std::string &) override { return false; }
    std::size_t queuedBytes(LinkId) const override { return 0; }
    std::size_t unacknowledgedBytes(LinkId) const override { return 0; }
    void setCompression(LinkId, bool) override {}
    void close(LinkId) override {}
};

/** A log client whose calls never complete. */
class UnresponsiveLog final : public LogClient
{
public:
    void append(const std::string &, const std::string &, AppendCallback) override {}
    void read(const LogReadRequest &, ReadCallback) override {}
};

double cpuSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

MemberRecord makeMember(std::uint32_t number, std::uint64_t sequence)
{
    return MemberRecord{.node = joinText("vm-of-some-length-", number),
                        .domain = joinText("domain-", number % DomainCount),
                        .links = {joinText("127.", number / 62'500, ".", number / 250 % 250, ".",
                                           number % 250 + 1),
                                  7000},
                        .incarnation = 1'796'000'000'000ULL + number,
                        .sequence = sequence,
                        .backend = BackendState::Ready,
                        .service = joinText("service-", number % 2'800),
                        .version = "v1",
                        .slots = 20};
}

void measureMembers(std::uint32_t members)
{
    const double before = processUsage(getpid()).residentMegabytes;
    ManualTimerService timers;
    UnconnectedTransport transport;
    UnresponsiveLog log;
    ConfigStore store;
    MemberTable table({.self = "vm-of-some-length-0"}, timers);
    PeerNetwork network({}, transport, timers, table, [] { return AppliedVersion{}; });
    MemberGossip gossip({.node = "vm-of-some-length-0", .domain = "domain-0"}, table, network,
                        timers);
    Distributor distributor({.node = "vm-of-some-length-0", .domain = "domain-0"}, store, network,
                            table, log, timers);
    const double fillStart = cpuSeconds();
    table.setSelf(makeMember(0, 0));
    for (std::uint32_t i = 1; i < members; ++i)
        table.merge(makeMember(i, 0));
    table.takeChangedRecords();
    const double fillSeconds = cpuSeconds() - fillStart;
    timers.advance(std::chrono::seconds(2));
    const double residentMegabytes = processUsage(getpid()).residentMegabytes - before;
    const double start = cpuSeconds();
    double dueChanges = 0.0;
    std::uint64_t sequence = 0;
    std::size_t mergedChanges = 0;
    for (int second = 0; second < SimulatedSeconds; ++second) {
        dueChanges += ChangesPerSecond;
        for (; dueChanges >= 1.0; dueChanges -= 1.0) {
            ++sequence;
            MemberRecord changed = makeMember(
                    1 + static_cast<std::uint32_t>(sequence) * 37 % (members - 1), sequence);
            changed.status = sequence % 2 == 0 ? MemberStatus::Alive : MemberStatus::Left;
            mergedChanges += table.merge(changed) ? 1 : 0;
        }
        timers.advance(std::chrono::seconds(1));
    }
    const double usedSeconds = cpuSeconds() - start;
    std::printf("| members | %u | %.1f MB | %.3f s to fill | %.2f %% of a core |\n", members,
                residentMegabytes, fillSeconds, 100.0 * usedSeconds / SimulatedSeconds);
    (void)mergedChanges;
}

void measureConfigStore(std::uint32_t services)
{
    const double before = processUsage(getpid()).residentMegabytes;
    ConfigStore store;
    std::uint64_t offset = 0;
    std::vector<std::uint64_t> revisions(services, 0);
    const auto publish = [&](std::uint32_t number, std::uint32_t version) {
        ServiceSpec spec{.name = joinText("service-", number), .version = joinText("v", version)};
        for (int route = 0; route < 8; ++route)
            spec.routes.push_back(RouteSpec{.prefix = joinText("/resource/of/some/length/", route),
                                            .methods = {"GET", "HEAD"}});
        const PublishRecord body{.changes = {{.spec = spec, .baseRevision = revisions[number]}}};
        ++offset;
        revisions[number] = offset;
        return LogRecord{
                .offset = offset,
                .payload = ConfigCodec::encodeRecord(ConfigRecord{
                        .header = {.id = joinText("r", offset), .author = "a"}, .body = body})};
    };
    for (std::uint32_t i = 0; i < services; ++i)
        (void)store.applyRecords({publish(i, 1)});
    const double residentMegabytes = processUsage(getpid()).residentMegabytes - before;
    constexpr std::uint32_t ChangeCount = 500;
    std::vector<LogRecord> records;
    for (std::uint32_t i = 0; i < ChangeCount; ++i)
        records.push_back(publish(i % services, 2 + i / services));
    std::size_t bytes = 0;
    const double start = cpuSeconds();
    for (const LogRecord &record : records) {
        (void)store.applyRecords({record});
        bytes += record.payload.size();
    }
    const double secondsPerRecord = (cpuSeconds() - start) / ChangeCount;
    const double snapshotStart = cpuSeconds();
    const std::string snapshot = store.snapshot();
    const double encodeSeconds = cpuSeconds() - snapshotStart;
    const double decodeStart = cpuSeconds();
    const bool good = ConfigCodec::decodeSnapshot(snapshot).ok();
    std::printf(
            "| services | %u | %.1f MB | %.0f us a record of %zu bytes | snapshot %.2f MB, %.0f "
            "ms to write, %.0f ms to read%s |\n",
            services, residentMegabytes, 1e6 * secondsPerRecord, bytes / ChangeCount,
            double(snapshot.size()) / 1048576.0, 1000.0 * encodeSeconds,
            1000.0 * (cpuSeconds() - decodeStart), good ? "" : " (bad)");
}

} // namespace

int main()
{
    // Largest first: freed memory is reused, so a later, larger run would show too little growth.
    for (const std::uint32_t members : {25'000U, 5'000U, 1'000U})
        measureMembers(members);
    for (const std::uint32_t services : {2'800U, 700U, 100U})
        measureConfigStore(services);
    return 0;
}
