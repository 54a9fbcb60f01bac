#ifndef MODULES_FLEET_MESSAGES_H
#define MODULES_FLEET_MESSAGES_H

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/endpoint.h"
#include "core/verdict.h"
#include "modules/mesh/messages.h"
#include "servers/http_message.h"
#include "servers/keyed_log.h"

namespace jacinthshift {

/** How to reach a node. */
struct NodeContact
{
    std::string node;
    std::string domain;
    Endpoint links;
    std::uint64_t incarnation = 0; ///< The process's start in Unix milliseconds.
};

/** The first message on a link, sent by both ends. */
struct GreetingMessage
{
    static constexpr std::uint32_t Protocol = 2;

    std::uint32_t protocol = Protocol;
    NodeContact self;
};

enum class BackendAvailability {
    Absent, ///< No backend server is known, or it cannot be reached.
    Ready,
    Draining,
};

/** What the owner of a backend server tells of it. */
struct BackendStatus
{
    BackendAvailability availability = BackendAvailability::Absent;
    std::string id;
    std::string service;
    std::string version;
    std::uint32_t limit = 0; ///< Requests that may run at once.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t startsPerSecond = 0;        ///< Zero unless the backend server is cold.
    std::chrono::milliseconds serviceTime{0}; ///< Mean of the last requests.
    std::uint32_t failuresPerThousand = 0;    ///< Of the last requests.
    bool braked = false; ///< Its version was found faulty and takes no new work.
};

/** A node's state, sent when it changes and as a heartbeat. */
struct StatusMessage
{
    std::uint64_t tableEnd = 0; ///< How far the sender knows the operator's table.
    bool leaving = false;
    bool readsLog = false;      ///< Whether it reads the log for others of its failure domain.
    std::uint32_t capacity = 0; ///< What its VM can do for others; the larger one reads the log.
    BackendStatus backend;
};

/** What a node tells the owner of a backend server about a request. */
struct WorkRequest
{
    HttpRequest request;
    std::string route;
    std::string service;
    std::string version; ///< The version that the sender chose during a rollout; else empty.
    std::string callerService;
    std::uint32_t priority = 0;
    bool idempotent = false;
    bool returning = false;                  ///< The caller has tried before.
    bool repeat = false;                     ///< An earlier try may have run.
    std::chrono::milliseconds timeLeft{0};   ///< Until the caller gives up or the route's timeout.
    std::chrono::milliseconds targetLeft{0}; ///< Until the answer loses most of its use.
};

/** Why there is no answer of a backend server. */
enum class WorkRefusal {
    None,
    NoBackend,   ///< There is none here, or it serves something else.
    Full,        ///< It could not be served in time.
    Draining,    ///< The backend server or its node is leaving.
    TakenOut,    ///< The operator took the failure domain out.
    Braked,      ///< The version was found faulty.
    Cold,        ///< More work would overload a cold backend server.
    Unreachable, ///< No connection could be opened.
    Rejected,    ///< The backend server said that it did not run the request.
    Lost,        ///< The connection ended, or the link did.
    Malformed,   ///< The answer was not a whole HTTP answer to this request.
    TimedOut,
    Suspected, ///< It has crashed backend servers.
};

/** The outcome of a request at its owner. */
struct WorkResult
{
    Verdict verdict = Verdict::NotRun;
    WorkRefusal refusal = WorkRefusal::None;
    bool reachedBackend = false;             ///< Whether bytes of it were sent there.
    std::chrono::milliseconds retryAfter{0}; ///< When room is expected; zero if unknown.
    HttpResponse response;                   ///< Holds if the verdict is Done.
};

struct WorkCallMessage
{
    std::uint64_t call = 0;
    WorkRequest work;
};

/** The part of a backend server's status that changes with every request. */
struct BackendLoad
{
    std::uint32_t limit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t startsPerSecond = 0;
    std::chrono::milliseconds serviceTime{0};
    std::uint32_t failuresPerThousand = 0;
};

struct WorkResultMessage
{
    std::uint64_t call = 0;
    WorkResult result;
    BackendLoad load;
};

struct WorkCancelMessage
{
    std::uint64_t call = 0;
};

/** Asks for the results of calls that were made over another link. */
struct WorkResumeMessage
{
    std::vector<std::uint64_t> calls;
};

/** Asks for the operator's records from an offset on. */
struct TableFetchMessage
{
    std::uint64_t from = 0;
};

/** Records of the operator's table, packed by packPage(): one packing serves all who ask. */
struct TableNewsMessage
{
    std::string packedPage;
};

/** Counts of one version's requests on one route, since the owner's process began. */
struct VersionEvidence
{
    std::string route;
    ArmEvidence counts;
};

/** What an owner has seen of its backend server while its service is moved to a new version. */
struct VersionEvidenceMessage
{
    std::string service;
    std::string version;
    std::string backend; ///< The id of the backend server; a new one counts from zero.
    std::vector<VersionEvidence> routes;
};

/** A request was running when a backend server crashed, or has run well since. */
struct CrashSuspectMessage
{
    std::uint64_t fingerprint = 0;
    std::string backend; ///< The one that crashed; empty if the request is cleared.
};

/** Asks for a sign of life, or gives it. */
struct ProbeMessage
{
    bool reply = false;
};

/** Asks for the nodes that another node knows. */
struct ContactsFetchMessage
{
};

/** Nodes that the sender has links to. */
struct ContactsMessage
{
    std::vector<NodeContact> contacts;
};

/** How a rollout ended. */
enum class RolloutOutcome { Open, Completed, RolledBack };

/** How far a rollout is, as far as the sender knows. The furthest step of any node holds. */
struct RolloutProgressMessage
{
    std::string service;
    std::string targetVersion;
    std::uint32_t step = 0;
    RolloutOutcome outcome = RolloutOutcome::Open;
};

/** In the order of their numbers on the wire. */
using FleetMessage =
        std::variant<GreetingMessage, StatusMessage, WorkCallMessage, WorkResultMessage,
                     WorkCancelMessage, WorkResumeMessage, TableFetchMessage, TableNewsMessage,
                     VersionEvidenceMessage, CrashSuspectMessage, RolloutProgressMessage,
                     ProbeMessage, ContactsFetchMessage, ContactsMessage>;

/** Returns the name used in logs. */
std::string_view refusalName(WorkRefusal refusal);

} // namespace jacinthshift

#endif // MODULES_FLEET_MESSAGES_H
