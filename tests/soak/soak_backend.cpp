#include "tests/soak/soak_backend.h"

#include <algorithm>
#include <utility>

#include "core/duration.h"
#include "core/text.h"
#include "platform/tests/record_encoder.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

const HeaderNames names = wire::headerNames();
constexpr int StatusServerError = 500;
constexpr int StatusMisdirectedRequest = 421;
constexpr int StatusUnavailable = 503;
constexpr std::chrono::milliseconds HeartbeatPeriod{500};
constexpr std::chrono::milliseconds HeartbeatTimeout{1'000};
constexpr std::chrono::milliseconds DrainDuration{2'500};    ///< From acknowledgement to leaving.
constexpr std::chrono::milliseconds MaxDrainDuration{8'000}; ///< Without acknowledgement.
constexpr std::chrono::milliseconds Downtime{1'500};
constexpr std::size_t QueueCapacity = 4;
constexpr std::size_t BodyBytes = 600;
constexpr std::size_t LongBodyBytes = 250'000; ///< For callers that read slowly.
constexpr std::uint64_t LateHeartbeatOneIn = 6;
constexpr std::size_t MaxLateHeartbeats = 64;
/** The product bears more if it can read the store when it starts. */
constexpr std::chrono::milliseconds MaxHeartbeatDelay{2'900};
/** How long a backend server that has left may serve on beyond DrainDuration. */
constexpr std::chrono::milliseconds MaxFurtherService{4'000};

} // namespace

std::chrono::milliseconds SoakBackend::remainingColdTime() const
{
    const auto remaining =
            std::chrono::duration_cast<std::chrono::milliseconds>(m_coldUntil - m_timers.now());
    return std::max(remaining, std::chrono::milliseconds(0));
}

void SoakBackend::start(bool cold)
{
    m_startedAt = static_cast<std::uint64_t>(unixMilliseconds(std::chrono::system_clock::now()));
    m_id = joinText("i-", m_options.listen.address, "-", m_startedAt);
    m_sequence = 0;
    m_failPercent = 0;
    m_slowFactor = 1;
    m_hang = false;
    m_draining = false;
    m_drainAcknowledged = false;
    m_departureAcknowledged = nullptr;
    m_server = std::make_unique<BeastHttpServer>(HttpServerOptions{});
    const absl::Status status =
            m_server->listen(m_options.listen,
                             [this](const HttpRequest &request, const ResponderPointer &responder) {
                                 serve(request, responder);
                             });
    if (!status.ok()) {
        crash(Downtime);
        return;
    }
    if (cold)
        turnCold();
    m_heartbeatTimer = Timer(
            m_timers, m_timers.startPeriodic(HeartbeatPeriod, [this] { sendHeartbeat(true); }));
    sendHeartbeat(false);
}

void SoakBackend::turnCold()
{
    m_coldUntil = m_timers.now() + m_options.coldPeriod;
    m_observations.backendCold(m_id, m_timers.now(), m_coldUntil);
}

void SoakBackend::sendHeartbeat(bool mayBeLate)
{
    const bool draining = m_draining;
    const BackendHeartbeat heartbeat{.id = m_id,
                                     .service = m_options.service,
                                     .version = "v1",
                                     .domain = m_options.domain,
                                     .endpoint = m_options.listen,
                                     .slots = m_options.slots,
                                     .draining = draining,
                                     .sequence = ++m_sequence,
                                     .startedAt = m_startedAt,
                                     .coldRemaining = remainingColdTime()};
    const HttpRequest request{.method = "PUT",
                              .target = joinText(wire::InstancesPath, m_id),
                              .headers = {{"Content-Type", "application/json"}},
                              .body = encodeHeartbeat(heartbeat)};
    if (!mayBeLate || m_departureRandom.below(LateHeartbeatOneIn) != 0) {
        transmit(request, m_id, draining);
        return;
    }
    m_lateHeartbeats.push_back(
            Timer(m_timers, m_timers.startOnce(m_departureRandom.jitter(MaxHeartbeatDelay),
                                               [this, request, id = m_id, draining] {
                                                   transmit(request, id, draining);
                                               })));
    // The oldest one has arrived long ago.
    if (m_lateHeartbeats.size() > MaxLateHeartbeats)
        m_lateHeartbeats.pop_front();
}

void SoakBackend::transmit(const HttpRequest &heartbeat, const std::string &id, bool draining)
{
    m_http.send(HttpSendOptions{.server = m_options.control, .timeout = HeartbeatTimeout},
                heartbeat, [this, id, draining](const HttpResult &result) {
                    heartbeatAnswered(id, draining, result);
                });
}

void SoakBackend::heartbeatAnswered(const std::string &id, bool draining, const HttpResult &result)
{
    if (result.verdict == Verdict::Done && result.response.status == 200 && draining)
        departureAcknowledged(id);
}

void SoakBackend::departureAcknowledged(const std::string &id)
{
    m_observations.drainAcknowledged(id, m_timers.now());
    if (id != m_id || std::exchange(m_drainAcknowledged, true))
        return;
    const std::chrono::milliseconds serveOn =
            DrainDuration + m_departureRandom.jitter(MaxFurtherService);
    m_lifecycleTimer = Timer(m_timers, m_timers.startOnce(serveOn, [this] { deregister(); }));
    if (m_departureAcknowledged != nullptr)
        std::exchange(m_departureAcknowledged, nullptr)();
}

void SoakBackend::leave(std::function<void()> acknowledged)
{
    if (!isRunning() || m_draining)
        return;
    m_departureAcknowledged = std::move(acknowledged);
    if (m_departureRandom.below(2) == 0) {
        drain();
        return;
    }
    m_draining = true;
    m_heartbeatTimer.stop();
    m_lifecycleTimer =
            Timer(m_timers, m_timers.startOnce(MaxDrainDuration, [this] { crash(Downtime); }));
    sendDeregistration([this, id = m_id](const HttpResult &result) {
        if (result.verdict == Verdict::Done && result.response.status == 200)
            departureAcknowledged(id);
    });
}

void SoakBackend::drain()
{
    if (!isRunning() || m_draining)
        return;
    m_draining = true;
    m_lifecycleTimer =
            Timer(m_timers, m_timers.startOnce(MaxDrainDuration, [this] { deregister(); }));
    sendHeartbeat(false);
}

void SoakBackend::sendDeregistration(HttpClient::Callback callback)
{
    const HttpRequest request{.method = "DELETE",
                              .target = joinText(wire::InstancesPath, m_id),
                              .headers = {{"Content-Type", "application/json"}},
                              .body = encodeDeregistration(m_startedAt)};
    m_http.send(HttpSendOptions{.server = m_options.control, .timeout = HeartbeatTimeout}, request,
                std::move(callback));
}

void SoakBackend::deregister()
{
    sendDeregistration([](const HttpResult &) {});
    crash(Downtime);
}

void SoakBackend::stopServer()
{
    m_heartbeatTimer.stop();
    for (auto &[number, work] : m_running)
        m_observations.runEnded(work.run, m_timers.now(), RunOutcome::ServerStopped);
    m_running.clear();
    m_queue.clear();
    m_server.reset();
}

void SoakBackend::crash(std::chrono::milliseconds downtime)
{
    stopServer();
    m_lifecycleTimer = Timer(m_timers, m_timers.startOnce(downtime, [this] { start(true); }));
}

HttpHeader SoakBackend::loadHeader() const
{
    return {names.load, joinText(m_running.size(), ",", m_queue.size(), ",", m_options.slots)};
}

void SoakBackend::respondToHealthCheck(const ResponderPointer &responder) const
{
    responder->respond(HttpResponse{
            .status = m_draining ? StatusUnavailable : 200,
            .headers = {{names.instance, m_id},
                        {names.coldMilliseconds, std::to_string(remainingColdTime().count())},
                        loadHeader()}});
}

void SoakBackend::serve(const HttpRequest &request, const ResponderPointer &responder)
{
    if (request.target == "/health") {
        respondToHealthCheck(responder);
        return;
    }
    const std::string_view expected = findHeader(request.headers, names.expectedInstance);
    if (!expected.empty() && expected != m_id) {
        responder->respond(
                HttpResponse{.status = StatusMisdirectedRequest, .headers = {{names.notRun, "1"}}});
        return;
    }
    const SteadyTime now = m_timers.now();
    m_observations.requestArrived(m_id, m_options, request, now);
    if (m_running.size() >= m_options.slots && m_queue.size() >= QueueCapacity) {
        responder->respond(HttpResponse{.status = StatusUnavailable,
                                        .headers = {{names.notRun, "1"}, loadHeader()}});
        return;
    }
    const std::uint64_t number = ++m_lastWorkNumber;
    responder->onCallerGone([this, number] { cancelWork(number); });
    Work work{.request = request, .responder = responder};
    if (m_running.size() < m_options.slots)
        run(number, std::move(work));
    else
        m_queue.emplace_back(number, std::move(work));
}

void SoakBackend::run(std::uint64_t number, Work work)
{
    work.run = m_observations.runStarted(m_id, m_options, work.request, m_timers.now());
    const std::chrono::milliseconds base =
            m_options.meanServiceTime * m_slowFactor * (isCold() ? 2 : 1);
    const std::chrono::milliseconds serviceTime = base / 2 + m_random.jitter(base);
    if (!m_hang)
        work.finishTimer = Timer(
                m_timers, m_timers.startOnce(serviceTime, [this, number] { finish(number); }));
    m_running.emplace(number, std::move(work));
}

void SoakBackend::finish(std::uint64_t number)
{
    const auto found = m_running.find(number);
    const Work work = std::move(found->second);
    m_running.erase(found);
    const bool failed = m_random.below(100) < m_failPercent;
    m_observations.runEnded(work.run, m_timers.now(),
                            failed ? RunOutcome::Failed : RunOutcome::Succeeded);
    const std::string id(findHeader(work.request.headers, names.requestId));
    const std::string body =
            failed ? "failed"
                   : ObservationLog::expectedBody(
                           id, m_options.service,
                           id.starts_with(LongResponseIdPrefix) ? LongBodyBytes : BodyBytes);
    work.responder->respond(HttpResponse{.status = failed ? StatusServerError : 200,
                                         .headers = {{names.requestId, id},
                                                     {names.seal, ObservationLog::seal(id, body)},
                                                     loadHeader()},
                                         .body = body});
    startQueued();
}

void SoakBackend::startQueued()
{
    while (!m_queue.empty() && m_running.size() < m_options.slots) {
        auto [next, waiting] = std::move(m_queue.front());
        m_queue.pop_front();
        run(next, std::move(waiting));
    }
}

void SoakBackend::cancelWork(std::uint64_t number)
{
    std::erase_if(m_queue, [number](const auto &entry) { return entry.first == number; });
    const auto found = m_running.find(number);
    if (found == m_running.end())
        return;
    m_observations.runEnded(found->second.run, m_timers.now(), RunOutcome::Cancelled);
    m_running.erase(found);
    startQueued();
}

} // namespace jacinthshift
