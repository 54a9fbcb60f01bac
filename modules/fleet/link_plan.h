#ifndef MODULES_FLEET_LINK_PLAN_H
#define MODULES_FLEET_LINK_PLAN_H

#include <compare>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "modules/fleet/messages.h"

namespace jacinthshift {

struct LinkPlanOptions
{
    /** In a mesh of at most this many nodes each links to all others. */
    std::size_t fullMeshNodes = 100;
    /**
     * Number of nodes per service and other failure domain to which a node of a larger mesh links.
     * About as many link to it, so it can choose among twice as many owners there.
     */
    std::size_t linksPerService = 4;
    /**
     * Number of nodes of other failure domains to which a relay links, in each of them: more than
     * there are relays, as the views of two domains differ for a moment when a relay ends.
     */
    std::size_t linksPerRelayDomain = 3;
};

/** A node that may be linked to. */
struct LinkPlanNode
{
    const NodeContact *contact = nullptr;
    bool unreachable = false; ///< Attempts to link to it fail.
};

/**
 * Chooses the nodes to which a node opens links, so that the number of its links does not grow with
 * the number of failure domains times their nodes.
 *
 * All nodes of the own failure domain are chosen. Of the others, each node chooses a few per
 * service and failure domain by rendezvous weight: the choice is the same after a restart, changes
 * little when nodes come and go, and falls on all nodes of a service about equally often.
 */
class LinkPlan
{
    LinkPlanOptions m_options;

public:
    explicit LinkPlan(const LinkPlanOptions &options) : m_options(options) {}

    /** Returns whether a mesh with a number of other nodes is small enough for links to all. */
    bool isFullMesh(std::size_t otherNodes) const { return otherNodes < m_options.fullMeshNodes; }
    /**
     * Returns the names of the nodes to link to. A relay passes messages on between the failure
     * domains, see relayRank(). An unreachable node is replaced by the next one, and still tried.
     */
    std::set<std::string> choose(const NodeContact &self, bool isRelay,
                                 const std::vector<LinkPlanNode> &nodes) const;
};

/** Orders the nodes of a failure domain by their suitability as relays; the highest is the best. */
struct RelayRank
{
    std::uint32_t capacity = 0;
    std::uint64_t weight = 0;

    auto operator<=>(const RelayRank &) const = default;
};

RelayRank relayRank(const NodeContact &contact);

} // namespace jacinthshift

#endif // MODULES_FLEET_LINK_PLAN_H
