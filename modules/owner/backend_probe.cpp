#include "modules/owner/backend_probe.h"

#include <utility>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr int StatusMisdirected = 421;

} // namespace

void BackendProbe::send(const ProbeTarget &target, Callback callback)
{
    if (isOutstanding() || target.path.empty())
        return;
    HttpSendOptions options{.server = target.server,
                            .timeout = m_options.timeout,
                            .connectTimeout = m_options.connectTimeout};
    if (target.newConnection)
        options.maxIdleTime = std::chrono::milliseconds(-1);
    const HttpRequest request{.method = "GET",
                              .target = target.path,
                              .headers = {{m_options.headers.expectedInstance, target.backend}}};
    const std::uint64_t probe = ++m_lastProbe;
    const SteadyTime sentAt = m_timers.now();
    m_call = m_client.send(options, request,
                           [this, probe, sentAt, target,
                            callback = std::move(callback)](const HttpResult &result) {
                               if (probe != m_lastProbe)
                                   return;
                               m_call = HttpCallId::None;
                               ProbeResult shown = evaluate(target, result);
                               shown.sentAt = sentAt;
                               callback(shown);
                           });
}

void BackendProbe::cancel()
{
    if (!isOutstanding())
        return;
    ++m_lastProbe;
    m_client.cancel(std::exchange(m_call, HttpCallId::None));
}

ProbeResult BackendProbe::evaluate(const ProbeTarget &target, const HttpResult &result) const
{
    if (result.failure == HttpFailure::ConnectFailed)
        return ProbeResult{.outcome = ProbeResult::Outcome::NoConnection};
    if (result.verdict != Verdict::Done)
        return ProbeResult{.outcome = ProbeResult::Outcome::Unknown};
    if (result.response.status == StatusMisdirected)
        return ProbeResult{.outcome = ProbeResult::Outcome::Replaced};
    const std::vector<HttpHeader> &headers = result.response.headers;
    // An answer without a name may be a late one to an earlier request on the connection.
    const std::string_view instance = findHeader(headers, m_options.headers.instance);
    if (instance.empty())
        return ProbeResult{.outcome = ProbeResult::Outcome::Unknown};
    if (instance != target.backend)
        return ProbeResult{.outcome = ProbeResult::Outcome::Replaced};
    ProbeResult shown{.outcome = ProbeResult::Outcome::Answered};
    std::int64_t cold = 0;
    if (parseNumber(findHeader(headers, m_options.headers.coldMilliseconds), cold) && cold >= 0)
        shown.coldRemaining = std::chrono::milliseconds(cold);
    return shown;
}

} // namespace jacinthshift
