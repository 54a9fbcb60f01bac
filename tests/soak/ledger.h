#ifndef TESTS_SOAK_LEDGER_H
#define TESTS_SOAK_LEDGER_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "servers/http_client.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct SoakBackendOptions;

/** How a run at a backend server ended. */
enum class RunEnd {
    Running,
    Succeeded,
    Failed,
    Abandoned, ///< Its caller went away.
    Broken,    ///< The backend server ended.
};

/** A request of a caller and what became of it. */
struct Attempt
{
    std::string id;
    std::size_t node = 0;
    std::uint32_t life = 0; ///< Counts the processes of that node.
    std::string callerService;
    std::string service; ///< Where its route leads.
    std::string target;
    std::uint64_t addedIn = 0; ///< The configuration that brought its route; 0 for the first ones.
    bool idempotent = true;
    SteadyTime sentAt;
    std::chrono::milliseconds timeout{0};
    std::optional<SteadyTime> leftAt; ///< When the caller gave up early.
    std::optional<SteadyTime> endedAt;
    int status = 0; ///< 0 when no whole answer came.
    HttpFailure failure = HttpFailure::None;
    bool whole = false; ///< The answer bears the seal and body of this request.
};

/** One request that a backend server began to work on. */
struct Run
{
    std::string id;
    std::string backend;
    std::string domain;
    SteadyTime at;
    std::optional<SteadyTime> endedAt;
    RunEnd end = RunEnd::Running;
};

/** A request that reached a backend server, run or not. */
struct Arrival
{
    std::string id;
    std::string backend;
    std::string domain;
    std::string service;
    std::string target;
    std::string callerService;
    std::size_t node = 0;               ///< The one beside the backend server.
    std::chrono::milliseconds left{-1}; ///< The time that it was given; -1 for none.
    SteadyTime at;
};

/** A stretch of time in which some VMs, or all, were not calm. */
struct Disturbance
{
    std::string kind;
    SteadyTime from;
    SteadyTime until;
    std::optional<std::size_t> node; ///< All of them if empty.
    bool planned = false;            ///< A stop, a reload or a configuration.
};

/** A failure domain that the operator had taken out. */
struct TakeOut
{
    std::string domain;
    SteadyTime from;
    SteadyTime until;
};

struct ColdSpell
{
    SteadyTime from;
    SteadyTime until;
};

/** Everything that callers, backend servers and the operator saw. It only keeps; see Promises. */
class Ledger
{
public:
    std::vector<Attempt> attempts;
    std::map<std::string, std::size_t> attemptById;
    std::vector<Run> runs;
    std::vector<Arrival> arrivals;
    std::vector<Disturbance> disturbances;
    std::vector<TakeOut> takeOuts;
    std::map<std::string, SteadyTime> drains; ///< The first acknowledgement, by backend server.
    std::multimap<std::string, ColdSpell> coldSpells;
    std::map<std::uint64_t, SteadyTime> configs; ///< When each version was acknowledged.
    std::vector<std::string> incidents;          ///< Broken promises seen while it ran.

    /** Returns the body and the seal by which a whole answer to a request is known. */
    static std::string wholeBody(const std::string &id, const std::string &service,
                                 std::size_t bytes);
    static std::string seal(const std::string &id, const std::string &body);

    std::size_t sent(Attempt attempt);
    void answered(std::size_t index, SteadyTime now, const HttpResult &result);
    void arrived(const std::string &backend, const SoakBackendOptions &options,
                 const HttpRequest &request, SteadyTime now);
    std::size_t runStarted(const std::string &backend, const SoakBackendOptions &options,
                           const HttpRequest &request, SteadyTime now);
    void runEnded(std::size_t run, SteadyTime now, RunEnd end);
    void backendCold(const std::string &backend, SteadyTime from, SteadyTime until);
    void drainAcknowledged(const std::string &backend, SteadyTime now);

    /** Returns whether nothing but planned work touched a node, or any node, in that time. */
    bool isCalm(std::optional<std::size_t> node, SteadyTime from, SteadyTime until) const;
};

} // namespace jacinthshift

#endif // TESTS_SOAK_LEDGER_H
