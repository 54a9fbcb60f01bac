#include "tests/soak/promises.h"

#include <algorithm>
#include <set>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int StatusNotFound = 404;
// Single cases that the rules allow for requests that cross a close or a caller's leaving.
constexpr std::size_t FewCases = 3;

bool promisesNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/** Looks at everything that a soak saw, one promise after the other. */
class Examination
{
    const Ledger &m_ledger;
    const PromiseBounds &m_bounds;
    std::map<std::string, std::vector<const Run *>> m_runs; ///< By request.
    std::vector<std::string> m_broken;

    void broken(const std::string &promise, const std::string &what)
    {
        m_broken.push_back(joinText(promise, ": ", what));
    }

    const Attempt *attemptOf(const std::string &id) const
    {
        const auto found = m_ledger.attemptById.find(id);
        return found == m_ledger.attemptById.end() ? nullptr : &m_ledger.attempts[found->second];
    }

    void checkAnswers();
    void checkArrivals();
    void checkDrains();
    void checkTakeOuts();
    void checkColdSpells();
    void checkRetryBudget();
    void checkConfigs();
    void checkGracefulStops();
    void checkLeavers();

public:
    Examination(const Ledger &ledger, const PromiseBounds &bounds);

    std::vector<std::string> run();
};

Examination::Examination(const Ledger &ledger, const PromiseBounds &bounds)
    : m_ledger(ledger), m_bounds(bounds)
{
    for (const Run &run : ledger.runs)
        m_runs[run.id].push_back(&run);
}

std::vector<std::string> Examination::run()
{
    m_broken = m_ledger.incidents;
    checkAnswers();
    checkArrivals();
    checkDrains();
    checkTakeOuts();
    checkColdSpells();
    checkRetryBudget();
    checkConfigs();
    checkGracefulStops();
    checkLeavers();
    return std::move(m_broken);
}

void Examination::checkAnswers()
{
    for (const Attempt &attempt : m_ledger.attempts) {
        const auto found = m_runs.find(attempt.id);
        const std::size_t runs = found == m_runs.end() ? 0 : found->second.size();
        if (!attempt.idempotent && runs > 1)
            broken("at most once", joinText(attempt.id, " ran ", runs, " times"));
        if (promisesNotRun(attempt.status) && runs > 0)
            broken("not run",
                   joinText(attempt.id, " answered ", attempt.status, " ran ", runs, " times"));
        if (attempt.status == 200 && !attempt.whole)
            broken("whole answer", joinText(attempt.id, " has an answer that is not its own"));
        if (attempt.status == 200 && runs == 0)
            broken("whole answer", joinText(attempt.id, " has an answer and did not run"));
    }
}

void Examination::checkArrivals()
{
    for (const Arrival &arrival : m_ledger.arrivals) {
        const Attempt *attempt = attemptOf(arrival.id);
        if (attempt == nullptr || attempt->target != arrival.target) {
            broken("unasked", joinText(arrival.id, " was not sent, or to another path"));
            continue;
        }
        if (arrival.callerService != attempt->callerService)
            broken("unasked", joinText(arrival.id, " names ", arrival.callerService,
                                       " as its caller's service"));
        if (arrival.service != attempt->service)
            broken("route", joinText(arrival.id, " reached a backend server of ", arrival.service));
        const SteadyTime due = attempt->sentAt + attempt->timeout + m_bounds.deadlineSlack;
        // A request may wait unread at a node that does not run, the caller's or the owner's.
        const SteadyTime since = attempt->sentAt - m_bounds.contact;
        const bool calm = m_ledger.isCalm(attempt->node, since, arrival.at)
                          && m_ledger.isCalm(arrival.node, since, arrival.at);
        if (arrival.left.count() < 0 || (calm && arrival.at + arrival.left > due))
            broken("deadline", joinText(arrival.id, " was given ", arrival.left.count(), " ms"));
    }
}

void Examination::checkDrains()
{
    for (const Arrival &arrival : m_ledger.arrivals) {
        const auto drain = m_ledger.drains.find(arrival.backend);
        const Attempt *attempt = attemptOf(arrival.id);
        if (drain == m_ledger.drains.end() || attempt == nullptr)
            continue;
        if (arrival.at > drain->second + m_bounds.drain)
            broken("drain",
                   joinText(arrival.id, " reached ", arrival.backend, " after it had left"));
    }
}

void Examination::checkTakeOuts()
{
    for (const TakeOut &out : m_ledger.takeOuts) {
        for (const Arrival &arrival : m_ledger.arrivals) {
            const Attempt *attempt = attemptOf(arrival.id);
            const SteadyTime due = out.from + m_bounds.evacuate;
            const bool within =
                    arrival.domain == out.domain && arrival.at > due && arrival.at < out.until;
            if (!within || attempt == nullptr
                || !m_ledger.isCalm(std::nullopt, out.from - m_bounds.contact, arrival.at))
                continue;
            broken("taken out",
                   joinText(arrival.id, " reached ", arrival.backend, " in ", out.domain));
        }
    }
}

void Examination::checkColdSpells()
{
    const auto most = static_cast<std::size_t>(m_bounds.coldPerSecond * m_bounds.coldFactor)
                      + m_bounds.coldSlack;
    for (const auto &[backend, spell] : m_ledger.coldSpells) {
        std::vector<SteadyTime> times;
        for (const Arrival &arrival : m_ledger.arrivals) {
            if (arrival.backend == backend && arrival.at >= spell.from && arrival.at < spell.until)
                times.push_back(arrival.at);
        }
        for (std::size_t i = most; i < times.size(); ++i) {
            if (times[i] - times[i - most] >= std::chrono::seconds(1))
                continue;
            broken("cold", joinText(backend, " got more than ", most, " requests in a second"));
            break;
        }
    }
}

void Examination::checkRetryBudget()
{
    std::map<std::string, std::vector<SteadyTime>> requests;
    for (const Attempt &attempt : m_ledger.attempts)
        requests[attempt.service].push_back(attempt.sentAt);
    std::map<std::string, std::vector<SteadyTime>> repeats;
    std::set<std::string> seen;
    for (const Arrival &arrival : m_ledger.arrivals) {
        if (!seen.insert(arrival.id).second)
            repeats[arrival.service].push_back(arrival.at);
    }
    const auto countIn = [](const std::vector<SteadyTime> &times, SteadyTime from,
                            SteadyTime until) {
        return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), until)
                                        - std::lower_bound(times.begin(), times.end(), from));
    };
    for (const auto &[service, times] : repeats) {
        for (const SteadyTime &start : times) {
            const std::size_t count = countIn(times, start, start + m_bounds.budgetWindow);
            const std::size_t sent =
                    std::max(countIn(requests[service], start, start + m_bounds.budgetWindow),
                             countIn(requests[service], start - m_bounds.budgetWindow, start));
            const double most = m_bounds.retryRatio * static_cast<double>(sent)
                                + static_cast<double>(m_bounds.retrySlack);
            if (static_cast<double>(count) <= most)
                continue;
            broken("retry budget",
                   joinText(service, " got ", count, " repeats of ", sent, " requests"));
            break;
        }
    }
}

void Examination::checkConfigs()
{
    // The newest configuration whose effect was seen at a node, by node and process.
    std::map<std::pair<std::size_t, std::uint32_t>, std::map<SteadyTime, std::uint64_t>> seen;
    for (const Attempt &attempt : m_ledger.attempts) {
        if (attempt.status == 200 && attempt.addedIn > 0)
            seen[{attempt.node, attempt.life}][*attempt.endedAt] = attempt.addedIn;
    }
    for (const Attempt &attempt : m_ledger.attempts) {
        if (attempt.status != StatusNotFound)
            continue;
        if (attempt.addedIn == 0) {
            broken("denied", joinText(attempt.id, " is on a route of all configurations"));
            continue;
        }
        for (const auto &[at, version] : seen[{attempt.node, attempt.life}]) {
            if (version >= attempt.addedIn && at + m_bounds.rollbackSlack < attempt.sentAt) {
                broken("no way back", joinText(attempt.id, " found no route of version ",
                                               attempt.addedIn, " after version ", version));
                break;
            }
        }
        const SteadyTime acknowledged = m_ledger.configs.at(attempt.addedIn);
        const SteadyTime due = acknowledged + m_bounds.configApply;
        if (attempt.sentAt > due
            && m_ledger.isCalm(std::nullopt, acknowledged - m_bounds.contact, attempt.sentAt))
            broken("in force", joinText(attempt.id, " found no route of version ", attempt.addedIn,
                                        " though it was due"));
    }
}

void Examination::checkGracefulStops()
{
    for (const Disturbance &stop : m_ledger.disturbances) {
        if (stop.kind != "stop" || !stop.node)
            continue;
        for (const Attempt &attempt : m_ledger.attempts) {
            const bool cut = attempt.node == *stop.node && attempt.endedAt && !attempt.leftAt
                             && attempt.failure == HttpFailure::ConnectionLost
                             && attempt.sentAt<stop.until && * attempt.endedAt> stop.from;
            if (!cut
                || !m_ledger.isCalm(std::nullopt, attempt.sentAt - m_bounds.contact,
                                    *attempt.endedAt))
                continue;
            const auto held = *attempt.endedAt - attempt.sentAt;
            if (m_runs.contains(attempt.id) || held > m_bounds.lost)
                broken("graceful stop", joinText(attempt.id, " was cut off"));
        }
    }
}

void Examination::checkLeavers()
{
    std::size_t counted = 0;
    std::size_t late = 0;
    for (const Attempt &attempt : m_ledger.attempts) {
        const auto found = m_runs.find(attempt.id);
        if (!attempt.leftAt || !attempt.idempotent || found == m_runs.end()
            || !m_ledger.isCalm(std::nullopt, *attempt.leftAt - m_bounds.contact,
                                *attempt.leftAt + m_bounds.leaveSlack))
            continue;
        for (const Run *run : found->second) {
            ++counted;
            const SteadyTime due = *attempt.leftAt + m_bounds.leaveSlack;
            late += run->end == RunEnd::Running || *run->endedAt > due ? 1 : 0;
        }
    }
    if (late > FewCases && late * 4 > counted)
        broken("caller gone", joinText(late, " of ", counted, " runs went on"));
}

} // namespace

std::vector<std::string> brokenPromises(const Ledger &ledger, const PromiseBounds &bounds)
{
    return Examination(ledger, bounds).run();
}

} // namespace jacinthshift
