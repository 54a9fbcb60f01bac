#include "modules/usage/tests/usage_world.h"

#include <algorithm>

#include "core/text.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t Candidates = 3;
constexpr milliseconds Lease{3'000};
constexpr milliseconds TickPeriod{200};
constexpr milliseconds CallTime{4};
constexpr milliseconds CallTimeout{1'500};
constexpr milliseconds LateEffect{4'000};
constexpr milliseconds FreezeTime{8'000};
constexpr std::size_t LostWrites = 2; ///< That the copy lacks from which the register is restored.

} // namespace

class UsageWorld::NodeRegister final : public UsageRegister
{
    UsageWorld &m_world;
    std::size_t m_node;

public:
    NodeRegister(UsageWorld &world, std::size_t node) : m_world(world), m_node(node) {}

    void read(ReadCallback callback) override { m_world.read(m_node, callback); }
    void writeHolder(const UsageHolder &holder, std::uint64_t expectedEnd,
                     WriteCallback callback) override
    {
        m_world.write(
                m_node, expectedEnd, [holder](UsageRegisterState &state) { state.holder = holder; },
                callback);
    }
    void seal(const UsageReport &report, std::uint64_t expectedEnd, WriteCallback callback) override
    {
        m_world.write(
                m_node, expectedEnd,
                [report](UsageRegisterState &state) { state.sealed.push_back(report); }, callback);
    }
};

class UsageWorld::NodeReceiver final : public UsageReceiver
{
    UsageWorld &m_world;
    std::size_t m_node;

public:
    NodeReceiver(UsageWorld &world, std::size_t node) : m_world(world), m_node(node) {}

    void report(const UsageHolder &holder, const UsageReport &report,
                std::function<void(ReportOutcome)> callback) override
    {
        m_world.report(m_node, holder, report, callback);
    }
};

class UsageWorld::NodeSource final : public UsageSource
{
    UsageWorld &m_world;
    std::size_t m_node;

public:
    NodeSource(UsageWorld &world, std::size_t node) : m_world(world), m_node(node) {}

    void collect(std::uint64_t, std::function<void(UsageCounts)> callback) override
    {
        const UsageCounts counts{{"w", ++m_world.m_gathered}};
        m_world.respond(m_node, milliseconds(50), [callback, counts] { callback(counts); });
    }
    void announce(const UsageReport &report) override { m_world.announce(m_node, report); }
};

struct UsageWorld::Candidate
{
    NodeRegister usageRegister;
    NodeReceiver receiver;
    NodeSource source;
    std::unique_ptr<UsageDuty> duty;
    std::uint64_t process = 0;
    bool ended = false; ///< Killed and not started again yet.
    SteadyTime frozenUntil;

    Candidate(UsageWorld &world, std::size_t node)
        : usageRegister(world, node), receiver(world, node), source(world, node)
    {
        start(world, node);
    }
    void start(UsageWorld &world, std::size_t node)
    {
        ++process;
        ended = false;
        duty = std::make_unique<UsageDuty>(UsageDutyOptions{.node = joinText("n", node)},
                                           world.timers, usageRegister, receiver, source);
    }
};

UsageWorld::UsageWorld(const UsageFaultPlan &plan) : m_plan(plan)
{
    for (std::size_t node = 0; node < Candidates; ++node)
        m_candidates.push_back(std::make_unique<Candidate>(*this, node));
}

UsageWorld::~UsageWorld() = default;

UsageFault UsageWorld::nextFault(std::size_t node)
{
    const auto planned = m_plan.find(m_calls++);
    const UsageFault fault = planned == m_plan.end() ? UsageFault::None : planned->second;
    if (fault == UsageFault::FreezeNode)
        m_candidates[node]->frozenUntil = timers.now() + FreezeTime;
    if (fault == UsageFault::RestoreRegister)
        restoreRegister();
    if (fault == UsageFault::KillNode) {
        // The call has been sent; nobody is left for the response.
        m_candidates[node]->ended = true;
        timers.startOnce(milliseconds(500),
                         [this, node] { m_candidates[node]->start(*this, node); });
    }
    const bool isOfCall = fault == UsageFault::LoseResponse || fault == UsageFault::Drop
                          || fault == UsageFault::TakeEffectLate;
    return isOfCall ? fault : UsageFault::None;
}

void UsageWorld::restoreRegister()
{
    m_changes.resize(m_changes.size() - std::min(m_changes.size(), LostWrites));
    UsageRegisterState restored{.end = {.era = m_register.end.era + 1}};
    for (const Change &change : m_changes) {
        change(restored);
        ++restored.end.offset;
    }
    m_register = restored;
    for (std::size_t node = 0; node < m_candidates.size(); ++node)
        respond(node, milliseconds(300), [this, node] { m_candidates[node]->duty->logRestored(); });
}

absl::Status UsageWorld::tryChange(std::uint64_t expectedEnd, const Change &change)
{
    if (m_register.end.offset != expectedEnd)
        return absl::FailedPreconditionError("the register has grown");
    change(m_register);
    ++m_register.end.offset;
    m_changes.push_back(change);
    return absl::OkStatus();
}

void UsageWorld::respond(std::size_t node, milliseconds delay,
                         const std::function<void()> &callback)
{
    const std::uint64_t process = m_candidates[node]->process;
    timers.startOnce(delay, [this, node, process, callback] {
        const Candidate &candidate = *m_candidates[node];
        if (candidate.process != process || candidate.ended)
            return;
        if (candidate.frozenUntil > timers.now())
            respond(node, TickPeriod, callback);
        else
            callback();
    });
}

void UsageWorld::write(std::size_t node, std::uint64_t expectedEnd, const Change &change,
                       const UsageRegister::WriteCallback &callback)
{
    const UsageFault fault = nextFault(node);
    if (fault == UsageFault::None) {
        const absl::Status status = tryChange(expectedEnd, change);
        respond(node, CallTime, [callback, status] { callback(status); });
        return;
    }
    if (fault == UsageFault::LoseResponse)
        (void)tryChange(expectedEnd, change);
    if (fault == UsageFault::TakeEffectLate)
        timers.startOnce(LateEffect,
                         [this, expectedEnd, change] { (void)tryChange(expectedEnd, change); });
    respond(node, CallTimeout, [callback] { callback(absl::UnknownError("no response")); });
}

void UsageWorld::read(std::size_t node, const UsageRegister::ReadCallback &callback)
{
    if (nextFault(node) != UsageFault::None) {
        respond(node, CallTimeout, [callback] { callback(absl::UnavailableError("no response")); });
        return;
    }
    const UsageRegisterState state = m_register;
    respond(node, CallTime, [callback, state] { callback(state); });
}

ReportOutcome UsageWorld::receive(std::size_t node, const UsageHolder &holder,
                                  const UsageReport &report)
{
    if (holder.token < m_highestToken)
        return ReportOutcome::Fenced;
    m_highestToken = holder.token;
    accepted.push_back({.node = node, .report = report, .at = timers.now()});
    return ReportOutcome::Accepted;
}

void UsageWorld::report(std::size_t node, const UsageHolder &holder, const UsageReport &report,
                        const std::function<void(ReportOutcome)> &callback)
{
    tokens.emplace(holder.token, node);
    const UsageFault fault = nextFault(node);
    if (fault == UsageFault::None) {
        const ReportOutcome outcome = receive(node, holder, report);
        respond(node, CallTime, [callback, outcome] { callback(outcome); });
        return;
    }
    if (fault == UsageFault::LoseResponse)
        (void)receive(node, holder, report);
    if (fault == UsageFault::TakeEffectLate)
        timers.startOnce(LateEffect,
                         [this, node, holder, report] { (void)receive(node, holder, report); });
    respond(node, CallTimeout, [callback] { callback(ReportOutcome::Failed); });
}

void UsageWorld::announce(std::size_t node, const UsageReport &report)
{
    for (std::size_t other = 0; other < m_candidates.size(); ++other) {
        if (other != node)
            respond(other, milliseconds(2),
                    [this, other, report] { m_candidates[other]->duty->sealedElsewhere(report); });
    }
}

void UsageWorld::run(milliseconds time)
{
    for (milliseconds passed(0); passed < time; passed += TickPeriod) {
        timers.advance(TickPeriod);
        for (std::size_t node = 0; node < m_candidates.size(); ++node) {
            const Candidate &candidate = *m_candidates[node];
            if (!candidate.ended && candidate.frozenUntil <= timers.now())
                candidate.duty->tick(node);
        }
    }
}

std::string UsageWorld::violation() const
{
    std::map<std::uint64_t, UsageCounts> reported;
    for (const AcceptedReport &received : accepted) {
        const auto [known, isNew] =
                reported.try_emplace(received.report.window, received.report.counts);
        if (!isNew && known->second != received.report.counts)
            return joinText("two reports for window ", received.report.window);
    }
    std::map<std::uint64_t, std::size_t> nodeOfToken;
    for (const auto &[token, node] : tokens) {
        if (!nodeOfToken.try_emplace(token, node).second)
            return joinText("two nodes use token ", token);
    }
    for (std::size_t i = 0; i < accepted.size(); ++i) {
        bool hasOther = false;
        for (std::size_t j = i + 1; j < accepted.size(); ++j) {
            if (accepted[j].at - accepted[i].at >= Lease)
                break;
            if (accepted[j].node == accepted[i].node && hasOther)
                return joinText("the duty of node ", accepted[i].node,
                                " went away and came back within the lease: windows ",
                                accepted[i].report.window, " to ", accepted[j].report.window);
            hasOther = hasOther || accepted[j].node != accepted[i].node;
        }
    }
    return "";
}

std::set<std::uint64_t> UsageWorld::reportedWindows() const
{
    std::set<std::uint64_t> windows;
    for (const AcceptedReport &received : accepted)
        windows.insert(received.report.window);
    return windows;
}

} // namespace jacinthshift
