#ifndef MODULES_OWNER_BACKEND_HEARTBEAT_H
#define MODULES_OWNER_BACKEND_HEARTBEAT_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/endpoint.h"

namespace jacinthshift {

/** Heartbeat in which a backend server reports its identity and state. */
struct BackendHeartbeat
{
    std::string id;
    std::string service;
    std::string version;
    std::string domain;
    Endpoint endpoint;
    std::uint32_t slots = 0; ///< Requests that it can run at once.
    bool draining = false;
    std::uint64_t sequence = 0;             ///< Increases with each heartbeat of one lifetime.
    std::optional<std::uint64_t> startedAt; ///< Unix milliseconds; older software does not send it.
    std::chrono::milliseconds coldRemaining{0}; ///< Time until the backend server is warm.
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_HEARTBEAT_H
