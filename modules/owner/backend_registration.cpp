#include "modules/owner/backend_registration.h"

#include <algorithm>

namespace jacinthshift {

namespace {

// Number of deregistrations that are stored.
constexpr std::size_t MaxDeparted = 64;

} // namespace

bool BackendRegistration::hasDeparted(const BackendHeartbeat &heartbeat) const
{
    return std::any_of(m_departed.begin(), m_departed.end(),
                       [&heartbeat](const Departed &departed) {
                           if (departed.id != heartbeat.id)
                               return false;
                           // A backend server may restart under its old id. Only a later start time
                           // is a new lifetime.
                           return !heartbeat.startedAt || !departed.startedAt
                                  || *heartbeat.startedAt <= *departed.startedAt;
                       });
}

bool BackendRegistration::isOlderLifetime(const BackendHeartbeat &heartbeat) const
{
    return m_current && heartbeat.startedAt && m_current->startedAt
           && *heartbeat.startedAt < *m_current->startedAt;
}

RegistrationOutcome BackendRegistration::heartbeat(const BackendHeartbeat &heartbeat)
{
    if (hasDeparted(heartbeat))
        return RegistrationOutcome::Left;
    if (isOlderLifetime(heartbeat))
        return RegistrationOutcome::Stale;
    const bool sameLifetime = m_current && m_current->id == heartbeat.id
                              && m_current->startedAt == heartbeat.startedAt;
    if (!sameLifetime) {
        m_current = heartbeat;
        return RegistrationOutcome::NewLifetime;
    }
    if (heartbeat.sequence <= m_current->sequence)
        return RegistrationOutcome::Stale;
    const bool wasDraining = m_current->draining;
    m_current = heartbeat;
    // Draining was acknowledged and is final: that lifetime never becomes ready again.
    m_current->draining = wasDraining || heartbeat.draining;
    return RegistrationOutcome::Accepted;
}

RegistrationOutcome BackendRegistration::deregister(const std::string &id,
                                                    std::optional<std::uint64_t> startedAt)
{
    const bool isCurrent = m_current && m_current->id == id;
    if (isCurrent && !startedAt)
        startedAt = m_current->startedAt;
    m_departed.push_back(Departed{.id = id, .startedAt = startedAt});
    if (m_departed.size() > MaxDeparted)
        m_departed.pop_front();
    if (!isCurrent)
        return RegistrationOutcome::Stale;
    m_current.reset();
    return RegistrationOutcome::Accepted;
}

} // namespace jacinthshift
