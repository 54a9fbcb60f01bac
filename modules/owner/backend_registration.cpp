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
                           // A backend server may restart under its old id.
                           return deregistration.id == heartbeat.id
                                  && (!heartbeat.startedAt || !deregistration.startedAt
                                      || *heartbeat.startedAt == *deregistration.startedAt);
                       });
}

bool BackendRegistration::isOlderLifetime(const BackendHeartbeat &heartbeat) const
{
    if (!heartbeat.startedAt)
        return false;
    const bool beforeCurrent =
            m_current && m_current->startedAt && *heartbeat.startedAt < *m_current->startedAt;
    return beforeCurrent
           || std::any_of(m_deregistrations.begin(), m_deregistrations.end(),
                          [&heartbeat](const Deregistration &deregistration) {
                              return deregistration.id == heartbeat.id && deregistration.startedAt
                                     && *heartbeat.startedAt < *deregistration.startedAt;
                          });
}

bool BackendRegistration::isOfCurrentLifetime(const BackendHeartbeat &heartbeat) const
{
    return m_current && m_current->id == heartbeat.id
           && m_current->startedAt == heartbeat.startedAt;
}

std::chrono::milliseconds
BackendRegistration::neededConfirmTime(const BackendHeartbeat &heartbeat) const
{
    if (isOfCurrentLifetime(heartbeat))
        return std::chrono::milliseconds(0);
    if (isOlderLifetime(heartbeat))
        return m_options.earlierStartConfirmTime;
    // A draining backend server gets no requests, so nothing depends on the truth of it.
    const bool mayBeLate = !m_historyKnown && !heartbeat.draining;
    return mayBeLate ? m_options.confirmTime : std::chrono::milliseconds(0);
}

bool BackendRegistration::isConfirmed(const BackendHeartbeat &heartbeat,
                                      std::chrono::milliseconds confirmTime, SteadyTime now)
{
    const bool isSame = m_candidate && m_candidate->newest.id == heartbeat.id
                        && m_candidate->newest.startedAt == heartbeat.startedAt;
    if (!isSame) {
        m_candidate = Candidate{.newest = heartbeat, .since = now};
        return false;
    }
    if (heartbeat.sequence <= m_candidate->newest.sequence)
        return false;
    m_candidate->newest = heartbeat;
    return now - m_candidate->since >= confirmTime;
}

RegistrationOutcome BackendRegistration::heartbeat(const BackendHeartbeat &heartbeat,
                                                   SteadyTime now)
{
    if (hasDeregistered(heartbeat))
        return RegistrationOutcome::Deregistered;
    const std::chrono::milliseconds confirmTime = neededConfirmTime(heartbeat);
    if (confirmTime.count() > 0 && !isConfirmed(heartbeat, confirmTime, now)) {
        if (heartbeat.draining)
            addDrained(heartbeat);
        return isOlderLifetime(heartbeat) ? RegistrationOutcome::Stale
                                          : RegistrationOutcome::Unconfirmed;
    }
    const RegistrationOutcome outcome = updateCurrent(heartbeat);
    // The current lifetime still sends heartbeats, so those of other ones are late.
    if (outcome != RegistrationOutcome::Stale)
        m_candidate.reset();
    return outcome;
}

void BackendRegistration::addDrained(const BackendHeartbeat &heartbeat)
{
    // In front, as the last deregistration is the one that is reported.
    m_deregistrations.push_front({.id = heartbeat.id, .startedAt = heartbeat.startedAt});
    if (m_deregistrations.size() > MaxStoredDeregistrations)
        m_deregistrations.pop_front();
    if (m_candidate && hasDeregistered(m_candidate->newest))
        m_candidate.reset();
}

RegistrationOutcome BackendRegistration::updateCurrent(const BackendHeartbeat &heartbeat)
{
    if (!isOfCurrentLifetime(heartbeat)) {
        if (m_current && m_current->draining)
            addDrained(*m_current);
        m_current = heartbeat;
        return RegistrationOutcome::NewLifetime;
    }
    if (heartbeat.sequence <= m_current->sequence) {
        // The heartbeats have crossed each other.
        return heartbeat.draining && setDraining() ? RegistrationOutcome::Accepted
                                                   : RegistrationOutcome::Stale;
    }
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
    if (m_candidate && hasDeregistered(m_candidate->newest))
        m_candidate.reset();
    if (!isCurrent)
        return RegistrationOutcome::Stale;
    m_current.reset();
    return RegistrationOutcome::Accepted;
}

} // namespace jacinthshift
