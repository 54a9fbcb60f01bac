#include "modules/fleet/link_plan.h"

#include <algorithm>
#include <map>
#include <utility>

#include "core/hash.h"

namespace jacinthshift {

RelayRank relayRank(const NodeContact &contact)
{
    return {.capacity = contact.relayCapacity,
            .weight = rendezvousWeight(contact.domain, contact.node)};
}

/** Chooses nodes in order until a number of reachable ones is among them, at most twice as many. */
static void chooseReachable(const std::vector<const LinkPlanNode *> &ordered, std::size_t count,
                            std::set<std::string> &chosen)
{
    std::size_t reachable = 0;
    std::size_t all = 0;
    for (const LinkPlanNode *node : ordered) {
        if (reachable == count || all == 2 * count)
            return;
        chosen.insert(node->contact->node);
        reachable += node->unreachable ? 0 : 1;
        ++all;
    }
}

/** Returns the nodes in descending order of a key. */
template <typename Key>
static std::vector<const LinkPlanNode *> orderedBy(const std::vector<const LinkPlanNode *> &nodes,
                                                   const Key &key)
{
    using Value = decltype(key(*nodes.front()->contact));
    std::vector<std::pair<Value, const LinkPlanNode *>> weighted;
    weighted.reserve(nodes.size());
    for (const LinkPlanNode *node : nodes)
        weighted.emplace_back(key(*node->contact), node);
    std::sort(weighted.begin(), weighted.end(),
              [](const auto &a, const auto &b) { return a.first > b.first; });
    std::vector<const LinkPlanNode *> ordered;
    ordered.reserve(weighted.size());
    for (const auto &[value, node] : weighted)
        ordered.push_back(node);
    return ordered;
}

std::set<std::string> LinkPlan::choose(const NodeContact &self, bool isRelay,
                                       const std::vector<LinkPlanNode> &nodes) const
{
    std::set<std::string> chosen;
    std::map<std::string, std::vector<const LinkPlanNode *>> byDomain;
    std::map<std::pair<std::string, std::string>, std::vector<const LinkPlanNode *>> byService;
    const bool fullMesh = isFullMesh(nodes.size());
    for (const LinkPlanNode &node : nodes) {
        const NodeContact &contact = *node.contact;
        if (fullMesh || contact.domain == self.domain) {
            chosen.insert(contact.node);
            continue;
        }
        byDomain[contact.domain].push_back(&node);
        byService[{contact.domain, contact.service}].push_back(&node);
    }
    const auto ownWeight = [&self](const NodeContact &contact) {
        return rendezvousWeight(self.node, contact.node);
    };
    for (const auto &[group, candidates] : byService)
        chooseReachable(orderedBy(candidates, ownWeight), m_options.linksPerService, chosen);
    if (isRelay) {
        for (const auto &[domain, candidates] : byDomain)
            chooseReachable(orderedBy(candidates, relayRank), m_options.linksPerRelayDomain,
                            chosen);
    }
    return chosen;
}

} // namespace jacinthshift
