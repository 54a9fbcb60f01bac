#ifndef MODULES_ROLLOUT_TESTS_ROLLOUT_EXPOSURE_MODEL_H
#define MODULES_ROLLOUT_TESTS_ROLLOUT_EXPOSURE_MODEL_H

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/rollout/rollout_controller.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

/** How the new version of a service is faulty. */
enum class VersionFault {
    None,
    Failures,  ///< It fails many requests.
    UnderLoad, ///< It fails requests while it runs several at once.
    OneRoute,  ///< It fails all requests of one route of ten.
    Slow,      ///< It takes four times as long for some requests.
};

struct RolloutExposureOptions
{
    std::uint64_t seed = 0;
    VersionFault fault = VersionFault::None;
    double faultBegin = 0.0; ///< As a fraction of the order's duration.
    bool trouble = false;    ///< Restarts, cuts, resets, bursts and an unavailable register.
    std::size_t nodes = 8;
    double requestsPerSecond = 200.0; ///< To the service, from all nodes.
    std::chrono::milliseconds duration{15'000};
    double runFraction = 1.6; ///< Time simulated after the order, in durations of the order.
};

/** What a simulated rollout has led to. */
struct RolloutExposure
{
    std::uint64_t requests = 0;       ///< Reached the service in the order's duration.
    std::uint64_t targetRequests = 0; ///< Of these, the ones to the new version.
    /** Longest time from the 50th faulty answer to the sending of a request to the version. */
    std::chrono::milliseconds lastTargetRequest{0};
    RolloutOutcome outcome = RolloutOutcome::Open; ///< In the register.
    /** From the order to the outcome; the end of the simulation if there is none. */
    std::chrono::milliseconds outcomeAfter{0};

    /** Returns how many requests a faulty version may get. */
    double allowedRequests() const { return 0.1 * static_cast<double>(requests) + 50.0; }
};

/**
 * Nodes with forwarders, owners and rollout controllers that roll out a new version of a service,
 * with simulated links, callers, backend servers and register.
 */
class RolloutExposureModel
{
    class Process;
    class ProcessRegister;
    class ServerClient;

    /** A VM with a backend server, whose node's process may be down. */
    struct Machine
    {
        std::string name;
        std::uint16_t port = 0;
        std::string version;
        std::unique_ptr<Process> process;
        bool cut = false;
        SteadyTime lastCutAt;
        double callerShare = 1.0;
        std::size_t running = 0; ///< Requests on its backend server.
        std::uint64_t heartbeats = 0;
    };

    RolloutExposureOptions m_options;
    Random m_random;
    ManualTimerService m_timers;
    FakeLinkHub m_hub{m_timers};
    RolloutEntry m_registerEntry;
    bool m_registerAvailable = true;
    std::chrono::milliseconds m_registerDelay{10};
    /** Of all processes so far: they outlive these for the frames in flight. */
    std::vector<std::unique_ptr<FakeLinkTransport>> m_transports;
    std::vector<Machine> m_machines;
    SteadyTime m_orderedAt;
    double m_burst = 1.0;
    std::uint64_t m_incarnation = 0;
    std::uint64_t m_requestNumber = 0;
    std::uint64_t m_faultyAnswers = 0;
    SteadyTime m_fiftiethFaultyAnswerAt;
    std::vector<Timer> m_plan; ///< The troubles to come.
    RolloutExposure m_exposure;

    std::vector<NodeContact> contacts() const;
    void startProcess(std::size_t machine);
    void endProcess(std::size_t machine);
    void giveOrder(std::size_t machine, std::chrono::milliseconds delay);
    void restart(std::size_t machine, std::chrono::milliseconds pause);
    void cut(std::size_t machine, std::chrono::milliseconds time);
    void sendHeartbeats();
    void sendRequests();
    void at(std::chrono::milliseconds delay, std::function<void()> action);
    void planTrouble();
    void planOneTrouble(std::chrono::milliseconds delay);
    bool isFaulty(const Machine &machine, const std::string &route);
    /** Counts a request that a backend server receives. */
    void requestReached(const Machine &server, SteadyTime sentAt, const std::string &sender);
    void step();

public:
    explicit RolloutExposureModel(const RolloutExposureOptions &options);
    ~RolloutExposureModel();

    RolloutExposure run();
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_TESTS_ROLLOUT_EXPOSURE_MODEL_H
