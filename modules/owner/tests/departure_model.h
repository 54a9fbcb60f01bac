#ifndef MODULES_OWNER_TESTS_DEPARTURE_MODEL_H
#define MODULES_OWNER_TESTS_DEPARTURE_MODEL_H

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/owner/backend_owner.h"
#include "modules/owner/departure_recorder.h"
#include "platform/record_codec.h"
#include "platform/store_departure_register.h"
#include "tests/support/fake_http_client.h"
#include "tests/support/fake_keyed_log.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

struct DepartureModelOptions
{
    std::uint64_t seed = 0;
    std::chrono::milliseconds maxLateness{10'000}; ///< Of a heartbeat.
    bool logFails = false;         ///< The log is away at times and loses responses to writes.
    bool recordsDepartures = true; ///< Unset to model a node that only remembers them.
};

/**
 * One VM on which backend servers start, leave and crash while the node's process is killed and
 * started again and heartbeats arrive late, doubled or not at all.
 */
class DepartureModel
{
    struct Process final : OwnerObserver
    {
        FakeHttpClient http;
        PoisonRegistry poison{PoisonRegistryOptions{}};
        BackendOwner owner;
        StoreDepartureRegister departures;
        DepartureRecorder recorder;

        Process(FakeKeyedLog &log, ManualTimerService &timers);
        void ownerStatusChanged() override {}
        void requestSuspected(std::uint64_t, const std::string &) override {}
        void requestCleared(std::uint64_t) override {}
    };

    /** The backend server that runs now, if any. */
    struct Server
    {
        BackendLifetime lifetime;
        std::uint64_t sequence = 0;
        bool draining = false;
        bool deregistered = false;
    };

    DepartureModelOptions m_options;
    Random m_random;
    ManualTimerService m_timers;
    FakeKeyedLog m_log;
    std::unique_ptr<Process> m_process;
    std::uint64_t m_processNumber = 0;
    std::unique_ptr<Server> m_server;
    std::uint64_t m_lastStart = 1'000;
    std::set<BackendLifetime> m_acknowledged; ///< Lifetimes whose leaving was acknowledged.
    std::string m_violation;

    void startProcess();
    void readDepartures(std::uint64_t process);
    void startServer();
    void sendHeartbeat(bool mayBeLate);
    void deliver(const BackendHeartbeat &heartbeat);
    void deregister();
    void recordDeparture(const BackendLifetime &lifetime);
    void act();
    void checkInvariant();

public:
    explicit DepartureModel(const DepartureModelOptions &options);

    /** Plays random events. Returns what was violated, or an empty string. */
    std::string play(int steps);
};

} // namespace jacinthshift

#endif // MODULES_OWNER_TESTS_DEPARTURE_MODEL_H
