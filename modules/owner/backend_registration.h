#ifndef MODULES_OWNER_BACKEND_REGISTRATION_H
#define MODULES_OWNER_BACKEND_REGISTRATION_H

#include <deque>
#include <optional>
#include <string>

#include "modules/owner/backend_heartbeat.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** Result of processing a heartbeat or a deregistration. */
enum class RegistrationOutcome {
    Accepted,     ///< It updated the current backend server.
    NewLifetime,  ///< Another backend server, or the same one after a restart, was registered.
    Stale,        ///< It is outdated or not of the current backend server.
    Deregistered, ///< It is of a backend server that has deregistered.
};

/**
 * Registration of the backend server on this VM, from heartbeats that may be late, repeated or from
 * an earlier lifetime.
 *
 * A lifetime lasts from one start of a backend server's process to the next.
 */
class BackendRegistration
{
public:
    struct Deregistration
    {
        std::string id;
        std::optional<std::uint64_t> startedAt;

        bool operator==(const Deregistration &) const = default;
    };

private:
    std::optional<BackendHeartbeat> m_current;
    std::deque<Deregistration> m_deregistrations;

    bool hasDeregistered(const BackendHeartbeat &heartbeat) const;
    bool isOlderLifetime(const BackendHeartbeat &heartbeat) const;

public:
    /** Processes a heartbeat. Ignores it if the outcome is Stale or Deregistered. */
    RegistrationOutcome heartbeat(const BackendHeartbeat &heartbeat);
    /**
     * Processes a deregistration. Heartbeats of the same lifetime that arrive later are ignored.
     * Returns Accepted if it is of the current backend server, otherwise Stale.
     */
    RegistrationOutcome deregister(const std::string &id, std::optional<std::uint64_t> startedAt);

    /** Marks the current backend server as draining. Returns false if it already is. */
    bool setDraining();

    const std::optional<BackendHeartbeat> &current() const { return m_current; }
    /** Returns the last deregistration, or null if there was none. */
    const Deregistration *lastDeregistration() const
    {
        return m_deregistrations.empty() ? nullptr : &m_deregistrations.back();
    }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_REGISTRATION_H
