#ifndef CLI_OPERATOR_SESSION_H
#define CLI_OPERATOR_SESSION_H

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>

#include "core/endpoint.h"
#include "modules/config/config_state.h"

namespace jacinthshift {

/** The addresses that an operator's command connects to. */
struct OperatorSessionOptions
{
    Endpoint node;                            ///< The local interface of any node.
    Endpoint log;                             ///< The platform's log.
    std::chrono::milliseconds timeout{3'000}; ///< Of each HTTP request.
};

/** One failure domain in a node's status report. */
struct DomainReport
{
    std::string domain;
    bool takenOut = false;
    std::uint32_t memberCount = 0;      ///< Nodes that are believed to be reachable.
    std::uint32_t reportedNodes = 0;    ///< Nodes covered by the answers; 0 if none answered.
    std::uint64_t oldestVersion = 0;    ///< The lowest version applied by those nodes.
    std::vector<std::string> lateNodes; ///< Names of some of the nodes that are behind.

    /** Returns whether all nodes have applied a version. */
    bool hasApplied(std::uint64_t version) const
    {
        return reportedNodes >= memberCount && oldestVersion >= version;
    }
};

/** One release in a node's status report. */
struct ReleaseReport
{
    Release release;
    std::uint32_t share = 0; ///< Of the candidate, in thousandths of the requests.
    bool braked = false;     ///< The share is 0 because a node has detected a fault.
};

/** A node's status report on the mesh. */
struct MeshReport
{
    std::string node;
    std::uint64_t version = 0; ///< The configuration version that the node has applied.
    std::string hash;          ///< The chain hash of that configuration, in hexadecimal.
    bool serving = false; ///< Whether that version is new enough for the node to serve requests.
    std::vector<DomainReport> domains;
    std::vector<ReleaseReport> releases;
    std::string json; ///< The report as the node sent it.

    /** Returns a release by its id, or null. */
    const ReleaseReport *findRelease(const std::string &id) const;
};

/** A blocking client of a node and of the platform's log: each call returns with its answer. */
class OperatorSession
{
    struct State;
    std::unique_ptr<State> m_state;

    absl::StatusOr<std::string> get(const std::string &target);

public:
    explicit OperatorSession(const OperatorSessionOptions &options);
    ~OperatorSession();

    /** Fetches the configuration that the node has applied. */
    absl::StatusOr<ConfigState> configuration();
    /** Fetches the status report of the node. */
    absl::StatusOr<MeshReport> report();
    /** Fetches the outcome of a record. Fails with NotFound while the node has not applied it. */
    absl::StatusOr<RecordOutcome> outcome(const std::string &recordId);

    /**
     * Appends a record and waits until the node has applied it. If the answer to the append is
     * lost, the record is looked up by its id. Fails with Unavailable if the record was certainly
     * not appended, with DeadlineExceeded if it was appended but not applied in time, and with
     * Unknown if it was not found in time and may have been appended.
     */
    absl::StatusOr<RecordOutcome> submit(const ConfigRecord &record,
                                         std::chrono::milliseconds within);
    /** Runs the main loop for the given time. */
    void pause(std::chrono::milliseconds time);
};

/** Returns an id that no other record has. */
std::string newRecordId(const std::string &author);

} // namespace jacinthshift

#endif // CLI_OPERATOR_SESSION_H
