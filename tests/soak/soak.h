#ifndef TESTS_SOAK_SOAK_H
#define TESTS_SOAK_SOAK_H

#include <chrono>
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
#include "tests/soak/ledger.h"
#include "tests/soak/promises.h"
#include "tests/soak/soak_backend.h"
#include "tests/soak/soak_store.h"
#include "tests/support/child_process.h"
#include "tests/support/loopback_network.h"

namespace jacinthshift {

struct SoakOptions
{
    std::uint64_t seed = 1;
    std::chrono::milliseconds length{25'000}; ///< Of the part with faults.
    std::size_t domains = 3;
    std::size_t nodesPerDomain = 3;
    double requestsPerSecond = 250.0;
    std::string binaries;
};

/**
 * Runs nodes as processes beside stand-ins for the store, the network, backend servers and callers,
 * injects the faults of one seed and checks the promises.
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
        std::uint32_t life = 0;
        std::unique_ptr<SoakBackend> backend;
        int missedProbes = 2;
        bool expectedToEnd = false; ///< It was killed or told to stop.
        bool stopping = false;
        SteadyTime stopSentAt;
        std::size_t stopDisturbance = 0;
        Timer thaw;
        Timer restart;

        Endpoint callers() const { return {address, 8080}; }
        Endpoint readiness() const { return {address, 8081}; }
        Endpoint control() const { return {address, 8082}; }
        Endpoint links() const { return {address, 7000}; }
        Endpoint advertisedLinks() const { return {address, 7900}; }
        Endpoint metrics() const { return {address, 9901}; }
    };

    /** A route, and how callers use it. */
    struct RouteKind
    {
        TrafficRoute route;
        std::string method;
        std::uint64_t addedIn = 0; ///< The configuration that brought it; 0 for the first ones.
    };

    SoakOptions m_options;
    PromiseBounds m_bounds;
    LoopbackNetwork m_network;
    std::string m_directory;
    GlibTimerService m_timers;
    BeastHttpClient m_http{BeastHttpClientOptions{.maxIdlePerServer = 32}};
    Ledger m_ledger;
    SoakStore m_store;
    ChildProcess m_relay;
    std::vector<std::unique_ptr<SoakNode>> m_nodes;
    Random m_random;
    std::vector<Fault> m_faults;
    std::vector<RouteKind> m_routes;
    std::list<Timer> m_pending; ///< Starts and ends of faults.
    nlohmann::json m_cuts = nlohmann::json::array();
    nlohmann::json m_holds = nlohmann::json::array();
    std::chrono::milliseconds m_linkDelay{0};
    nlohmann::json m_relayOrder = nlohmann::json::object(); ///< What the next order will say.
    bool m_relayBusy = false;
    std::uint64_t m_version = 0;
    std::uint64_t m_lastId = 0;
    std::size_t m_bursts = 0;
    double m_owed = 0.0; ///< Requests that are due and not sent.
    SteadyTime m_startedAt;
    SteadyTime m_lastTick;
    Timer m_ticker;
    Timer m_prober;

    // The mesh of processes.
    void addNodes();
    void writeSettings(const SoakNode &node) const;
    absl::Status startPlatform();
    void startNode(SoakNode &node);
    void watchNode(SoakNode &node);
    void probeNode(SoakNode &node);
    void pause(std::chrono::milliseconds time);
    bool waitFor(std::chrono::milliseconds limit, const std::function<bool()> &condition);
    std::string domainPrefix(std::size_t domain) const;

    // The operator and the callers.
    static RouteKind makeRoute(const std::string &name, const std::string &service,
                               const std::string &method);
    void publishConfig();
    void probeConfig(std::uint64_t version);
    void takeOut(const std::string &domain, bool out);
    void tick();
    void send(SoakNode &node, const RouteKind &kind, bool mayLeave);

    // Faults.
    void later(std::chrono::milliseconds delay, std::function<void()> action);
    void begin(const Fault &fault);
    void disturb(const Fault &fault, std::optional<std::size_t> node);
    void beginNodeFault(const Fault &fault);
    void beginStoreFault(const Fault &fault);
    void beginLinkFault(const Fault &fault);
    void beginBackendFault(const Fault &fault);
    void beginOperatorAct(const Fault &fault);
    void kill(SoakNode &node);
    void stop(SoakNode &node);
    void orderRelay(const nlohmann::json &extra);
    void heldUntil(const Fault &fault, nlohmann::json &list, const nlohmann::json &entry);

    void checkRecovery();
    void incident(const std::string &promise, const std::string &what);

public:
    explicit Soak(const SoakOptions &options);
    ~Soak();

    /** Runs the whole soak. Fails if it could not be set up. */
    absl::Status run();
    std::vector<std::string> broken() const { return brokenPromises(m_ledger, m_bounds); }
    /** Returns one line on what was sent and what came of it. */
    std::string summary() const;
    const std::string &directory() const { return m_directory; }
    /** Writes the plan and every request to files beside the logs. */
    void writeRecords() const;
};

} // namespace jacinthshift

#endif // TESTS_SOAK_SOAK_H
