#ifndef MODULES_FORWARDING_OWNER_DIRECTORY_H
#define MODULES_FORWARDING_OWNER_DIRECTORY_H

#include <string>
#include <vector>

#include "modules/fleet/call_server.h"
#include "modules/fleet/fleet_network.h"
#include "modules/fleet/remote_call_client.h"
#include "modules/forwarding/owner_selector.h"
#include "modules/forwarding/version_policy.h"

namespace jacinthshift {

/** Criteria for the owners that a request may be sent to. */
struct OwnerQuery
{
    const std::string &service;
    const VersionChoice &version;
    const std::vector<std::string> &triedNodes; ///< Nodes that were asked already.
    bool ownDomainOnly = false; ///< Whether only the own failure domain is considered.
};

/** Finds the owners of a service on this node and its peers, by the status that each reported. */
class OwnerDirectory
{
    /** Why an owner is excluded; None if it is eligible. */
    enum class Exclusion {
        None,
        OtherService,
        Unreachable,
        Silent,
        Unknown, ///< It has not sent its status yet.
        Leaving,
        Absent,
        Draining,
        Braked,
        OtherVersion,
        Tried,
        OtherDomain, ///< In another failure domain while only the own one is considered.
    };
    struct Entry
    {
        const std::string &node;
        const BackendStatus &backend;
        const FleetPeer *peer; ///< Null for this node.
    };

    const FleetNetwork &m_network;
    const RemoteCallClient &m_remote;
    const WorkHandler &m_local;
    TimerService &m_timers;

    static std::string_view exclusionName(Exclusion exclusion);
    /** Calls `visit` with the entry of each node. */
    template <typename Visitor>
    void forEachNode(Visitor visit) const;
    /**
     * Returns why a node is excluded. With anyVersion, the required version of the query does not
     * matter; its excluded version is still not allowed.
     */
    Exclusion exclusion(const Entry &entry, const OwnerQuery &query, bool anyVersion) const;
    std::vector<OwnerCandidate> findEligible(const OwnerQuery &query, bool anyVersion) const;

public:
    OwnerDirectory(const FleetNetwork &network, const RemoteCallClient &remote,
                   const WorkHandler &local, TimerService &timers)
        : m_network(network), m_remote(remote), m_local(local), m_timers(timers)
    {
    }

    /**
     * Returns the eligible owners. Owners that run another version than the required one are
     * returned only if none runs that and the version choice allows a fallback.
     */
    std::vector<OwnerCandidate> candidates(const OwnerQuery &query) const;
    /** Describes why owners of the service are excluded, with the age of their status. */
    std::string describeExcludedOwners(const OwnerQuery &query) const;
};

} // namespace jacinthshift

#endif // MODULES_FORWARDING_OWNER_DIRECTORY_H
