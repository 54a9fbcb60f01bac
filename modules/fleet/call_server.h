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
    /**
     * How long calls are remembered that have ended, or that were reported as not run. It must be
     * longer than a frame can wait in a connection that a starved process has not read.
     */
    std::chrono::milliseconds rememberCalls{120'000};
    std::size_t maxRemembered = 100'000;
};

/** Takes calls of other nodes and sends their results, over a new link if need be. */
class CallServer final : public FleetObserver
{
    using CallKey = std::pair<std::string, std::uint64_t>; ///< Node with incarnation, call.

    /** Why a call must not start any more. */
    enum class CallEnd {
        Finished, ///< It has run, or was refused.
        Fenced,   ///< It had not arrived when its result was asked for, or it was cancelled.
    };
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
    std::map<CallKey, WorkResult> m_results;
    std::deque<Kept> m_resultExpiry;
    std::map<CallKey, CallEnd> m_ended;
    std::deque<Kept> m_endedExpiry;

    std::string callerName(const std::string &node) const;
    void take(const std::string &node, const WorkCallMessage &message);
    void finished(const std::string &node, const CallKey &key, const WorkResult &result);
    void resume(const std::string &node, const WorkResumeMessage &message);
    void cancel(const std::string &node, std::uint64_t call);
    void remember(const CallKey &key, CallEnd end);
    WorkResult resultOf(const CallKey &key);
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
