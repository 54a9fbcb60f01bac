#ifndef MODULES_FLEET_CALL_SERVER_H
#define MODULES_FLEET_CALL_SERVER_H

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <utility>

#include "modules/fleet/fleet_network.h"

namespace jacinthshift {

/** Runs requests on this VM's backend server. */
class WorkHandler
{
public:
    using Callback = std::function<void(const WorkResult &)>;

    virtual ~WorkHandler() = default;

    /** Takes a request. The callback runs exactly once, possibly before this function returns. */
    virtual std::uint64_t run(const WorkRequest &work, Callback callback) = 0;
    /** Stops a request; its callback does not run any more. */
    virtual void cancel(std::uint64_t id) = 0;
    /** Returns what is told to other nodes. */
    virtual BackendStatus status() const = 0;
};

struct CallServerOptions
{
    /** How long results are kept for callers that lost their link. */
    std::chrono::milliseconds keepResults{3'000};
    std::size_t maxKept = 4'096;
};

/** Takes calls of other nodes and sends their results, over a new link if need be. */
class CallServer final : public FleetObserver
{
    using CallKey = std::pair<std::string, std::uint64_t>; ///< Node with incarnation, call.

    struct Kept
    {
        CallKey key;
        SteadyTime until;
    };

    CallServerOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    WorkHandler &m_handler;
    std::map<CallKey, std::uint64_t> m_running;
    // A result without value marks a call that must not start if it arrives late.
    std::map<CallKey, std::optional<WorkResult>> m_results;
    std::deque<Kept> m_expiry;

    std::string callerName(const std::string &node) const;
    void take(const std::string &node, const WorkCallMessage &message);
    void finished(const std::string &node, const CallKey &key, const WorkResult &result);
    void resume(const std::string &node, const WorkResumeMessage &message);
    void cancel(const std::string &node, std::uint64_t call);
    void keep(const CallKey &key, std::optional<WorkResult> result);
    void expire();
    void sendResult(const std::string &node, std::uint64_t call, const WorkResult &result);

public:
    CallServer(const CallServerOptions &options, FleetNetwork &network, TimerService &timers,
               WorkHandler &handler);

    std::size_t running() const { return m_running.size(); }

    void fleetMessage(const std::string &node, const FleetMessage &message) override;
    void fleetLinksChanged(const std::string &) override {}
};

} // namespace jacinthshift

#endif // MODULES_FLEET_CALL_SERVER_H
