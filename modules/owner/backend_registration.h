#ifndef MODULES_OWNER_BACKEND_REGISTRATION_H
#define MODULES_OWNER_BACKEND_REGISTRATION_H

#include <deque>
#include <optional>
#include <string>

#include "modules/owner/backend_heartbeat.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** What became of a heartbeat or a goodbye. */
enum class RegistrationOutcome {
    Accepted,    ///< It is news of the present backend server.
    NewLifetime, ///< Another backend server, or the same one after a restart.
    Stale,       ///< It is older than what is known. The present state holds.
    Left,        ///< It belongs to a backend server that said goodbye.
};

/**
 * Decides which backend server runs on this VM from heartbeats that may be late, repeated or from
 * an earlier lifetime.
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
    RegistrationOutcome heartbeat(const BackendHeartbeat &heartbeat);
    /** Takes a goodbye. It also binds for a lifetime whose heartbeats come later. */
    RegistrationOutcome goodbye(const std::string &id, std::optional<std::uint64_t> startedAt);

    const std::optional<BackendHeartbeat> &current() const { return m_current; }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_REGISTRATION_H
