#include "modules/forwarding/owner_directory.h"

#include <algorithm>

#include "core/text.h"

namespace jacinthshift {

namespace {

// Owners named in a log line. The others are only counted, to keep lines short in a large mesh.
constexpr std::size_t MaxNamedOwners = 6;
constexpr std::size_t MaxReservedCandidates = 32;

} // namespace

std::string_view OwnerDirectory::exclusionName(Exclusion exclusion)
{
    switch (exclusion) {
    case Exclusion::None:
        return "free";
    case Exclusion::OtherService:
        return "other service";
    case Exclusion::Unreachable:
        return "no link";
    case Exclusion::Silent:
        return "silent";
    case Exclusion::Unknown:
        return "state unknown";
    case Exclusion::Leaving:
        return "stopping";
    case Exclusion::Absent:
        return "no backend server";
    case Exclusion::Draining:
        return "draining";
    case Exclusion::Braked:
        return "braked";
    case Exclusion::OtherVersion:
        return "runs another version";
    case Exclusion::Tried:
        return "tried";
    case Exclusion::OtherDomain:
        return "in another failure domain";
    }
    return "";
}

template <typename Visitor>
void OwnerDirectory::forEachNode(Visitor visit) const
{
    const BackendStatus local = m_local.status();
    visit(Entry{.node = m_network.self().node, .backend = local, .peer = nullptr});
    for (const auto &[node, peer] : m_network.peers())
        visit(Entry{.node = node, .backend = peer.status.backend, .peer = &peer});
}

OwnerDirectory::Exclusion OwnerDirectory::exclusion(const Entry &entry, const OwnerQuery &query,
                                                    bool anyVersion) const
{
    const BackendStatus &backend = entry.backend;
    const bool hasStatus = entry.peer == nullptr || entry.peer->hasStatus;
    if (!hasStatus && !entry.peer->contact.service.empty()
        && entry.peer->contact.service != query.service)
        return Exclusion::OtherService;
    if (hasStatus && !backend.service.empty() && backend.service != query.service)
        return Exclusion::OtherService;
    if (std::find(query.triedNodes.begin(), query.triedNodes.end(), entry.node)
        != query.triedNodes.end())
        return Exclusion::Tried;
    if (entry.peer != nullptr && entry.peer->links.empty())
        return Exclusion::Unreachable;
    if (entry.peer != nullptr && entry.peer->silent)
        return Exclusion::Silent;
    if (!hasStatus)
        return Exclusion::Unknown;
    if (entry.peer != nullptr && entry.peer->status.leaving)
        return Exclusion::Leaving;
    if (backend.availability == BackendAvailability::Absent)
        return Exclusion::Absent;
    const bool saidLeaving = entry.peer != nullptr && FleetNetwork::isBackendLeaving(*entry.peer);
    if (backend.availability != BackendAvailability::Ready || saidLeaving)
        return Exclusion::Draining;
    if (backend.braked)
        return Exclusion::Braked;
    const bool versionAllowed = query.version.allows(backend.version)
                                || (anyVersion && backend.version != query.version.excludedVersion);
    return versionAllowed ? Exclusion::None : Exclusion::OtherVersion;
}

std::vector<OwnerCandidate> OwnerDirectory::findEligible(const OwnerQuery &query,
                                                         bool anyVersion) const
{
    std::vector<OwnerCandidate> found;
    const SteadyTime now = m_timers.now();
    // A mesh has many services, so only a part of the nodes are owners of this one.
    found.reserve(std::min(m_network.peers().size() + 1, MaxReservedCandidates));
    forEachNode([&](const Entry &entry) {
        if (exclusion(entry, query, anyVersion) != Exclusion::None)
            return;
        const bool local = entry.peer == nullptr;
        found.push_back(OwnerCandidate{
                .node = entry.node,
                .sameDomain = local || m_network.isInOwnDomain(*entry.peer),
                .backend = entry.backend,
                .outstanding = local ? 0 : m_remote.outstanding(entry.node),
                .statusAge = local ? std::chrono::milliseconds(0)
                                   : std::chrono::duration_cast<std::chrono::milliseconds>(
                                           now - entry.peer->statusReceivedAt)});
    });
    return found;
}

std::vector<OwnerCandidate> OwnerDirectory::candidates(const OwnerQuery &query) const
{
    std::vector<OwnerCandidate> found = findEligible(query, false);
    if (found.empty() && query.version.allowFallback)
        found = findEligible(query, true);
    if (query.ownDomainOnly)
        std::erase_if(found, [](const OwnerCandidate &owner) { return !owner.sameDomain; });
    return found;
}

std::string OwnerDirectory::describeExcludedOwners(const OwnerQuery &query) const
{
    std::string text;
    std::size_t count = 0;
    forEachNode([&](const Entry &entry) {
        Exclusion reason = exclusion(entry, query, query.version.allowFallback);
        const bool isOtherDomain = entry.peer != nullptr && !m_network.isInOwnDomain(*entry.peer);
        if (reason == Exclusion::None && query.ownDomainOnly && isOtherDomain)
            reason = Exclusion::OtherDomain;
        if (reason == Exclusion::None || reason == Exclusion::OtherService
            || ++count > MaxNamedOwners)
            return;
        text += joinText(text.empty() ? "" : ", ", entry.node, " ", exclusionName(reason));
        if (entry.peer == nullptr || entry.peer->statusReceivedAt == SteadyTime())
            return;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_timers.now() - entry.peer->statusReceivedAt);
        text += joinText(" (", age.count(), " ms ago)");
    });
    if (count > MaxNamedOwners)
        text += joinText(" and ", count - MaxNamedOwners, " more");
    return text.empty() ? "no owner of the service is known" : text;
}

} // namespace jacinthshift
