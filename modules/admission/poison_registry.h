#ifndef MODULES_ADMISSION_POISON_REGISTRY_H
#define MODULES_ADMISSION_POISON_REGISTRY_H

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "servers/http_message.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct PoisonRegistryOptions
{
    /** Number of different backend servers that a request must have crashed to be refused. */
    std::size_t crashesToRefuse = 2;
    std::chrono::milliseconds retention{600'000}; ///< Retention, from the last crash.
    std::size_t maxSuspects = 10'000;
};

/** Returns a hash of service, method, target and body: equal for copies of one request. */
std::uint64_t requestFingerprint(const std::string &service, const HttpRequest &request);

/** A request that was running when a backend server crashed. */
struct RecordedCrash
{
    std::uint64_t fingerprint = 0; ///< See requestFingerprint().
    std::string backend;           ///< The lifetime of the backend server.
};

/**
 * Registry of requests that were running when backend servers crashed.
 *
 * A request that only ran at the same time as the cause is cleared as soon as it succeeds on any
 * backend server.
 */
class PoisonRegistry
{
    struct Suspect
    {
        std::set<std::string> backends; ///< Lifetimes of the crashed backend servers.
        SteadyTime until;
    };

    PoisonRegistryOptions m_options;
    std::unordered_map<std::uint64_t, Suspect> m_suspects;

    void expire(SteadyTime now);

public:
    explicit PoisonRegistry(const PoisonRegistryOptions &options) : m_options(options) {}

    /**
     * Records that the request was running when a lifetime of a backend server crashed. Returns
     * false if it is recorded already or the registry is full.
     */
    bool recordCrash(std::uint64_t fingerprint, const std::string &backend, SteadyTime now);
    /** Removes a request from the registry. Returns whether it was in there. */
    bool removeSuspect(std::uint64_t fingerprint) { return m_suspects.erase(fingerprint) > 0; }
    std::size_t size() const { return m_suspects.size(); }
    bool isSuspect(std::uint64_t fingerprint) const { return m_suspects.contains(fingerprint); }
    /** Returns the crashes of the requests that crashed a backend server last, up to a limit. */
    std::vector<RecordedCrash> newestCrashes(std::size_t limit) const;
    /** Returns whether the request has crashed enough backend servers to be refused. */
    bool isRefused(std::uint64_t fingerprint, SteadyTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_ADMISSION_POISON_REGISTRY_H
