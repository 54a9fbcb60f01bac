#include "tests/soak/invariants.h"

#include <algorithm>
#include <set>

#include "core/text.h"
#include "tests/soak/fault_plan.h"

namespace jacinthshift {

namespace {

constexpr int StatusNotFound = 404;
constexpr int StatusBadGateway = 502;
// A few late runs are allowed, for requests in transit when a connection closes or a caller
// cancels.
constexpr std::size_t AllowedLateRuns = 3;

bool meansNotRun(int status)
{
    return status == 429 || status == 503 || status == 408 || status == 421;
}

/** Checks the invariants on an observation log, one after the other. */
class InvariantChecker
{
    const ObservationLog &m_observations;
    const InvariantBounds &m_bounds;
    std::map<std::string, std::vector<const Run *>> m_runs; ///< By request.
    std::vector<std::string> m_violations;

    void reportViolation(const std::string &invariant, const std::string &detail)
    {
        m_violations.push_back(joinText(invariant, ": ", detail));
    }

    const CallerRequest *findRequest(const std::string &id) const
    {
        const auto found = m_observations.requestIndexById.find(id);
        return found == m_observations.requestIndexById.end()
                       ? nullptr
                       : &m_observations.requests[found->second];
    }

    void checkResponses();
    void checkArrivals();
    void checkDrains();
    void checkTakeOuts();
    void checkColdPeriods();
    void checkRetryBudget();
    void checkConfigs();
    void checkGracefulStops();
    void checkStopsUnderLoad();
    void checkGivenUpRequests();
    void checkCancelledRequests();

public:
    InvariantChecker(const ObservationLog &observations, const InvariantBounds &bounds);

    std::vector<std::string> run();
};

InvariantChecker::InvariantChecker(const ObservationLog &observations,
                                   const InvariantBounds &bounds)
    : m_observations(observations), m_bounds(bounds)
{
    for (const Run &run : observations.runs)
        m_runs[run.id].push_back(&run);
}

std::vector<std::string> InvariantChecker::run()
{
    m_violations = m_observations.incidents;
    checkResponses();
    checkArrivals();
    checkDrains();
    checkTakeOuts();
    checkColdPeriods();
    checkRetryBudget();
    checkConfigs();
    checkGracefulStops();
    checkStopsUnderLoad();
    checkGivenUpRequests();
    checkCancelledRequests();
    return std::move(m_violations);
}

void InvariantChecker::checkResponses()
{
    for (const CallerRequest &request : m_observations.requests) {
        const auto found = m_runs.find(request.id);
        const std::size_t runs = found == m_runs.end() ? 0 : found->second.size();
        if (!request.idempotent && runs > 1)
            reportViolation("at most once", joinText(request.id, " ran ", runs, " times"));
        if (meansNotRun(request.status) && runs > 0)
            reportViolation("not run", joinText(request.id, " answered ", request.status, " ran ",
                                                runs, " times"));
        if (request.status == 200 && !request.responseValid)
            reportViolation("valid response",
                            joinText(request.id, " got a response that does not match it"));
        if (request.status == 200 && runs == 0)
            reportViolation("valid response",
                            joinText(request.id, " got a success and did not run"));
    }
}

void InvariantChecker::checkArrivals()
{
    for (const Arrival &arrival : m_observations.arrivals) {
        const CallerRequest *request = findRequest(arrival.id);
        if (request == nullptr || request->target != arrival.target) {
            reportViolation("unasked",
                            joinText(arrival.id, " was not sent, or was sent to another path"));
            continue;
        }
        if (arrival.callerService != request->callerService)
            reportViolation("unasked", joinText(arrival.id, " names ", arrival.callerService,
                                                " as its caller's service"));
        if (arrival.service != request->service)
            reportViolation("route",
                            joinText(arrival.id, " reached a backend server of ", arrival.service));
        const SteadyTime due = request->sentAt + request->timeout + m_bounds.deadlineSlack;
        // The limit applies only while the caller's and the owner's nodes run: a frozen node leaves
        // requests unread in its socket.
        const SteadyTime since = request->sentAt - m_bounds.settleTime;
        const bool undisturbed = m_observations.isUndisturbed(request->node, since, arrival.at)
                                 && m_observations.isUndisturbed(arrival.node, since, arrival.at);
        if (arrival.remaining.count() < 0 || (undisturbed && arrival.at + arrival.remaining > due))
            reportViolation("deadline", joinText(arrival.id, " arrived with a deadline of ",
                                                 arrival.remaining.count(), " ms"));
    }
}

void InvariantChecker::checkDrains()
{
    for (const Arrival &arrival : m_observations.arrivals) {
        const auto drain = m_observations.drains.find(arrival.backend);
        const CallerRequest *request = findRequest(arrival.id);
        if (drain == m_observations.drains.end() || request == nullptr)
            continue;
        if (arrival.at > drain->second + m_bounds.drainLimit)
            reportViolation("drain",
                            joinText(arrival.id, " reached ", arrival.backend, " after its drain"));
    }
}

void InvariantChecker::checkTakeOuts()
{
    for (const TakeOut &takeOut : m_observations.takeOuts) {
        for (const Arrival &arrival : m_observations.arrivals) {
            const CallerRequest *request = findRequest(arrival.id);
            const SteadyTime due = takeOut.from + m_bounds.evacuationLimit;
            const bool arrivedLate = arrival.domain == takeOut.domain && arrival.at > due
                                     && arrival.at < takeOut.until;
            if (!arrivedLate || request == nullptr
                || !m_observations.isUndisturbed(std::nullopt, takeOut.from - m_bounds.settleTime,
                                                 arrival.at))
                continue;
            reportViolation("taken out", joinText(arrival.id, " reached ", arrival.backend, " in ",
                                                  takeOut.domain));
        }
    }
}

void InvariantChecker::checkColdPeriods()
{
    const auto allowed = static_cast<std::size_t>(m_bounds.coldPerSecond * m_bounds.coldFactor)
                         + m_bounds.coldSlack;
    for (const auto &[backend, period] : m_observations.coldPeriods) {
        std::vector<SteadyTime> times;
        for (const Arrival &arrival : m_observations.arrivals) {
            if (arrival.backend == backend && arrival.at >= period.from
                && arrival.at < period.until)
                times.push_back(arrival.at);
        }
        for (std::size_t i = allowed; i < times.size(); ++i) {
            if (times[i] - times[i - allowed] >= std::chrono::seconds(1))
                continue;
            reportViolation("cold",
                            joinText(backend, " got more than ", allowed, " requests in a second"));
            break;
        }
    }
}

void InvariantChecker::checkRetryBudget()
{
    std::map<std::string, std::vector<SteadyTime>> sentTimes;
    for (const CallerRequest &request : m_observations.requests)
        sentTimes[request.service].push_back(request.sentAt);
    std::map<std::string, std::vector<SteadyTime>> retries;
    std::set<std::string> arrivedIds;
    for (const Arrival &arrival : m_observations.arrivals) {
        if (!arrivedIds.insert(arrival.id).second)
            retries[arrival.service].push_back(arrival.at);
    }
    const auto countIn = [](const std::vector<SteadyTime> &times, SteadyTime from,
                            SteadyTime until) {
        return static_cast<std::size_t>(std::lower_bound(times.begin(), times.end(), until)
                                        - std::lower_bound(times.begin(), times.end(), from));
    };
    for (const auto &[service, times] : retries) {
        for (const SteadyTime &start : times) {
            const std::size_t count = countIn(times, start, start + m_bounds.retryWindow);
            const std::size_t sent =
                    std::max(countIn(sentTimes[service], start, start + m_bounds.retryWindow),
                             countIn(sentTimes[service], start - m_bounds.retryWindow, start));
            const double allowed = m_bounds.retryRatio * static_cast<double>(sent)
                                   + static_cast<double>(m_bounds.retrySlack);
            if (static_cast<double>(count) <= allowed)
                continue;
            reportViolation("retry budget",
                            joinText(service, " got ", count, " retries of ", sent, " requests"));
            break;
        }
    }
}

void InvariantChecker::checkConfigs()
{
    // When a route was served and the version that had added it, by node and generation.
    std::map<std::pair<std::size_t, std::uint32_t>, std::map<SteadyTime, std::uint64_t>>
            servedVersions;
    for (const CallerRequest &request : m_observations.requests) {
        if (request.status == 200 && request.addedInVersion > 0)
            servedVersions[{request.node, request.generation}][*request.endedAt] =
                    request.addedInVersion;
    }
    for (const CallerRequest &request : m_observations.requests) {
        if (request.status != StatusNotFound)
            continue;
        if (request.addedInVersion == 0) {
            reportViolation("denied",
                            joinText(request.id, " got 404 on a route of all configurations"));
            continue;
        }
        for (const auto &[at, version] : servedVersions[{request.node, request.generation}]) {
            if (version >= request.addedInVersion && at + m_bounds.rollbackSlack < request.sentAt) {
                reportViolation("no rollback",
                                joinText(request.id, " found no route of version ",
                                         request.addedInVersion, " after version ", version));
                break;
            }
        }
        const SteadyTime acknowledged = m_observations.configs.at(request.addedInVersion);
        const SteadyTime due = acknowledged + m_bounds.configApplyLimit;
        if (request.sentAt > due
            && m_observations.isUndisturbed(std::nullopt, acknowledged - m_bounds.settleTime,
                                            request.sentAt))
            reportViolation("in force", joinText(request.id, " found no route of version ",
                                                 request.addedInVersion, " after its time limit"));
    }
}

void InvariantChecker::checkGracefulStops()
{
    for (const Disturbance &stop : m_observations.disturbances) {
        if (stop.kind != "stop" || !stop.node)
            continue;
        for (const CallerRequest &request : m_observations.requests) {
            const bool cutOff = request.node == *stop.node && request.endedAt
                                && !request.cancelledAt
                                && request.failure == HttpFailure::ConnectionLost
                                && request.sentAt<stop.until && * request.endedAt> stop.from;
            if (!cutOff
                || !m_observations.isUndisturbed(std::nullopt, request.sentAt - m_bounds.settleTime,
                                                 *request.endedAt))
                continue;
            const auto elapsed = *request.endedAt - request.sentAt;
            if (m_runs.contains(request.id) || elapsed > m_bounds.earlyLossLimit)
                reportViolation("graceful stop", joinText(request.id, " was cut off"));
        }
    }
}

void InvariantChecker::checkStopsUnderLoad()
{
    for (const Disturbance &stop : m_observations.disturbances) {
        if (stop.kind != faultName(FaultKind::StopUnderLoad) || !stop.node)
            continue;
        for (const CallerRequest &request : m_observations.requests) {
            if (request.node != *stop.node || request.sentAt > stop.until
                || request.endedAt < stop.from || !m_runs.contains(request.id))
                continue;
            const auto sentAfter = std::chrono::duration_cast<std::chrono::milliseconds>(
                    request.sentAt - stop.from);
            if (sentAfter > m_bounds.lastRequestLimit)
                reportViolation("late request", joinText(request.id, " was passed on, sent ",
                                                         sentAfter.count(), " ms after SIGTERM"));
            if (request.failure == HttpFailure::ConnectionLost && !request.cancelledAt)
                reportViolation("lost response",
                                joinText(request.id, " ran and was cut off by a stop, sent ",
                                         sentAfter.count(), " ms after SIGTERM"));
        }
    }
}

void InvariantChecker::checkGivenUpRequests()
{
    for (const CallerRequest &request : m_observations.requests) {
        const auto found = m_runs.find(request.id);
        if (request.status != StatusBadGateway || found == m_runs.end()
            || !m_observations.isUndisturbed(std::nullopt, request.sentAt - m_bounds.settleTime,
                                             *request.endedAt, faultName(FaultKind::StopUnderLoad)))
            continue;
        const SteadyTime due = request.sentAt + request.timeout - m_bounds.resultTime;
        const bool succeeded =
                std::any_of(found->second.begin(), found->second.end(), [due](const Run *run) {
                    return run->outcome == RunOutcome::Succeeded && *run->endedAt < due;
                });
        if (succeeded && *request.endedAt < due)
            reportViolation("given up",
                            joinText(request.id, " was answered 502 and succeeded in time"));
    }
}

void InvariantChecker::checkCancelledRequests()
{
    std::size_t checkedRuns = 0;
    std::size_t lateRuns = 0;
    for (const CallerRequest &request : m_observations.requests) {
        const auto found = m_runs.find(request.id);
        if (!request.cancelledAt || !request.idempotent || found == m_runs.end()
            || !m_observations.isUndisturbed(std::nullopt,
                                             *request.cancelledAt - m_bounds.settleTime,
                                             *request.cancelledAt + m_bounds.cancelSlack))
            continue;
        for (const Run *run : found->second) {
            ++checkedRuns;
            const SteadyTime due = *request.cancelledAt + m_bounds.cancelSlack;
            lateRuns += run->outcome == RunOutcome::Running || *run->endedAt > due ? 1 : 0;
        }
    }
    if (lateRuns > AllowedLateRuns && lateRuns * 4 > checkedRuns)
        reportViolation("caller gone",
                        joinText(lateRuns, " of ", checkedRuns,
                                 " runs continued after their callers had cancelled"));
}

} // namespace

std::vector<std::string> violatedInvariants(const ObservationLog &observations,
                                            const InvariantBounds &bounds)
{
    return InvariantChecker(observations, bounds).run();
}

} // namespace jacinthshift
