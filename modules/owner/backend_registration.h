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
    Unconfirmed,  ///< It may be late, and is kept until another one confirms it.
};

struct BackendRegistrationOptions
{
    /**
     * How long heartbeats of a lifetime have to arrive before it counts as one that still sends
     * them, while it is not known which lifetimes have ended.
     */
    std::chrono::milliseconds confirmTime{3'000};
    /**
     * The same for a lifetime that began before one that is already known, which is late unless the
     * clock of its VM went back.
     */
    std::chrono::milliseconds earlierStartConfirmTime{6'000};
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
    /** A lifetime that is not registered, as its heartbeats may be late ones. */
    struct Candidate
    {
        BackendHeartbeat newest;
        SteadyTime since; ///< When its first heartbeat arrived.
    };

    BackendRegistrationOptions m_options;
    std::optional<BackendHeartbeat> m_current;
    std::optional<Candidate> m_candidate;
    std::deque<Deregistration> m_deregistrations;
    bool m_historyKnown = true;

    bool hasDeregistered(const BackendHeartbeat &heartbeat) const;
    bool isOlderLifetime(const BackendHeartbeat &heartbeat) const;
    bool isOfCurrentLifetime(const BackendHeartbeat &heartbeat) const;
    /** Returns how long heartbeats of its lifetime must arrive; zero if it is believed at once. */
    std::chrono::milliseconds neededConfirmTime(const BackendHeartbeat &heartbeat) const;
    /** Returns whether the heartbeats of this lifetime have arrived for that long. */
    bool isConfirmed(const BackendHeartbeat &heartbeat, std::chrono::milliseconds confirmTime,
                     SteadyTime now);
    /** Notes that a lifetime other than the current one is draining, which is final. */
    void addDrained(const BackendHeartbeat &heartbeat);
    RegistrationOutcome updateCurrent(const BackendHeartbeat &heartbeat);

public:
    explicit BackendRegistration(const BackendRegistrationOptions &options = {})
        : m_options(options)
    {
    }

    /** Processes a heartbeat. Ignores it unless the outcome is Accepted or NewLifetime. */
    RegistrationOutcome heartbeat(const BackendHeartbeat &heartbeat, SteadyTime now);
    /**
     * Sets whether all deregistrations that earlier processes of this node have acknowledged are
     * known. If not, the first heartbeat of a lifetime may be a late one.
     */
    void setHistoryKnown(bool known) { m_historyKnown = known; }
    /** Returns the newest heartbeat of a lifetime that waits for confirmation. */
    std::optional<BackendHeartbeat> unconfirmed() const
    {
        return m_candidate ? std::optional(m_candidate->newest) : std::nullopt;
    }
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
