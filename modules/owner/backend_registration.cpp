#include "modules/owner/backend_registration.h"

#include <algorithm>

namespace jacinthshift {

namespace {

constexpr std::size_t MaxStoredDeregistrations = 64;

} // namespace

bool BackendRegistration::hasDeregistered(const BackendHeartbeat &heartbeat) const
{
    return std::any_of(m_deregistrations.begin(), m_deregistrations.end(),
                       [&heartbeat](const Deregistration &deregistration) {
                           if (deregistration.id != heartbeat.id)
                               return false;
                           // A backend server may restart under its old id. Only a later start time
                           // is a new lifetime.
                           return !heartbeat.startedAt || !deregistration.startedAt
                                  || *heartbeat.startedAt <= *deregistration.startedAt;
                       });
}

bool BackendRegistration::isOlderLifetime(const BackendHeartbeat &heartbeat) const
{
    return m_current && heartbeat.startedAt && m_current->startedAt
           && *heartbeat.startedAt < *m_current->startedAt;
}

RegistrationOutcome BackendRegistration::heartbeat(const BackendHeartbeat &heartbeat)
{
    if (hasDeregistered(heartbeat))
        return RegistrationOutcome::Deregistered;
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

bool BackendRegistration::setDraining()
{
    if (!m_current || m_current->draining)
        return false;
    m_current->draining = true;
    return true;
}

RegistrationOutcome BackendRegistration::deregister(const std::string &id,
                                                    std::optional<std::uint64_t> startedAt)
{
    // A late or repeated message may be of an earlier lifetime under the same id.
    const bool isCurrent =
            m_current && m_current->id == id
            && (!startedAt || !m_current->startedAt || *startedAt >= *m_current->startedAt);
    if (isCurrent && !startedAt)
        startedAt = m_current->startedAt;
    const Deregistration deregistration{.id = id, .startedAt = startedAt};
    std::erase(m_deregistrations, deregistration);
    m_deregistrations.push_back(deregistration);
    if (m_deregistrations.size() > MaxStoredDeregistrations)
        m_deregistrations.pop_front();
    if (!isCurrent)
        return RegistrationOutcome::Stale;
    m_current.reset();
    return RegistrationOutcome::Accepted;
}

} // namespace jacinthshift
