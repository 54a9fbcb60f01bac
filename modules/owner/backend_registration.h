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
    Accepted,    ///< It updated the current backend server.
    NewLifetime, ///< Another backend server, or the same one after a restart, was registered.
    Stale,       ///< It is outdated or of another backend server; the current one stays registered.
    Left,        ///< It is of a backend server that has deregistered.
};

/**
 * Registration of the backend server on this VM, from heartbeats that may be late, repeated or from
 * an earlier lifetime.
 *
 * A lifetime lasts from one start of a backend server's process to the next.
 */
class BackendRegistration
{
    struct Departed
    {
        std::string id;
        std::optional<std::uint64_t> startedAt;
    };

    std::optional<BackendHeartbeat> m_current;
    std::deque<Departed> m_departed;

    bool hasDeparted(const BackendHeartbeat &heartbeat) const;
    bool isOlderLifetime(const BackendHeartbeat &heartbeat) const;

public:
    /** Processes a heartbeat. Ignores it if the outcome is Stale or Left. */
    RegistrationOutcome heartbeat(const BackendHeartbeat &heartbeat);
    /** Processes a deregistration. Later heartbeats of the same lifetime are ignored. */
    RegistrationOutcome deregister(const std::string &id, std::optional<std::uint64_t> startedAt);

    const std::optional<BackendHeartbeat> &current() const { return m_current; }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_REGISTRATION_H
