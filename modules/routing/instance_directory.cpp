#include "modules/routing/instance_directory.h"

#include "core/duration.h"

namespace jacinthshift {

InstanceDirectory::InstanceDirectory(MemberTable &members, TimerService &timers,
                                     std::chrono::milliseconds lostRetention)
    : m_timers(timers), m_lostRetention(lostRetention)
{
    members.addObserver([this](const MemberRecord &record) { memberChanged(record); });
}

void InstanceDirectory::moveToLost(const std::string &node)
{
    const auto found = m_serviceOfNode.find(node);
    if (found == m_serviceOfNode.end())
        return;
    std::map<std::string, MemberRecord> &instances = m_instances[found->second];
    const MemberRecord &record = instances[node];
    m_lostInstances[found->second][node] = LostInstance{.record = record, .lostAt = m_timers.now()};
    instances.erase(node);
    m_serviceOfNode.erase(found);
}

void InstanceDirectory::memberChanged(const MemberRecord &record)
{
    const bool isPresent = record.isReachable() && record.backend != BackendState::None;
    const auto known = m_serviceOfNode.find(record.node);
    const bool serviceChanged = known != m_serviceOfNode.end() && known->second != record.service;
    const bool restarted =
            known != m_serviceOfNode.end()
            && m_instances[known->second][record.node].incarnation != record.incarnation;
    if (!isPresent || serviceChanged || restarted)
        moveToLost(record.node);
    if (!isPresent)
        return;
    // A node that returns with the same process still stores its idempotency keys.
    const auto lost = m_lostInstances[record.service].find(record.node);
    const bool sameProcess = lost != m_lostInstances[record.service].end()
                             && lost->second.record.incarnation == record.incarnation;
    if (sameProcess)
        m_lostInstances[record.service].erase(lost);
    m_instances[record.service][record.node] = record;
    m_serviceOfNode[record.node] = record.service;
}

std::vector<MemberRecord> InstanceDirectory::instances(const std::string &service) const
{
    std::vector<MemberRecord> found;
    const auto instances = m_instances.find(service);
    if (instances == m_instances.end())
        return found;
    for (const auto &[node, record] : instances->second)
        found.push_back(record);
    return found;
}

std::string InstanceDirectory::versionAt(const std::string &service, const std::string &node) const
{
    const auto instances = m_instances.find(service);
    if (instances == m_instances.end())
        return {};
    const auto found = instances->second.find(node);
    return found == instances->second.end() ? std::string() : found->second.version;
}

KeyHomes InstanceDirectory::homesOf(const std::string &service, const std::string &key) const
{
    std::vector<KeyHolder> holders;
    const auto instances = m_instances.find(service);
    if (instances != m_instances.end()) {
        for (const auto &[node, record] : instances->second)
            holders.push_back(KeyHolder{
                    .node = node, .joinedAt = static_cast<std::int64_t>(record.backendSince)});
    }
    const auto lost = m_lostInstances.find(service);
    if (lost != m_lostInstances.end()) {
        for (const auto &[node, entry] : lost->second) {
            if (m_timers.now() - entry.lostAt < m_lostRetention)
                holders.push_back(
                        KeyHolder{.node = node,
                                  .joinedAt = static_cast<std::int64_t>(entry.record.backendSince),
                                  .lost = true});
        }
    }
    return findKeyHomes(holders, key, m_lostRetention, unixMilliseconds(m_timers.wallNow()));
}

} // namespace jacinthshift
