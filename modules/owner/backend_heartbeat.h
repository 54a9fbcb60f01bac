#ifndef MODULES_OWNER_BACKEND_HEARTBEAT_H
#define MODULES_OWNER_BACKEND_HEARTBEAT_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "core/endpoint.h"

namespace jacinthshift {

/** What a backend server says of itself. */
struct BackendHeartbeat
{
    std::string id;
    std::string service;
    std::string version;
    std::string domain;
    Endpoint endpoint;
    std::uint32_t slots = 0;
    bool draining = false;
    std::uint64_t sequence = 0;             ///< Grows with each heartbeat of one lifetime.
    std::optional<std::uint64_t> startedAt; ///< Unix milliseconds; absent from older software.
    std::chrono::milliseconds coldRemaining{0};
};

} // namespace jacinthshift

#endif // MODULES_OWNER_BACKEND_HEARTBEAT_H
