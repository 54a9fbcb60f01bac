#include "tests/soak/slow_caller.h"

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::milliseconds PauseAfterExchange{100};

} // namespace

void SlowCaller::send(const Endpoint &server, const CallerRequest &request,
                      const HttpRequest &message)
{
    m_request = m_observations.requestSent(request);
    m_reader = std::make_unique<SlowReader>(SlowReaderOptions{.server = server}, m_timers);
    m_reader->setReceivedCallback([this] { received(); });
    std::string bytes = joinText(message.method, " ", message.target, " HTTP/1.1\r\n");
    for (const HttpHeader &header : message.headers)
        bytes += joinText(header.name, ": ", header.value, "\r\n");
    m_timeout = Timer(m_timers, m_timers.startOnce(request.timeout, [this] {
        end({.verdict = Verdict::MayHaveRun, .failure = HttpFailure::TimedOut});
    }));
    m_reader->send(bytes + "\r\n");
}

void SlowCaller::received()
{
    if (m_endTimer.isActive())
        return;
    const std::vector<SlowReader::Response> responses = m_reader->responses();
    if (!responses.empty()) {
        const SlowReader::Response &response = responses.front();
        end({.verdict = Verdict::Done,
             .response = {.status = response.status,
                          .headers = response.headers,
                          .body = response.body}});
    } else if (m_reader->hasEnded()) {
        end({.verdict = Verdict::MayHaveRun, .failure = HttpFailure::ConnectionLost});
    }
}

void SlowCaller::end(const HttpResult &result)
{
    m_timeout.stop();
    m_observations.requestEnded(m_request, m_timers.now(), result);
    // The reader is still in use by the callback that led here.
    m_endTimer = Timer(m_timers, m_timers.startOnce(PauseAfterExchange, [this] {
        m_endTimer.stop();
        m_reader.reset();
    }));
}

} // namespace jacinthshift
