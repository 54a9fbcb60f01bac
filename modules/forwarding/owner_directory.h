#ifndef MODULES_FORWARDING_OWNER_DIRECTORY_H
#define MODULES_FORWARDING_OWNER_DIRECTORY_H

#include <functional>
#include <string>
#include <vector>

#include "modules/fleet/call_server.h"
#include "modules/fleet/fleet_network.h"
#include "modules/fleet/remote_caller.h"
#include "modules/forwarding/owner_selector.h"
#include "modules/forwarding/version_policy.h"

namespace jacinthshift {

/** Which owners are looked for. */
struct OwnerQuery
{
    const std::string &service;
    const VersionChoice &version;
    const std::vector<std::string> &tried; ///< Nodes that were asked already.
    bool nearOnly = false;                 ///< Whether only the own failure domain is asked.
};

/** What this node knows of the owners of a service, its own one among them. */
class OwnerDirectory
{
    /** Why an owner may not be asked; None if it may. */
    enum class Obstacle {
        None,
        OtherService,
        Unreachable,
        Silent,
        Unknown, ///< It has not told its state.
        Leaving,
        Absent,
        Draining,
        Braked,
        OtherVersion,
        Tried,
        Far, ///< In another failure domain, of which enough were asked.
    };
    struct Entry
    {
        const std::string &node;
        const BackendStatus &backend;
        const FleetPeer *peer; ///< Null for this node.
    };

    const FleetNetwork &m_network;
    const RemoteCaller &m_remote;
    const WorkHandler &m_local;
    TimerService &m_timers;

    static std::string_view obstacleName(Obstacle obstacle);
    void forEach(const std::function<void(const Entry &)> &visit) const;
    Obstacle obstacle(const Entry &entry, const OwnerQuery &query, bool anyVersion) const;
    std::vector<OwnerCandidate> find(const OwnerQuery &query, bool anyVersion) const;

public:
    OwnerDirectory(const FleetNetwork &network, const RemoteCaller &remote,
                   const WorkHandler &local, TimerService &timers)
        : m_network(network), m_remote(remote), m_local(local), m_timers(timers)
    {
    }

    /** Returns those that may be asked; another version only if none of the wanted one may. */
    std::vector<OwnerCandidate> candidates(const OwnerQuery &query) const;
    /** Says why owners of the service may not be asked, with the age of what is known of them. */
    std::string leftOut(const OwnerQuery &query) const;
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_OWNER_DIRECTORY_H
