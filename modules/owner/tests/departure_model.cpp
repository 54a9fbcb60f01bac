#include "modules/owner/tests/departure_model.h"

#include "core/text.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

using std::chrono::milliseconds;

constexpr const char *NodeName = "n";
constexpr milliseconds HeartbeatPeriod{1'000};
constexpr milliseconds ReadRetryDelay{400};
/** From the end of all faults until a backend server that sends heartbeats has to be in use. */
constexpr milliseconds SettleTime{12'000};

} // namespace

DepartureModel::Process::Process(FakeKeyedLog &log, ManualTimerService &timers)
    : owner(BackendOwnerOptions{.node = NodeName, .service = "s"}, http, timers, poison, *this)
    , departures(NodeName, log, timers)
    , recorder({}, departures, timers)
{
    owner.setHistoryKnown(false);
}

DepartureModel::DepartureModel(const DepartureModelOptions &options)
    : m_options(options), m_random(options.seed)
{
    startProcess();
    startServer();
}

void DepartureModel::startProcess()
{
    m_process = std::make_unique<Process>(m_log, m_timers);
    readDepartures(++m_processNumber);
}

void DepartureModel::readDepartures(std::uint64_t process)
{
    if (process != m_processNumber || m_process == nullptr)
        return;
    m_log.readNewest(wire::NodesTable, [this, process](const absl::StatusOr<KeyedPage> &page) {
        if (!page.ok()) {
            m_timers.startOnce(ReadRetryDelay, [this, process] { readDepartures(process); });
            return;
        }
        for (const KeyedRecord &record : page->records) {
            const absl::StatusOr<Departure> departure = decodeDeparture(record);
            if (m_process->recorder.departureRead(departure->backend))
                m_process->owner.backendLeft(departure->backend);
        }
        m_process->owner.setHistoryKnown(true);
    });
}

void DepartureModel::startServer()
{
    m_server = std::make_unique<Server>();
    m_lastStart += 1 + m_random.below(5'000);
    // Some start again under the id that they had.
    const bool keepsId = m_random.below(2) == 0;
    m_server->lifetime = {.id = keepsId ? "i" : joinText("i-", m_lastStart),
                          .startedAt = m_lastStart};
}

void DepartureModel::sendHeartbeat(bool mayBeLate)
{
    if (m_server == nullptr || m_server->deregistered)
        return;
    const BackendHeartbeat heartbeat{.id = m_server->lifetime.id,
                                     .service = "s",
                                     .version = "v1",
                                     .endpoint = {"127.0.0.1", 80},
                                     .slots = 2,
                                     .draining = m_server->draining,
                                     .sequence = ++m_server->sequence,
                                     .startedAt = m_server->lifetime.startedAt};
    const std::uint64_t fate = mayBeLate ? m_random.below(6) : 0;
    if (fate == 1)
        return;
    const int copies = fate == 2 ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
        if (fate < 2)
            deliver(heartbeat);
        else
            m_timers.startOnce(m_random.jitter(m_options.maxLateness - milliseconds(1)),
                               [this, heartbeat] { deliver(heartbeat); });
    }
}

void DepartureModel::deliver(const BackendHeartbeat &heartbeat)
{
    if (m_process == nullptr)
        return;
    if (m_process->owner.heartbeat(heartbeat).ok() && heartbeat.draining)
        recordDeparture({.id = heartbeat.id, .startedAt = *heartbeat.startedAt});
    checkInvariant();
}

void DepartureModel::deregister()
{
    if (m_server == nullptr || m_process == nullptr)
        return;
    m_server->deregistered = true;
    recordDeparture(
            m_process->owner.deregister(m_server->lifetime.id, m_server->lifetime.startedAt));
}

void DepartureModel::recordDeparture(const BackendLifetime &lifetime)
{
    if (!m_options.recordsDepartures) {
        m_acknowledged.insert(lifetime);
        return;
    }
    m_process->recorder.record(lifetime, [this, lifetime](bool recorded) {
        if (recorded)
            m_acknowledged.insert(lifetime);
    });
}

void DepartureModel::act()
{
    switch (m_random.below(9)) {
    case 0:
        m_process.reset();
        break;
    case 1:
        if (m_server != nullptr)
            m_server->draining = true;
        sendHeartbeat(true);
        break;
    case 2:
        deregister();
        break;
    case 3: // It crashes, or exits after it has left.
        m_server.reset();
        break;
    case 4:
        m_log.unavailable = m_options.logFails && m_random.below(2) == 0;
        m_log.loseWriteResponses = m_options.logFails && m_random.below(2) == 0;
        break;
    default:
        if (m_process == nullptr)
            startProcess();
        if (m_server == nullptr)
            startServer();
        break;
    }
}

void DepartureModel::checkInvariant()
{
    if (m_process == nullptr || !m_violation.empty())
        return;
    const BackendStatus status = m_process->owner.status();
    const BackendLifetime used{.id = status.id, .startedAt = status.startedAt};
    if (status.availability == BackendAvailability::Ready && m_acknowledged.contains(used))
        m_violation = joinText(used.id, " started at ", used.startedAt,
                               " is used although its leaving was acknowledged");
}

std::string DepartureModel::play(int steps)
{
    for (int step = 0; step < steps && m_violation.empty(); ++step) {
        m_timers.advance(milliseconds(m_random.below(HeartbeatPeriod.count())));
        act();
        sendHeartbeat(true);
        checkInvariant();
    }
    m_log.unavailable = false;
    m_log.loseWriteResponses = false;
    startServer();
    if (m_process == nullptr)
        startProcess();
    for (milliseconds waited{0}; waited < SettleTime && m_violation.empty();
         waited += HeartbeatPeriod) {
        sendHeartbeat(false);
        m_timers.advance(HeartbeatPeriod);
        checkInvariant();
    }
    const BackendStatus status = m_process->owner.status();
    const bool isUsed = status.availability == BackendAvailability::Ready
                        && status.startedAt == m_server->lifetime.startedAt;
    if (m_violation.empty() && !isUsed)
        m_violation = "a backend server that sends heartbeats is not used";
    return m_violation;
}

} // namespace jacinthshift
