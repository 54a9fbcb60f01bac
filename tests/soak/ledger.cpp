#include "tests/soak/ledger.h"

#include <algorithm>

#include "core/hash.h"
#include "core/text.h"
#include "platform/wire_names.h"
#include "tests/soak/soak_backend.h"

namespace jacinthshift {

namespace {

const HeaderNames names = wire::headerNames();

} // namespace

std::string Ledger::wholeBody(const std::string &id, const std::string &service, std::size_t bytes)
{
    std::string body = joinText(id, " by ", service, " ");
    body.resize(bytes, 'x');
    return body;
}

std::string Ledger::seal(const std::string &id, const std::string &body)
{
    return hashText(combineHash(stableHash(id), stableHash(body)));
}

std::size_t Ledger::sent(Attempt attempt)
{
    attemptById[attempt.id] = attempts.size();
    attempts.push_back(std::move(attempt));
    return attempts.size() - 1;
}

void Ledger::answered(std::size_t index, SteadyTime now, const HttpResult &result)
{
    Attempt &attempt = attempts[index];
    attempt.endedAt = now;
    attempt.failure = result.failure;
    if (result.verdict != Verdict::Done)
        return;
    const HttpResponse &response = result.response;
    attempt.status = response.status;
    attempt.whole =
            findHeader(response.headers, names.requestId) == attempt.id
            && findHeader(response.headers, names.seal) == seal(attempt.id, response.body)
            && response.body.starts_with(joinText(attempt.id, " by ", attempt.service, " "));
}

void Ledger::arrived(const std::string &backend, const SoakBackendOptions &options,
                     const HttpRequest &request, SteadyTime now)
{
    std::int64_t left = -1;
    parseNumber(findHeader(request.headers, names.deadline), left);
    arrivals.push_back(
            Arrival{.id = std::string(findHeader(request.headers, names.requestId)),
                    .backend = backend,
                    .domain = options.domain,
                    .service = options.service,
                    .target = request.target,
                    .callerService = std::string(findHeader(request.headers, names.callerService)),
                    .node = options.node,
                    .left = std::chrono::milliseconds(left),
                    .at = now});
}

std::size_t Ledger::runStarted(const std::string &backend, const SoakBackendOptions &options,
                               const HttpRequest &request, SteadyTime now)
{
    runs.push_back(Run{.id = std::string(findHeader(request.headers, names.requestId)),
                       .backend = backend,
                       .domain = options.domain,
                       .at = now});
    return runs.size() - 1;
}

void Ledger::runEnded(std::size_t run, SteadyTime now, RunEnd end)
{
    runs[run].endedAt = now;
    runs[run].end = end;
}

void Ledger::backendCold(const std::string &backend, SteadyTime from, SteadyTime until)
{
    coldSpells.emplace(backend, ColdSpell{.from = from, .until = until});
}

void Ledger::drainAcknowledged(const std::string &backend, SteadyTime now)
{
    drains.try_emplace(backend, now);
}

bool Ledger::isCalm(std::optional<std::size_t> node, SteadyTime from, SteadyTime until) const
{
    return std::none_of(disturbances.begin(), disturbances.end(), [&](const Disturbance &one) {
        const bool touches = !one.node || !node || *one.node == *node;
        return touches && !one.planned && one.from <= until && one.until >= from;
    });
}

} // namespace jacinthshift
