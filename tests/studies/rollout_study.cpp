// Simulates the judgement of rollouts over many seeds, and prints how often faulty versions are
// missed and sound ones are declared faulty. The argument is the first of the seeds.
#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <numbers>
#include <vector>

#include "core/random.h"
#include "modules/release/evidence_counter.h"
#include "modules/rollout/rollout_controller.h"

using namespace jacinthshift;

namespace {

constexpr std::uint64_t SeedCount = 100;
constexpr std::array<std::uint64_t, 3> RequestBounds = {100, 200, 400};
constexpr int OwnersOfStable = 4;
constexpr int OwnersOfCandidate = 2;
constexpr std::uint64_t RouteCount = 4;
constexpr double CanaryShare = 0.06;
constexpr double ReportPeriod = 0.2;                // Seconds.
constexpr std::uint64_t WarmUpStableRequests = 200; // Before the candidate gets any.
constexpr double MedianServiceTime = 0.12;          // Seconds.
constexpr double ServiceTimeDeviation = 0.35; // 95% of service times are within a factor of two.
constexpr double TailFraction = 0.02;
constexpr double TailFactor = 4.0;
constexpr std::uint64_t LateFaultRequests = 100; // Candidate requests before a late fault.
constexpr double LoadPeriod = 5.0;               // Seconds of normal and of double load, in turn.
constexpr double ColdTime = 3.0;                 // Seconds.
constexpr double ColdFactor = 2.0;

enum class Kind {
    Errors,
    SlowFourTimes,
    SlowEightTimes,
    OneRoute,
    Late,
    UnderLoad,
    Sound,
    SoundUnequal,
    SoundCold,
};

const char *kindName(Kind kind)
{
    switch (kind) {
    case Kind::Errors:
        return "errors";
    case Kind::SlowFourTimes:
        return "slow x4";
    case Kind::SlowEightTimes:
        return "slow x8";
    case Kind::OneRoute:
        return "errors, one route of 4";
    case Kind::Late:
        return "errors, late";
    case Kind::UnderLoad:
        return "errors, under load";
    case Kind::Sound:
        return "sound";
    case Kind::SoundUnequal:
        return "sound, servers differ by 30%";
    case Kind::SoundCold:
        return "sound, cold for 3 s";
    }
    return "";
}

struct StudyOptions
{
    Kind kind = Kind::Sound;
    double badShare = 0.0;
    double requestsPerSecond = 60.0;
    /** Resets, restarts of owners, and reports that are lost, delayed and doubled. */
    bool disturbed = false;
    std::uint64_t seed = 1;
};

struct StudyResult
{
    bool found = false;
    std::uint64_t candidateRequests = 0; ///< Until it was found, since a late fault began.
    std::uint64_t badAnswers = 0;
};

/** A request that an owner runs. */
struct Running
{
    double startedAt = 0.0;
    double endsAt = 0.0;
    bool fails = false;
    std::size_t route = 0;
};

struct Owner
{
    VersionEvidenceMessage report;
    std::vector<Running> running;
    double speed = 1.0;
    double nextRestart = 0.0;
};

struct DelayedReport
{
    double at = 0.0;
    VersionEvidenceMessage report;
};

std::chrono::microseconds toMicroseconds(double seconds)
{
    return std::chrono::microseconds(static_cast<std::int64_t>(seconds * 1e6));
}

class Simulation
{
    StudyOptions m_options;
    Random m_random;
    RolloutJudge m_judge{"v2", RolloutControllerOptions{}.detector};
    std::vector<Owner> m_owners; ///< Those of the stable version first.
    std::vector<DelayedReport> m_delayed;
    double m_now = 0.0;
    double m_candidateSince = -1.0;
    std::uint64_t m_stableRequests = 0;
    std::uint64_t m_candidateRequests = 0;
    std::uint64_t m_badAnswers = 0;

    double exponential(double mean) { return -mean * std::log(1.0 - m_random.uniform()); }

    double serviceTime()
    {
        const double normal = std::sqrt(-2.0 * std::log(1.0 - m_random.uniform()))
                              * std::cos(2.0 * std::numbers::pi * m_random.uniform());
        const double tail = m_random.uniform() < TailFraction ? TailFactor : 1.0;
        return MedianServiceTime * tail * std::exp(ServiceTimeDeviation * normal);
    }

    bool isLoadDouble() const { return std::fmod(m_now, 2.0 * LoadPeriod) >= LoadPeriod; }

    /** Returns whether a request to the candidate meets its fault. */
    bool isBad(std::size_t route)
    {
        if (m_options.kind == Kind::OneRoute && route != 0)
            return false;
        if (m_options.kind == Kind::Late && m_candidateRequests <= LateFaultRequests)
            return false;
        if (m_options.kind == Kind::UnderLoad && !isLoadDouble())
            return false;
        return m_random.uniform() < m_options.badShare;
    }

    void send()
    {
        const bool candidate =
                m_stableRequests >= WarmUpStableRequests && m_random.uniform() < CanaryShare;
        const std::uint64_t index = candidate ? OwnersOfStable + m_random.below(OwnersOfCandidate)
                                              : m_random.below(OwnersOfStable);
        Owner &owner = m_owners[index];
        const std::size_t route = m_random.below(RouteCount);
        Running request{.startedAt = m_now, .route = route};
        double time = serviceTime() / owner.speed;
        if (candidate) {
            ++m_candidateRequests;
            if (m_candidateSince < 0.0)
                m_candidateSince = m_now;
            if (m_options.kind == Kind::SoundCold && m_now < m_candidateSince + ColdTime)
                time *= ColdFactor;
            if (isBad(route)) {
                ++m_badAnswers;
                if (m_options.kind == Kind::SlowFourTimes)
                    time *= 4.0;
                else if (m_options.kind == Kind::SlowEightTimes)
                    time *= 8.0;
                else
                    request.fails = true;
            }
        } else {
            ++m_stableRequests;
        }
        if (m_options.disturbed && m_random.uniform() < 0.05) {
            request.fails = true;
            time *= m_random.uniform();
        }
        request.endsAt = m_now + time;
        owner.running.push_back(request);
    }

    void finishRequests(Owner &owner)
    {
        for (const Running &request : owner.running) {
            if (request.endsAt > m_now)
                continue;
            ArmEvidence &counts = owner.report.routes[request.route].counts;
            ++counts.requests;
            if (request.fails)
                ++counts.failures;
            else
                ++counts.latency[latencyBucket(toMicroseconds(request.endsAt - request.startedAt))];
        }
        std::erase_if(owner.running,
                      [this](const Running &request) { return request.endsAt <= m_now; });
    }

    void restart(Owner &owner)
    {
        ++owner.report.incarnation;
        owner.report.sequence = 0;
        for (VersionEvidence &route : owner.report.routes)
            route.counts = ArmEvidence();
        owner.running.clear();
    }

    void deliver(Owner &owner)
    {
        ++owner.report.sequence;
        if (!m_options.disturbed) {
            m_judge.addReport(owner.report);
            return;
        }
        const double chance = m_random.uniform();
        if (chance < 0.2)
            return;
        if (chance < 0.4) {
            m_delayed.push_back({.at = m_now + 1.0, .report = owner.report});
            return;
        }
        m_judge.addReport(owner.report);
        if (chance < 0.5)
            m_judge.addReport(owner.report);
    }

    void report()
    {
        for (Owner &owner : m_owners) {
            finishRequests(owner);
            if (m_options.disturbed && m_now >= owner.nextRestart) {
                restart(owner);
                owner.nextRestart = m_now + exponential(15.0);
            }
            deliver(owner);
        }
        for (const DelayedReport &delayed : m_delayed) {
            if (delayed.at <= m_now)
                m_judge.addReport(delayed.report);
        }
        std::erase_if(m_delayed,
                      [this](const DelayedReport &delayed) { return delayed.at <= m_now; });
    }

public:
    explicit Simulation(const StudyOptions &options) : m_options(options), m_random(options.seed)
    {
        for (int i = 0; i < OwnersOfStable + OwnersOfCandidate; ++i) {
            Owner owner;
            owner.report.node = "n" + std::to_string(i);
            owner.report.backend = owner.report.node;
            owner.report.version = i < OwnersOfStable ? "v1" : "v2";
            owner.report.routes.resize(RouteCount);
            for (std::size_t route = 0; route < RouteCount; ++route)
                owner.report.routes[route].route = "r" + std::to_string(route);
            if (options.kind == Kind::SoundUnequal)
                owner.speed = 0.7 + 0.6 * m_random.uniform();
            owner.nextRestart = exponential(15.0);
            m_owners.push_back(std::move(owner));
        }
    }

    StudyResult run()
    {
        double nextReport = ReportPeriod;
        const std::uint64_t before = m_options.kind == Kind::Late ? LateFaultRequests : 0;
        while (m_candidateRequests < before + RequestBounds.back()) {
            const double rate = m_options.requestsPerSecond
                                * (m_options.kind == Kind::UnderLoad && isLoadDouble() ? 2.0 : 1.0);
            const double next = m_now + exponential(1.0 / rate);
            for (; nextReport <= next; nextReport += ReportPeriod) {
                m_now = nextReport;
                report();
                if (!m_judge.fault().empty())
                    return {.found = true,
                            .candidateRequests =
                                    m_candidateRequests - std::min(m_candidateRequests, before),
                            .badAnswers = m_badAnswers};
            }
            m_now = next;
            send();
        }
        return {.candidateRequests = RequestBounds.back(), .badAnswers = m_badAnswers};
    }
};

void printRow(const StudyOptions &row, std::uint64_t firstSeed)
{
    std::array<std::uint64_t, RequestBounds.size()> missed{};
    std::uint64_t found = 0;
    std::vector<std::uint64_t> badAnswers;
    for (std::uint64_t seed = firstSeed; seed < firstSeed + SeedCount; ++seed) {
        StudyOptions options = row;
        options.seed = seed;
        const StudyResult result = Simulation(options).run();
        found += result.found ? 1 : 0;
        badAnswers.push_back(result.badAnswers);
        for (std::size_t i = 0; i < RequestBounds.size(); ++i)
            missed[i] += !result.found || result.candidateRequests > RequestBounds[i] ? 1 : 0;
    }
    std::sort(badAnswers.begin(), badAnswers.end());
    const bool sound = row.badShare == 0.0;
    std::printf("| %s | %s | %.1f | %.0f |", kindName(row.kind), row.disturbed ? "yes" : "no",
                row.badShare, row.requestsPerSecond);
    if (sound)
        std::printf(" | | | | | %lu |\n", found);
    else
        std::printf(" %lu | %lu | %lu | %lu | %lu | |\n", missed[0], missed[1], missed[2],
                    badAnswers[SeedCount / 2], badAnswers[SeedCount * 95 / 100]);
    std::fflush(stdout);
}

} // namespace

int main(int argc, char **argv)
{
    const std::uint64_t firstSeed = argc > 1 ? std::strtoull(argv[1], nullptr, 10) : 1;
    std::printf("Of %lu rollouts each; missed: within so many requests to the new version.\n\n",
                SeedCount);
    std::printf("| version | disturbed | bad share | req/s | missed in 100 | 200 | 400 |"
                " bad answers p50 | p95 | withdrawn in 400 |\n"
                "|---|---|---|---|---|---|---|---|---|---|\n");
    for (const bool disturbed : {false, true}) {
        for (const Kind kind : {Kind::Errors, Kind::SlowFourTimes, Kind::SlowEightTimes,
                                Kind::OneRoute, Kind::Late, Kind::UnderLoad}) {
            for (const double badShare : {0.3, 0.4, 0.5, 0.6}) {
                for (const double rate : {2.0, 10.0, 60.0, 400.0})
                    printRow({.kind = kind,
                              .badShare = badShare,
                              .requestsPerSecond = rate,
                              .disturbed = disturbed},
                             firstSeed);
            }
        }
        for (const Kind kind : {Kind::Sound, Kind::SoundUnequal, Kind::SoundCold}) {
            for (const double rate : {2.0, 10.0, 60.0, 400.0})
                printRow({.kind = kind, .requestsPerSecond = rate, .disturbed = disturbed},
                         firstSeed);
        }
    }
    return 0;
}
