#ifndef MODULES_MESH_MESSAGES_H
#define MODULES_MESH_MESSAGES_H

#include <array>
#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "core/verdict.h"
#include "modules/membership/member_record.h"
#include "servers/http_message.h"
#include "servers/log_client.h"

namespace jacinthshift {

/** The version of the protocol between nodes. Links to peers with another version are closed. */
constexpr int ProtocolVersion = 2;

/** The handshake message: the first one in both directions of a link. */
struct HelloMessage
{
    int protocol = ProtocolVersion;
    std::string mesh; ///< The name of the mesh; links between different meshes are refused.
    MemberRecord member;
    std::uint64_t applied = 0; ///< The configuration version that the sender has applied.
    bool serving = false; ///< Whether the sender knows that this version is new enough to serve.
    std::uint64_t witnessed = 0; ///< The highest version that the receiver reported to the sender.
};

/** A health check of a link, which also carries the sender's configuration version. */
struct PingMessage
{
    bool reply = false;        ///< True in the answer to a ping.
    std::uint64_t applied = 0; ///< As in HelloMessage.
    bool serving = false;      ///< As in HelloMessage.
};

/** New or changed member records. */
struct MembersMessage
{
    std::vector<MemberRecord> records;
};

/** The hashes of a member table; the receiver sends the records of buckets that differ. */
struct DigestMessage
{
    std::vector<std::uint64_t> buckets;
    bool reply = false; ///< True in the answer to a digest; it is not answered with another one.
};

/** Requests configuration records, once or as a subscription that expires unless renewed. */
struct FetchMessage
{
    std::uint64_t from = 1; ///< The first version to send.
    bool subscribe = false;
    std::uint32_t subtreeNodes = 0;       ///< Number of nodes that get records through the sender.
    std::uint64_t subtreeOldest = 0;      ///< The lowest version applied among them.
    std::vector<std::string> subtreeLate; ///< Some of the nodes that lag behind the sender.
};

/** Configuration records in log order. */
struct RecordsMessage
{
    std::vector<LogRecord> records;
    std::uint64_t chainHash = 0; ///< The hash of the log up to and including the last record.
};

/** A snapshot of the configuration. */
struct SnapshotMessage
{
    std::string snapshot; ///< Encoded bytes.
};

/** A request for the backend server on the receiver's VM. */
struct CallMessage
{
    std::uint64_t id = 0; ///< Unique among the calls of the sender's process.
    std::string service;
    std::string version; ///< Version that the backend server must run.
    HttpRequest request;
    std::chrono::milliseconds timeout{0}; ///< Time left until the deadline.
    std::string trace;                    ///< Trace id of the request.
    std::string idempotencyKey;           ///< Empty for none.
    bool idempotent = false;
    /** Do not run the call; if its key is unknown here, hand the key over to another node. */
    bool handKeyOver = false;
};

/** Why a call was not run or has no response. */
enum class CallProblem {
    None,
    Overloaded,     ///< The owner's capacity is exhausted.
    NotOwner,       ///< The node has no matching backend server, or it is leaving.
    DomainOut,      ///< An operator has taken the failure domain out of service.
    DeadlinePassed, ///< The deadline passed before the call could run.
    Poisoned,       ///< Requests with the same fingerprint have crashed backend servers.
    KeyInUse,       ///< A request with the same key is running or its outcome is unknown.
    BackendFailed,  ///< The backend server returned no complete response.
    BackendCrashed, ///< The backend server crashed while running the call.
    LinkLost,       ///< The link to the owner was closed.
    TimedOut,       ///< No answer arrived before the deadline.
};

/** The answer to a call. The response is valid only if the verdict is Done. */
struct AnswerMessage
{
    std::uint64_t id = 0;
    Verdict verdict = Verdict::NotRun;
    CallProblem problem = CallProblem::None;
    HttpResponse response;
    std::uint32_t limit = 0;    ///< The owner's current concurrency limit, in calls.
    std::uint32_t inFlight = 0; ///< Calls that the owner is running.
};

/** Cancels a call. */
struct CancelMessage
{
    std::uint64_t id = 0;
};

constexpr std::size_t LatencyBucketsPerOctave = 4;
/**
 * The number of buckets in a latency histogram. Bucket n counts latencies from 2^((n-1)/4) to
 * 2^(n/4) ms; the first one also counts shorter latencies and the last one longer ones.
 */
constexpr std::size_t LatencyBucketCount = 16 * LatencyBucketsPerOctave + 2;
/** Numbers of requests by latency. */
using LatencyHistogram = std::array<std::uint64_t, LatencyBucketCount>;

/** Request counts of one arm of a release on one route since the node started counting. */
struct ArmEvidence
{
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t refused = 0;  ///< Requests that the arm could not accept.
    LatencyHistogram latency{}; ///< Of the successful requests.
};

/** Request counts of both arms of a release on one route of one service. */
struct RouteEvidence
{
    std::string service;
    std::string route; ///< Path prefix of the route.
    ArmEvidence stable;
    ArmEvidence candidate;
};

/** The request counts of one node for one release; a node's newest report replaces older ones. */
struct EvidenceMessage
{
    std::string node;
    std::uint64_t incarnation = 0; ///< Start time of the node's process, in Unix milliseconds.
    std::string release;
    std::vector<RouteEvidence> routes;
};

/** Reports that a node saw clear faults of a candidate; all nodes stop using the candidate. */
struct BrakeMessage
{
    std::string release;
    std::string node; ///< The node that saw the faults.
    std::string reason;
};

/** Reports that a request was running when a backend server crashed, or that it is cleared. */
struct SuspectRequestMessage
{
    std::uint64_t fingerprint = 0; ///< Identifies equal requests.
    std::string node;              ///< The node of the backend server that crashed.
    bool cleared = false;          ///< The request has since succeeded elsewhere.
};

/**
 * Requests the configuration progress of a failure domain from the root of its distribution tree.
 */
struct StatusRequestMessage
{
    std::uint64_t id = 0;
};

/** The answer to StatusRequestMessage. */
struct StatusReplyMessage
{
    std::uint64_t id = 0;
    std::string domain;
    std::uint32_t nodes = 0;       ///< Nodes that the reply covers.
    std::uint64_t oldest = 0;      ///< The lowest version applied among them.
    std::uint64_t applied = 0;     ///< The version that the root has applied.
    std::vector<std::string> late; ///< Some of the nodes that lag behind.
};

/** The order of the alternatives defines their numbers on the wire. */
using Message = std::variant<HelloMessage, PingMessage, MembersMessage, DigestMessage, FetchMessage,
                             RecordsMessage, SnapshotMessage, CallMessage, AnswerMessage,
                             CancelMessage, EvidenceMessage, BrakeMessage, SuspectRequestMessage,
                             StatusRequestMessage, StatusReplyMessage>;

/** Returns the name of a problem for logs and answers. */
std::string callProblemName(CallProblem problem);

} // namespace jacinthshift

#endif // MODULES_MESH_MESSAGES_H
