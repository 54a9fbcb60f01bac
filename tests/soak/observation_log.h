#ifndef TESTS_SOAK_OBSERVATION_LOG_H
#define TESTS_SOAK_OBSERVATION_LOG_H

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

/** How the run of a request at a backend server ended. */
enum class RunOutcome {
    Running,
    Succeeded,
    Failed,
    Cancelled,     ///< The caller closed its connection.
    ServerStopped, ///< The backend server crashed or stopped.
};

/** A request as its caller saw it. */
struct CallerRequest
{
    std::string id;
    std::size_t node = 0;
    std::uint32_t generation = 0; ///< Number of the process of that node, from 1.
    std::string callerService;
    std::string service; ///< The destination of its route.
    std::string target;
    std::uint64_t addedInVersion = 0; ///< Version that added its route; 0 if all versions have it.
    bool idempotent = true;
    SteadyTime sentAt;
    std::chrono::milliseconds timeout{0};
    std::optional<SteadyTime> cancelledAt; ///< When the caller cancelled it.
    std::optional<SteadyTime> endedAt;
    int status = 0; ///< 0 if no complete response came.
    HttpFailure failure = HttpFailure::None;
    bool responseValid = false; ///< The response has this request's id, seal and body.
};

/** The execution of a request by a backend server. */
struct Run
{
    std::string id;
    std::string backend;
    std::string domain;
    SteadyTime startedAt;
    std::optional<SteadyTime> endedAt;
    RunOutcome outcome = RunOutcome::Running;
};

/** A request that reached a backend server, whether it ran there or not. */
struct Arrival
{
    std::string id;
    std::string backend;
    std::string domain;
    std::string service;
    std::string target;
    std::string callerService;
    std::size_t node = 0; ///< The node at which the backend server is registered.
    std::chrono::milliseconds remaining{-1}; ///< As in its deadline header; -1 without one.
    SteadyTime at;
};

/** A period in which a fault or a planned operation affected one node or all nodes. */
struct Disturbance
{
    std::string kind;
    SteadyTime from;
    SteadyTime until;
    std::optional<std::size_t> node; ///< All nodes if empty.
    bool planned = false;            ///< See isPlanned().
};

/** A period in which the operator had taken a failure domain out of service. */
struct TakeOut
{
    std::string domain;
    SteadyTime from;
    SteadyTime until;
};

/** A period in which a backend server was cold: its request rate is bounded. */
struct ColdPeriod
{
    SteadyTime from;
    SteadyTime until;
};

/**
 * Records what callers, backend servers and the operator observed during a soak.
 * violatedInvariants() evaluates it.
 */
class ObservationLog
{
public:
    std::vector<CallerRequest> requests;
    std::map<std::string, std::size_t> requestIndexById;
    std::vector<Run> runs;
    std::vector<Arrival> arrivals;
    std::vector<Disturbance> disturbances;
    std::vector<TakeOut> takeOuts;
    std::map<std::string, SteadyTime> drains; ///< First acknowledgement, by backend server.
    std::multimap<std::string, ColdPeriod> coldPeriods;
    std::map<std::uint64_t, SteadyTime> configs; ///< When each version was acknowledged.
    std::vector<std::string> incidents;          ///< Violated invariants detected during the soak.

    /** Returns the body that a valid response to the request has. */
    static std::string expectedBody(const std::string &id, const std::string &service,
                                    std::size_t bytes);
    /** Returns the seal, a hash of request id and body that a valid response has as a header. */
    static std::string seal(const std::string &id, const std::string &body);

    /** Returns the index of the request. */
    std::size_t requestSent(CallerRequest request);
    void requestEnded(std::size_t index, SteadyTime now, const HttpResult &result);
    void requestArrived(const std::string &backend, const SoakBackendOptions &options,
                        const HttpRequest &request, SteadyTime now);
    /** Returns the index of the run. */
    std::size_t runStarted(const std::string &backend, const SoakBackendOptions &options,
                           const HttpRequest &request, SteadyTime now);
    void runEnded(std::size_t run, SteadyTime now, RunOutcome outcome);
    void backendCold(const std::string &backend, SteadyTime from, SteadyTime until);
    void drainAcknowledged(const std::string &backend, SteadyTime now);

    /**
     * Returns whether only planned operations affected the node in that period. Without a node, all
     * nodes are meant. Disturbances of the excepted kind do not count.
     */
    bool isUndisturbed(std::optional<std::size_t> node, SteadyTime from, SteadyTime until,
                       std::string_view exceptedKind = {}) const;
};

} // namespace jacinthshift

#endif // TESTS_SOAK_OBSERVATION_LOG_H
