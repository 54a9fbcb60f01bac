#ifndef MODULES_ADMISSION_POISON_REGISTRY_H
#define MODULES_ADMISSION_POISON_REGISTRY_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
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
    /** Requests whose crashes are all cleared; beyond it the one that crashed first is forgotten.
     */
    std::size_t maxCleared = 10'000;
    /** Crashes kept of one request. Beyond it, cleared ones are forgotten, the first ones first. */
    std::size_t maxCrashesPerRequest = 16;
};

/** Returns a hash of service, method, target and body: equal for copies of one request. */
std::uint64_t requestFingerprint(const std::string &service, const HttpRequest &request);

/** A request that was running when a backend server crashed. */
struct RecordedCrash
{
    std::uint64_t fingerprint = 0; ///< See requestFingerprint().
    std::string backend;           ///< The lifetime of the backend server.
    bool cleared = false;          ///< The request has succeeded since.
    SteadyTime at;                 ///< When the crash was noticed.
};

/**
 * Registry of requests that were running when backend servers crashed.
 *
 * A request that only ran at the same time as the cause is cleared as soon as it succeeds on any
 * backend server. Cleared crashes are remembered: in whatever order the reports of a crash and of
 * its clearance arrive, and however often, the crash ends as cleared.
 */
class PoisonRegistry
{
    struct Crash
    {
        bool cleared = false;
        SteadyTime at;
    };
    struct Request
    {
        std::map<std::string, Crash> crashes; ///< By lifetime of the crashed backend server.
        std::size_t uncleared = 0;
        SteadyTime until;
    };
    using Requests = std::unordered_map<std::uint64_t, Request>;
    /** Fingerprints by the time at which they expire. */
    using ExpiryOrder = std::set<std::pair<SteadyTime, std::uint64_t>>;

    PoisonRegistryOptions m_options;
    Requests m_requests;
    ExpiryOrder m_suspects; ///< Requests with uncleared crashes.
    ExpiryOrder m_cleared;  ///< All others.

    ExpiryOrder &orderOf(const Request &request)
    {
        return request.uncleared > 0 ? m_suspects : m_cleared;
    }
    void expire(SteadyTime now);
    void limitCleared();
    /** Returns whether a crash that is not recorded may be. */
    bool hasRoom(const RecordedCrash &crash) const;
    /** Forgets a cleared crash if the request has as many crashes as are kept. */
    void makeRoom(Request &request) const;

public:
    explicit PoisonRegistry(const PoisonRegistryOptions &options) : m_options(options) {}

    /**
     * Records that the request was running when a lifetime of a backend server crashed. Returns
     * false if it is recorded already or the registry is full.
     */
    bool recordCrash(std::uint64_t fingerprint, const std::string &backend, SteadyTime now)
    {
        return merge(RecordedCrash{.fingerprint = fingerprint, .backend = backend, .at = now}, now);
    }
    /**
     * Adds what another registry knows of a crash. Returns whether it is news: the crash is not
     * recorded yet, or not as cleared. Crashes older than the retention are ignored.
     */
    bool merge(const RecordedCrash &crash, SteadyTime now);
    /** Clears all crashes of a request. Returns whether any was not. */
    bool removeSuspect(std::uint64_t fingerprint);
    /** Removes a request and its crashes, which are news again afterwards. */
    bool forgetSuspect(std::uint64_t fingerprint);
    /** Returns how long a crash is kept. */
    std::chrono::milliseconds retention() const { return m_options.retention; }
    /** Returns the number of requests with uncleared crashes. */
    std::size_t size() const { return m_suspects.size(); }
    bool isSuspect(std::uint64_t fingerprint) const;
    /** Returns the crashes of a request, cleared ones as well. */
    std::vector<RecordedCrash> crashesOf(std::uint64_t fingerprint) const;
    /** Returns a crash, or nothing if it is not recorded. */
    std::optional<RecordedCrash> crash(std::uint64_t fingerprint, const std::string &backend) const;
    /**
     * Returns the crashes of the requests that crashed a backend server last, up to a limit. Those
     * of requests of which all are cleared come last.
     */
    std::vector<RecordedCrash> newestCrashes(std::size_t limit) const;
    /** Returns whether the request has crashed enough backend servers to be refused. */
    bool isRefused(std::uint64_t fingerprint, SteadyTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_ADMISSION_POISON_REGISTRY_H
