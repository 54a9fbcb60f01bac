#ifndef MODULES_FLEET_REMOTE_CALLER_H
#define MODULES_FLEET_REMOTE_CALLER_H

#include <functional>
#include <unordered_map>

#include "modules/fleet/fleet_network.h"

namespace jacinthshift {

struct RemoteCallerOptions
{
    /** How long a call without a link may wait for a new one before it is given up. */
    std::chrono::milliseconds linkLossPatience{700};
    /** How long an idempotent call waits for a node that went silent before it goes elsewhere. */
    std::chrono::milliseconds silencePatience{100};
    std::chrono::milliseconds checkPeriod{50};
};

/**
 * Hands requests to the owners of backend servers on other nodes.
 *
 * A call belongs to the owner's process, not to a connection: when a link is lost or goes silent
 * the results are asked for over the next one. So a lost connection costs a delay, not the request.
 */
class RemoteCaller final : public FleetObserver
{
public:
    using Callback = std::function<void(const WorkResult &)>;

private:
    struct Call
    {
        std::string node;
        std::uint64_t incarnation = 0; ///< Of the owner's process that took it.
        Callback callback;
        SteadyTime linklessSince; ///< Zero while there is a link.
        bool idempotent = false;
    };

    RemoteCallerOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::string, std::uint32_t> m_perNode;
    std::uint64_t m_lastCall = 0;
    Timer m_check;

    void check();
    bool isGivenUp(const Call &call);
    void finish(std::uint64_t call, const WorkResult &result);
    void resume(const std::string &node);

public:
    RemoteCaller(const RemoteCallerOptions &options, FleetNetwork &network, TimerService &timers);

    /** Sends a request to a node's owner. The callback runs once, after this function returned. */
    std::uint64_t call(const std::string &node, const WorkRequest &work, Callback callback);
    /** Gives a call up; its callback does not run. The owner stops the work. */
    void cancel(std::uint64_t call);
    /** Returns the number of calls that wait for a node. */
    std::uint32_t outstanding(const std::string &node) const;

    void fleetMessage(const std::string &node, const FleetMessage &message) override;
    void fleetLinksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_REMOTE_CALLER_H
