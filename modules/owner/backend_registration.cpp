#include "modules/owner/backend_registration.h"

#include <algorithm>

namespace jacinthshift {

namespace {

constexpr std::size_t MaxDeparted = 64;

} // namespace

bool BackendRegistration::hasDeparted(const BackendHeartbeat &heartbeat) const
{
    return std::any_of(m_departed.begin(), m_departed.end(), [&heartbeat](const Departed &gone) {
        if (gone.id != heartbeat.id)
            return false;
        // A backend server may start again under its old id; only a later start is another
        // lifetime.
        return !heartbeat.startedAt || !gone.startedAt || *heartbeat.startedAt <= *gone.startedAt;
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
    // The acknowledged announcement binds: a lifetime that drains never becomes ready again.
    m_current->draining = wasDraining || heartbeat.draining;
    return RegistrationOutcome::Accepted;
}

RegistrationOutcome BackendRegistration::goodbye(const std::string &id,
                                                 std::optional<std::uint64_t> startedAt)
{
    const bool present = m_current && m_current->id == id;
    if (present && !startedAt)
        startedAt = m_current->startedAt;
    m_departed.push_back(Departed{.id = id, .startedAt = startedAt});
    if (m_departed.size() > MaxDeparted)
        m_departed.pop_front();
    if (!present)
        return RegistrationOutcome::Stale;
    m_current.reset();
    return RegistrationOutcome::Accepted;
}

} // namespace jacinthshift
