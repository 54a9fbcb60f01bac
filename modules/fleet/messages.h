#ifndef MODULES_FLEET_MESSAGES_H
#define MODULES_FLEET_MESSAGES_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/endpoint.h"
#include "core/verdict.h"
#include "modules/mesh/messages.h"
#include "servers/http_message.h"
#include "servers/keyed_log.h"

namespace jacinthshift {

/** Bound of the names of nodes, failure domains, services, versions and backend servers. */
constexpr std::size_t MaxNameBytes = 255;

/** Identity and address of a node's process. */
struct NodeContact
{
    std::string node;
    std::string domain;
    Endpoint linkEndpoint;         ///< Address that accepts links of other nodes.
    std::uint64_t incarnation = 0; ///< Start time of the process in Unix milliseconds.
    std::string service;           ///< The service of the VM's backend server.
    /** Capacity of its VM for passing messages on; see StatusMessage::relayCapacity. */
    std::uint32_t relayCapacity = 0;
};

/** One lifetime of a backend server. */
struct BackendLifetime
{
    std::string id;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; zero if unknown.

    auto operator<=>(const BackendLifetime &) const = default;
};

/** The first message on a link, sent by both ends. */
struct GreetingMessage
{
    /** Version of the protocol; a link between different versions is closed. */
    static constexpr std::uint32_t Protocol = 9;

    std::uint32_t protocol = Protocol;
    NodeContact self;
    std::chrono::milliseconds uptime{0}; ///< Since the process started.
};

/** Whether a backend server accepts requests. */
enum class BackendAvailability {
    Absent, ///< No backend server is known, or it cannot be reached.
    Ready,
    Draining,
};

/**
 * State of a backend server as reported by its owner. After a deregistration, the id, startedAt and
 * leaving of the backend server that left remain.
 */
struct BackendStatus
{
    BackendAvailability availability = BackendAvailability::Absent;
    std::string id;
    std::uint64_t startedAt = 0; ///< Unix milliseconds; zero if unknown. Tells lifetimes apart.
    bool leaving = false;        ///< It said that it shuts down, which is final for its lifetime.
    std::string service;
    std::string version;
    std::uint32_t concurrencyLimit = 0; ///< Maximum number of concurrent requests.
    std::uint32_t running = 0;          ///< Number of running requests.
    std::uint32_t queued = 0;           ///< Number of requests that wait at the owner.
    std::uint32_t startsPerSecond = 0;  ///< Start rate limit of a cold backend server; else zero.
    std::chrono::milliseconds serviceTime{0}; ///< Mean over the last requests.
    std::uint32_t failuresPerThousand = 0;    ///< Failures among the last requests.
    bool braked = false;           ///< Its version was found faulty and receives no new requests.
    double requestRateLimit = 0.0; ///< Requests per second that it asked for; zero for no limit.
    /** Until the VM's link has sent the large responses that it is committed to. */
    std::chrono::milliseconds responseBacklog{0};
    /** Expected time left of all running and queued requests together; see normalRunTime. */
    std::chrono::milliseconds remainingWork{0};
    /** Usual time of a run at its normal pace; zero without information about costs. */
    std::chrono::milliseconds normalRunTime{0};
    /** How long work takes now, in percent of normal; zero if the backend server does not tell. */
    std::uint32_t pacePercent = 0;
};

/** A node's state, sent when it changes and as a heartbeat. */
struct StatusMessage
{
    TablePosition tableEnd; ///< End of the sender's copy of the operator table.
    bool leaving = false;   ///< Whether the node is shutting down.
    bool readsLog = false;  ///< Whether it reads the log for other nodes of its failure domain.
    /**
     * Relay capacity of its VM, the smaller of its processor share in hundredths of a core and its
     * bandwidth in steps of 10 Mbit/s. The nodes with the highest values read the log.
     */
    std::uint32_t relayCapacity = 0;
    BackendStatus backend;
};

/** A request as it is forwarded to the owner of a backend server. */
struct WorkRequest
{
    HttpRequest request;
    std::string route;
    std::string service;
    std::string version; ///< Version chosen by the sender during a rollout; else empty.
    std::string callerService;
    std::string workspace;      ///< Name of the customer; empty where none are configured.
    std::uint32_t priority = 0; ///< 0 is the most urgent.
    bool idempotent = false;
    bool isCallerRetry = false;            ///< The caller is retrying the request.
    bool mayHaveRun = false;               ///< An earlier attempt may have run.
    std::chrono::milliseconds timeLeft{0}; ///< Until the caller's deadline or route's timeout.
    /** Until the target latency is exceeded; a later response has lost most of its use. */
    std::chrono::milliseconds targetTimeLeft{0};
};

/** Why a request has no response from the backend server. */
enum class WorkRefusal {
    None,
    NoBackend,   ///< The owner has no backend server, or it serves another service.
    Overloaded,  ///< The request could not be served in time.
    Draining,    ///< The backend server or its node is leaving.
    TakenOut,    ///< The operator has taken the failure domain out of service.
    Braked,      ///< The version was found faulty.
    Cold,        ///< More requests would overload a cold backend server.
    Unreachable, ///< No connection could be opened.
    Rejected,    ///< The backend server reported that it did not run the request.
    Lost,        ///< The connection or the link was closed before a response.
    Malformed,   ///< The response was not a complete HTTP response to this request.
    TimedOut,
    Suspected,   ///< The request has crashed backend servers.
    RateLimited, ///< More requests would exceed the rate that the backend server asked for.
    LinkBusy,    ///< The VM's link could not send the large response in time.
};

/** The outcome of a request at its owner. */
struct WorkResult
{
    Verdict verdict = Verdict::NotRun;
    WorkRefusal refusal = WorkRefusal::None;
    bool reachedBackend = false; ///< Whether bytes of the request were sent to the backend server.
    std::chrono::milliseconds retryAfter{0}; ///< Until capacity is expected; zero if unknown.
    HttpResponse response;                   ///< Valid if the verdict is Done.
};

/** Asks the owner to run a request. */
struct WorkCallMessage
{
    std::uint64_t callerProcess = 0; ///< Incarnation of the sender's process.
    std::uint64_t call = 0;          ///< Id of the call, unique in the sender's process.
    WorkRequest work;
    /** Size of a request body that follows in parts; zero if the call holds the whole body. */
    std::uint64_t followingBodyBytes = 0;
};

/** A part of the request body of a call; parts are sent in order after the call. */
struct RequestPartMessage
{
    std::uint64_t callerProcess = 0;
    std::uint64_t call = 0;
    std::uint64_t offset = 0; ///< Position of the part in the body.
    std::string bytes;
};

/** A response body up to this size follows its result without a ResponseRoomMessage. */
constexpr std::size_t MaxUnaskedBodyBytes = 256 * 1024;

/** The sender has room for the body of a response whose result it has received. */
struct ResponseRoomMessage
{
    std::uint64_t callerProcess = 0;
    std::uint64_t call = 0;
};

/** The fields of BackendStatus that change with every request. */
struct BackendLoad
{
    std::uint32_t concurrencyLimit = 0;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint32_t startsPerSecond = 0;
    std::chrono::milliseconds serviceTime{0};
    std::uint32_t failuresPerThousand = 0;
    double requestRateLimit = 0.0;
    std::chrono::milliseconds responseBacklog{0};
    std::chrono::milliseconds remainingWork{0};
    std::chrono::milliseconds normalRunTime{0};
    std::uint32_t pacePercent = 0;
};

/** The result of a call, with the current load of the backend server. */
struct WorkResultMessage
{
    /** Of the call; a node's next process numbers its calls from the start again. */
    std::uint64_t callerProcess = 0;
    std::uint64_t call = 0;
    WorkResult result;
    BackendLoad load;
    /** Size of a response body that follows in parts; zero if the result holds the whole body. */
    std::uint64_t followingBodyBytes = 0;
};

/** A part of the response body of a call; parts are sent in order after the result. */
struct ResponsePartMessage
{
    std::uint64_t callerProcess = 0;
    std::uint64_t call = 0;
    std::uint64_t offset = 0; ///< Position of the part in the body.
    std::string bytes;
};

/** Cancels a call; no result is sent. */
struct WorkCancelMessage
{
    std::uint64_t callerProcess = 0;
    std::uint64_t call = 0;
};

/**
 * Requests the results of calls that were sent over an earlier link. The caller no longer waits for
 * any other call up to the last one.
 */
struct WorkResumeMessage
{
    std::uint64_t callerProcess = 0;
    std::vector<std::uint64_t> calls; ///< Ids of the calls.
    std::uint64_t lastCall = 0;       ///< Id of the caller's last call to any node.
};

/** Requests the records of the operator table from a place on. */
struct TableFetchMessage
{
    TablePosition from; ///< Of the first record.
};

/**
 * Records of the operator table, packed by packPage(). Packing is separate from the message, so
 * that one packed page can be sent to several nodes.
 */
struct TableRecordsMessage
{
    std::string packedPage;
};

/** Counts of one version's requests on one route since the owner's process started. */
struct VersionEvidence
{
    std::string route;
    ArmEvidence counts;
};

/** Request counts of an owner's backend server during a rollout of its service. */
struct VersionEvidenceMessage
{
    std::string node;              ///< The owner's node.
    std::uint64_t incarnation = 0; ///< Of the owner's process.
    std::uint64_t sequence = 0;    ///< Increases with each report of the process.
    std::string service;
    std::string version;
    std::string backend; ///< Id of the backend server; the counts of a new one start at zero.
    std::vector<VersionEvidence> routes;
};

/**
 * Reports of several owners, which a relay passes on to the relays of other failure domains, and
 * these to the nodes of theirs.
 */
struct EvidenceBatchMessage
{
    std::vector<VersionEvidenceMessage> reports;
};

/** A request that was running when a backend server crashed. */
struct CrashReport
{
    std::uint64_t fingerprint = 0;    ///< Hash that is the same for equal requests.
    std::string backend;              ///< The crashed lifetime.
    bool cleared = false;             ///< The request has since run well.
    std::chrono::milliseconds age{0}; ///< Time since the crash was noticed.
};

/** Tells of crashes that are news to the receiver, as far as the sender knows. */
struct CrashReportsMessage
{
    std::vector<CrashReport> crashes;
};

/**
 * Tells a node's new process which backend server on its VM has said that it shuts down. The
 * process that acknowledged that has ended, and late heartbeats would bring the server back.
 */
struct BackendLeftMessage
{
    BackendLifetime backend;
};

/** Liveness probe, or the reply to one. */
struct ProbeMessage
{
    bool reply = false;
};

/** Requests the contacts that another node knows and the sender does not. */
struct ContactsFetchMessage
{
    std::vector<std::uint64_t> known; ///< See contactHash().
};

/** Returns a hash that identifies a node's process, in place of its whole contact. */
std::uint64_t contactHash(const NodeContact &contact);

/** Contacts of nodes to which the sender has links or has not tried to open one. */
struct ContactsMessage
{
    std::vector<NodeContact> contacts;
};

/** How a rollout ended; Open while it is in progress. */
enum class RolloutOutcome { Open, Completed, RolledBack };

/** Rollout progress known to the sender. The furthest step reported by any node applies. */
struct RolloutProgressMessage
{
    std::string service;
    std::string targetVersion;
    std::uint32_t step = 0;
    RolloutOutcome outcome = RolloutOutcome::Open;
    /** All reachable nodes of the sender's failure domain are done with the old version. */
    bool domainDone = false;
    bool ownerIdle = false; ///< The sender's backend server runs no request of the old version.
    /** Time since the order, at least: since the first node that the sender knows of read it. */
    std::chrono::milliseconds orderAge{0};
};

/** Asks a node which configuration was the newest in the store, and when. */
struct KnowledgeQuestionMessage
{
    std::uint64_t number = 0; ///< Identifies the question in the sender's process.
};

struct KnowledgeAnswerMessage
{
    std::uint64_t number = 0;        ///< Of the question.
    std::uint64_t configVersion = 0; ///< Of the configuration in force at the sender.
    /** Time since that configuration was known to be the newest; absent if it never was. */
    std::optional<std::chrono::milliseconds> age;
};

/** Runs that backend servers began, by workspace. */
using UsageCounts = std::map<std::string, std::uint64_t>;

/** The counts of one window of time, as they are reported. */
struct UsageReport
{
    std::uint64_t window = 0;
    UsageCounts counts;

    bool operator==(const UsageReport &) const = default;
};

/** The runs that the sender's backend server began in a window. Newer counts replace older ones. */
struct UsageCountsMessage
{
    std::uint64_t incarnation = 0; ///< Of the sender's process, which counts from zero.
    std::uint64_t window = 0;
    std::uint64_t sequence = 0; ///< Increases with each change of the counts.
    UsageCounts counts;
};

/** Requests the counts of the receiver's failure domain. */
struct UsageFetchMessage
{
    std::uint64_t window = 0;
};

/** The counts of all processes of the sender's failure domain, as far as it knows them. */
struct UsageSumMessage
{
    std::uint64_t window = 0;
    std::uint32_t processes = 0; ///< Number of processes that have sent counts.
    UsageCounts counts;
};

/** Tells the nodes that may report usage that a report was sealed. */
struct UsageSealedMessage
{
    UsageReport report;
};

/** The order of the alternatives defines their numbers on the wire. */
using FleetMessage =
        std::variant<GreetingMessage, StatusMessage, WorkCallMessage, WorkResultMessage,
                     WorkCancelMessage, WorkResumeMessage, TableFetchMessage, TableRecordsMessage,
                     VersionEvidenceMessage, CrashReportsMessage, RolloutProgressMessage,
                     ProbeMessage, ContactsFetchMessage, ContactsMessage, ResponsePartMessage,
                     EvidenceBatchMessage, BackendLeftMessage, KnowledgeQuestionMessage,
                     KnowledgeAnswerMessage, UsageCountsMessage, UsageFetchMessage, UsageSumMessage,
                     UsageSealedMessage, RequestPartMessage, ResponseRoomMessage>;

/** Returns the name used in logs. */
std::string_view refusalName(WorkRefusal refusal);

} // namespace jacinthshift

#endif // MODULES_FLEET_MESSAGES_H
