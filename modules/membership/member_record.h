#ifndef MODULES_MEMBERSHIP_MEMBER_RECORD_H
#define MODULES_MEMBERSHIP_MEMBER_RECORD_H

#include <cstdint>
#include <string>

#include "core/endpoint.h"

namespace jacinthshift {

/**
 * The reachability of a node. Between records of the same incarnation and sequence, the later
 * enumerator takes precedence.
 */
enum class MemberStatus {
    Alive,
    Suspect, ///< Some node cannot reach it.
    Down,    ///< Suspect for too long, or replaced at its endpoint.
    Left,    ///< It announced that it is stopping.
};

/** The state of the backend server on a node's VM. */
enum class BackendState {
    None,    ///< No backend server has announced itself.
    Ready,   ///< It accepts requests.
    Leaving, ///< It finishes its requests and accepts no new ones.
};

/** The membership record of a node, including the backend server on its VM. */
struct MemberRecord
{
    std::string node;
    std::string domain;
    Endpoint links;                ///< The endpoint at which the node accepts links.
    std::uint64_t incarnation = 0; ///< Start time of the process, in Unix milliseconds.
    std::uint64_t sequence = 0;    ///< Increases with each change by the node itself.
    MemberStatus status = MemberStatus::Alive;
    BackendState backend = BackendState::None;
    std::string service;
    std::string version;
    std::uint32_t slots = 0;        ///< Announced number of requests that it can run at once.
    std::uint64_t backendSince = 0; ///< First announcement of the service on the VM, in Unix ms.

    /** Compares incarnation, sequence and status, in this order. */
    bool isNewerThan(const MemberRecord &other) const;
    bool isReachable() const
    {
        return status == MemberStatus::Alive || status == MemberStatus::Suspect;
    }
    bool acceptsRequests() const { return isReachable() && backend == BackendState::Ready; }
    /** Returns a hash of all fields but backendSince. */
    std::uint64_t contentHash() const;

    bool operator==(const MemberRecord &) const = default;
};

/** Returns the lower-case name of a status. */
std::string memberStatusName(MemberStatus status);

/** Returns the lower-case name of a backend server's state. */
std::string backendStateName(BackendState state);

} // namespace jacinthshift

#endif // MODULES_MEMBERSHIP_MEMBER_RECORD_H
