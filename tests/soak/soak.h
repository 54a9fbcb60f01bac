#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <nlohmann/json.hpp>

#include "core/random.h"
#include "drivers/beast/beast_http_client.h"
#include "drivers/glib/glib_timer_service.h"
#include "modules/traffic/traffic_config.h"
#include "tests/soak/fault_plan.h"
#include "tests/soak/invariants.h"
#include "tests/soak/observation_log.h"
#include "tests/soak/pipelining_caller.h"
#include "tests/soak/slow_caller.h"
#include "tests/soak/soak_backend.h"
#include "tests/soak/soak_store.h"
#include "tests/support/child_process.h"
#include "tests/support/loopback_network.h"

namespace jacinthshift {

/** Settings of one soak. */
struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds injectionDuration{25'000}; ///< Time in which faults are injected.
    std::size_t domainCount = 3;                         ///< Failure domains.
    std::size_t nodesPerDomain = 3;
    double requestsPerSecond = 250.0; ///< Of all callers together.
    bool plannedOnly = false;         ///< Injects planned operations alone.
    bool stopsUnderLoad = false;      ///< Injects stops of nodes that are kept busy alone.
    std::size_t slowCallers = 6;      ///< Callers that read long responses slowly.
    std::string binaryDirectory;      ///< Of the programs that the soak starts.
};

/**
 * Runs nodes as processes with stand-ins for the store, the network, backend servers and callers,
 * injects the faults of one seed and checks the invariants.
 */
class Soak
{
    struct SoakNode
    {
        std::size_t index = 0;
        std::string name;
        std::string domain;
        std::string service;
        std::string address;
        ChildProcess process;
        std::uint32_t generation = 0; ///< Number of its current process, from 1.
        std::unique_ptr<SoakBackend> backend;
        /** Failed readiness probes in a row; from 2 on, the node gets no requests. */
        int missedProbes = 2;
        bool expectedToEnd = false; ///< The soak killed it or asked it to stop.
        bool stopping = false;      ///< The soak has sent SIGTERM.
        bool wasReady = false;      ///< Its current process has answered a readiness probe.
        SteadyTime startedAt;       ///< Of its current process.
        SteadyTime stopSentAt;
        std::size_t stopDisturbance = 0;             ///< Index of its stop among the disturbances.
        Timer resumeTimer;                           ///< Ends a freeze.
        SteadyTime frozenSince;                      ///< Zero while it is not frozen.
        SteadyTime::duration frozenWhileStopping{0}; ///< By freezes that have ended.
        Timer restartTimer;
        /** Keep it busy until its process has ended. */
        std::vector<std::unique_ptr<PipeliningCaller>> busyCallers;
        Timer shareTimer; ///< Limits its processor time while they do.

        /**
         * Returns whether it was told to stop before it could handle signals, which ends it at once
         * with the signal's status.
         */
        bool wasStoppedWhileStarting() const
        {
            return stopping && !wasReady && stopSentAt - startedAt < std::chrono::seconds(1)
                   && process.exitCode() == 128 + SIGTERM;
        }
        /** Returns how long it has been able to run since SIGTERM; a frozen node cannot end. */
        SteadyTime::duration ranSinceStop(SteadyTime now) const
        {
            const SteadyTime::duration frozen = frozenSince == SteadyTime()
                                                        ? SteadyTime::duration(0)
                                                        : now - std::max(frozenSince, stopSentAt);
            return now - stopSentAt - frozenWhileStopping - frozen;
        }
        Endpoint callerEndpoint() const { return {address, 8080}; }
        Endpoint readinessEndpoint() const { return {address, 8081}; }
        Endpoint controlEndpoint() const { return {address, 8082}; }
        Endpoint linkEndpoint() const { return {address, 7000}; }
        Endpoint advertisedLinkEndpoint() const { return {address, 7900}; }
        Endpoint metricsEndpoint() const { return {address, 9901}; }
    };

    /** A route and the method that callers use on it. */
    struct CallerRoute
    {
        TrafficRoute route;
        std::string method;
        std::uint64_t addedInVersion = 0; ///< Version that added it; 0 if all versions have it.
    };

    SoakOptions m_options;
    InvariantBounds m_bounds;
    LoopbackNetwork m_network;
    std::string m_directory;
    GlibTimerService m_timers;
    BeastHttpClient m_http{BeastHttpClientOptions{.maxIdleConnectionsPerServer = 32}};
    ObservationLog m_observations;
    SoakStore m_store;
    ChildProcess m_relay;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    Random m_random;
    std::vector<Fault> m_faults;
    std::vector<CallerRoute> m_routes;
    std::list<Timer> m_scheduled; ///< Timers of scheduled actions.
    // Rules of the network relay.
    nlohmann::json m_cuts = nlohmann::json::array();
    nlohmann::json m_holds = nlohmann::json::array();
    std::chrono::milliseconds m_linkDelay{0};
    /** Fields of the next control request to the relay, collected while one is in flight. */
    nlohmann::json m_relayRequest = nlohmann::json::object();
    bool m_relayRequestInFlight = false;
    std::uint64_t m_configVersion = 0; ///< Of the newest published configuration.
    std::uint64_t m_lastRequestId = 0;
    std::vector<std::unique_ptr<SlowCaller>> m_slowCallers;
    std::uint64_t m_lastSlowId = 0;
    std::size_t m_activeBursts = 0; ///< Overlapping burst faults.
    std::size_t m_pendingSteps = 0; ///< Of operations on all nodes in turn.
    double m_dueRequests = 0.0;     ///< Requests due but not sent yet, with fractions.
    SteadyTime m_startedAt;
    SteadyTime m_lastTick;
    Timer m_tickTimer;
    Timer m_probeTimer;

    // Node processes.
    void addNodes();
    void writeSettings(const SoakNode &node) const;
    absl::Status startStandIns();
    void startNode(SoakNode &node);
    /** Reports an unexpected exit or a stop that takes too long, and restarts an ended node. */
    void watchNode(SoakNode &node);
    void probeNode(SoakNode &node);
    /** Runs the event loop for the given time. */
    void pause(std::chrono::milliseconds time);
    /** Runs the event loop until the condition holds; returns false after the limit. */
    bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition);
    std::string addressPrefix(std::size_t domain) const;

    // Actions of the operator and the callers.
    static CallerRoute makeRoute(const std::string &name, const std::string &service,
                                 const std::string &method);
    static HttpRequest makeMessage(const CallerRoute &callerRoute, const std::string &id);
    void publishConfig();
    /** Sends a request on the route that this version added through every ready node. */
    void probeConfig(std::uint64_t version);
    void setTakenOut(const std::string &domain, bool takenOut);
    /** Watches the nodes and sends the requests that are due. */
    void tick();
    void send(SoakNode &node, const CallerRoute &callerRoute, bool mayCancel);
    /** Lets each idle slow caller send a request to one of the nodes. */
    void sendSlowly(const std::vector<SoakNode *> &readyNodes);
    CallerRequest makeRecord(const SoakNode &node, const TrafficRoute &route, const std::string &id,
                             std::chrono::milliseconds timeout) const;

    // Faults.
    void schedule(std::chrono::milliseconds delay, std::function<void()> action);
    /** Schedules a step of an operation that may go on after the injection of faults has ended. */
    void scheduleStep(std::chrono::milliseconds delay, std::function<void()> action);
    void beginFault(const Fault &fault);
    void recordDisturbance(const Fault &fault, std::optional<std::size_t> node);
    void beginNodeFault(const Fault &fault);
    void beginStoreFault(const Fault &fault);
    void beginLinkFault(const Fault &fault);
    void beginBackendFault(const Fault &fault);
    void beginOperatorAction(const Fault &fault);
    void kill(SoakNode &node);
    void killAllAfterDeparture(const Fault &fault);
    void freeze(SoakNode &node, std::chrono::milliseconds duration);
    void unfreeze(SoakNode &node);
    /** Sends SIGTERM; the kind is that of the disturbance, which lasts until the node has ended. */
    void stop(SoakNode &node, FaultKind kind = FaultKind::StopNode);
    void stopUnderLoad(const Fault &fault);
    /** Gives the node a share of a processor and callers that want more, until it has ended. */
    void keepBusy(SoakNode &node);
    PipelinedRequest makePipelinedRequest(const SoakNode &node);
    /** Sends all rules and the extra fields to the relay, after the request in flight, if any. */
    void sendToRelay(const nlohmann::json &extra);
    /** Adds a rule to the list for the duration of the fault. */
    void addRelayRule(const Fault &fault, nlohmann::json &rules, const nlohmann::json &rule);

    /** Returns whether all operations have ended and all backend servers are in service. */
    bool areOperationsOver() const;
    /** Checks that nodes and requests work again some time after all faults have ended. */
    void checkRecovery();
    /** Records a violation that is found while the soak runs. */
    void reportIncident(const std::string &invariant, const std::string &detail);

public:
    explicit Soak(const SoakOptions &options);
    ~Soak();

    /** Runs the whole soak. Returns an error if the nodes or stand-ins could not be started. */
    absl::Status run();
    /** Returns one line for each violated invariant. */
    std::vector<std::string> violations() const
    {
        return violatedInvariants(m_observations, m_bounds);
    }
    /** Returns one line with the numbers of faults, requests and configurations. */
    std::string summary() const;
    const std::string &directory() const { return m_directory; }
    /** Writes all disturbances, requests, runs and drains to records.txt beside the logs. */
    void writeRecords() const;
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SOAK_H
