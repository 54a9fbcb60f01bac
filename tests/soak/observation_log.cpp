#include "tests/soak/observation_log.h"

#include <algorithm>

#include "core/hash.h"
#include "core/text.h"
#include "platform/wire_names.h"
#include "tests/soak/soak_backend.h"

namespace jacinthshift {

namespace {

const HeaderNames names = wire::headerNames();

} // namespace

std::string ObservationLog::expectedBody(const std::string &id, const std::string &service,
                                         std::size_t bytes)
{
    std::string body = joinText(id, " by ", service, " ");
    body.resize(bytes, 'x');
    return body;
}

std::string ObservationLog::seal(const std::string &id, const std::string &body)
{
    return formatHash(combineHash(stableHash(id), stableHash(body)));
}

std::size_t ObservationLog::requestSent(CallerRequest request)
{
    requestIndexById[request.id] = requests.size();
    requests.push_back(std::move(request));
    return requests.size() - 1;
}

void ObservationLog::requestEnded(std::size_t index, SteadyTime now, const HttpResult &result)
{
    CallerRequest &request = requests[index];
    request.endedAt = now;
    request.failure = result.failure;
    if (result.verdict != Verdict::Done)
        return;
    const HttpResponse &response = result.response;
    request.status = response.status;
    request.responseValid =
            findHeader(response.headers, names.requestId) == request.id
            && findHeader(response.headers, names.seal) == seal(request.id, response.body)
            && response.body.string().starts_with(
                    joinText(request.id, " by ", request.service, " "));
}

void ObservationLog::requestArrived(const std::string &backend, const SoakBackendOptions &options,
                                    const HttpRequest &request, SteadyTime now)
{
    std::int64_t remaining = -1;
    parseNumber(findHeader(request.headers, names.deadline), remaining);
    arrivals.push_back(
            Arrival{.id = std::string(findHeader(request.headers, names.requestId)),
                    .backend = backend,
                    .domain = options.domain,
                    .service = options.service,
                    .target = request.target,
                    .callerService = std::string(findHeader(request.headers, names.callerService)),
                    .node = options.node,
                    .remaining = std::chrono::milliseconds(remaining),
                    .at = now});
}

std::size_t ObservationLog::runStarted(const std::string &backend,
                                       const SoakBackendOptions &options,
                                       const HttpRequest &request, SteadyTime now)
{
    runs.push_back(Run{.id = std::string(findHeader(request.headers, names.requestId)),
                       .backend = backend,
                       .domain = options.domain,
                       .startedAt = now});
    return runs.size() - 1;
}

void ObservationLog::runEnded(std::size_t run, SteadyTime now, RunOutcome outcome)
{
    runs[run].endedAt = now;
    runs[run].outcome = outcome;
}

void ObservationLog::backendCold(const std::string &backend, SteadyTime from, SteadyTime until)
{
    coldPeriods.emplace(backend, ColdPeriod{.from = from, .until = until});
}

void ObservationLog::drainAcknowledged(const std::string &backend, SteadyTime now)
{
    drains.try_emplace(backend, now);
}

bool ObservationLog::isUndisturbed(std::optional<std::size_t> node, SteadyTime from,
                                   SteadyTime until, std::string_view exceptedKind) const
{
    return std::none_of(
            disturbances.begin(), disturbances.end(), [&](const Disturbance &disturbance) {
                const bool affectsNode = !disturbance.node || !node || *disturbance.node == *node;
                return affectsNode && !disturbance.planned && disturbance.kind != exceptedKind
                       && disturbance.from <= until && disturbance.until >= from;
            });
}

} // namespace jacinthshift
