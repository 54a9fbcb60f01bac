#include "modules/forwarding/owner_directory.h"

#include <algorithm>

#include "core/text.h"

namespace jacinthshift {

namespace {

// More would make the lines of a large mesh long; the rest is counted.
constexpr std::size_t MostNamed = 6;

} // namespace

std::string_view OwnerDirectory::obstacleName(Obstacle obstacle)
{
    switch (obstacle) {
    case Obstacle::None:
        return "free";
    case Obstacle::OtherService:
        return "other service";
    case Obstacle::Unreachable:
        return "no link";
    case Obstacle::Silent:
        return "silent";
    case Obstacle::Unknown:
        return "state unknown";
    case Obstacle::Leaving:
        return "stopping";
    case Obstacle::Absent:
        return "no backend server";
    case Obstacle::Draining:
        return "draining";
    case Obstacle::Braked:
        return "braked";
    case Obstacle::OtherVersion:
        return "runs another version";
    case Obstacle::Tried:
        return "tried";
    case Obstacle::Far:
        return "in another failure domain";
    }
    return "";
}

void OwnerDirectory::forEach(const std::function<void(const Entry &)> &visit) const
{
    const BackendStatus local = m_local.status();
    visit(Entry{.node = m_network.self().node, .backend = local, .peer = nullptr});
    for (const auto &[node, peer] : m_network.peers())
        visit(Entry{.node = node, .backend = peer.status.backend, .peer = &peer});
}

OwnerDirectory::Obstacle OwnerDirectory::obstacle(const Entry &entry, const OwnerQuery &query,
                                                  bool anyVersion) const
{
    const BackendStatus &backend = entry.backend;
    const bool known = entry.peer == nullptr || entry.peer->hasStatus;
    if (known && !backend.service.empty() && backend.service != query.service)
        return Obstacle::OtherService;
    if (std::find(query.tried.begin(), query.tried.end(), entry.node) != query.tried.end())
        return Obstacle::Tried;
    if (entry.peer != nullptr && entry.peer->links.empty())
        return Obstacle::Unreachable;
    if (entry.peer != nullptr && entry.peer->silent)
        return Obstacle::Silent;
    if (!known)
        return Obstacle::Unknown;
    if (entry.peer != nullptr && entry.peer->status.leaving)
        return Obstacle::Leaving;
    if (backend.availability == BackendAvailability::Absent)
        return Obstacle::Absent;
    if (backend.availability != BackendAvailability::Ready)
        return Obstacle::Draining;
    if (backend.braked)
        return Obstacle::Braked;
    const bool fits = query.version.allows(backend.version)
                      || (anyVersion && backend.version != query.version.excluded);
    return fits ? Obstacle::None : Obstacle::OtherVersion;
}

std::vector<OwnerCandidate> OwnerDirectory::find(const OwnerQuery &query, bool anyVersion) const
{
    std::vector<OwnerCandidate> found;
    forEach([&](const Entry &entry) {
        if (obstacle(entry, query, anyVersion) != Obstacle::None)
            return;
        const bool local = entry.peer == nullptr;
        found.push_back(
                OwnerCandidate{.node = entry.node,
                               .sameDomain = local || m_network.isNear(*entry.peer),
                               .backend = entry.backend,
                               .outstanding = local ? 0 : m_remote.outstanding(entry.node)});
    });
    return found;
}

std::vector<OwnerCandidate> OwnerDirectory::candidates(const OwnerQuery &query) const
{
    std::vector<OwnerCandidate> found = find(query, false);
    if (found.empty() && query.version.mayFallBack)
        found = find(query, true);
    if (query.nearOnly)
        std::erase_if(found, [](const OwnerCandidate &owner) { return !owner.sameDomain; });
    return found;
}

std::string OwnerDirectory::leftOut(const OwnerQuery &query) const
{
    std::string text;
    std::size_t count = 0;
    forEach([&](const Entry &entry) {
        Obstacle reason = obstacle(entry, query, query.version.mayFallBack);
        const bool far = entry.peer != nullptr && !m_network.isNear(*entry.peer);
        if (reason == Obstacle::None && query.nearOnly && far)
            reason = Obstacle::Far;
        if (reason == Obstacle::None || reason == Obstacle::OtherService || ++count > MostNamed)
            return;
        text += joinText(text.empty() ? "" : ", ", entry.node, " ", obstacleName(reason));
        if (entry.peer == nullptr || entry.peer->statusAt == SteadyTime())
            return;
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(
                m_timers.now() - entry.peer->statusAt);
        text += joinText(" (", age.count(), " ms ago)");
    });
    if (count > MostNamed)
        text += joinText(" and ", count - MostNamed, " more");
    return text.empty() ? "no owner of the service is known" : text;
}

} // namespace jacinthshift
