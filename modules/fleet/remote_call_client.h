#ifndef MODULES_FLEET_REMOTE_CALL_CLIENT_H
#define MODULES_FLEET_REMOTE_CALL_CLIENT_H

#include <functional>
#include <memory>
#include <unordered_map>

#include "modules/fleet/fleet_network.h"
#include "modules/fleet/part_sender.h"

namespace jacinthshift {

struct RemoteCallClientOptions
{
    /** How long a call waits for a new link after its link was lost before it fails. */
    std::chrono::milliseconds linkLossTimeout{700};
    /** How long an idempotent call waits for a silent node before its owner is suspected. */
    std::chrono::milliseconds silentNodeTimeout{100};
    /** How often calls are checked for these timeouts. */
    std::chrono::milliseconds checkPeriod{50};
    /** Longer request bodies follow their calls in parts, so that they do not delay other frames.
     */
    std::size_t maxInlineBodyBytes = 64 * 1024;
    /** How these are sent. */
    PartSenderOptions parts{.kind = BodyKind::Request,
                            .maxQueuedBytesPerLink = 256 * 1024,
                            .blockedLinkPeriod = std::chrono::milliseconds(10)};
    /** Counts response bodies that arrive in parts; null for none. */
    std::shared_ptr<ByteAccount> account;
};

/**
 * Sends requests to the owners of backend servers on other nodes.
 *
 * A call is bound to the owner's process, not to a connection: when a link is lost or goes silent,
 * its result is requested over the next one. A lost connection thus delays a request but does not
 * fail it. A node that is silent may only be late, so its calls go on until they are cancelled.
 */
class RemoteCallClient final : public FleetObserver
{
public:
    using Callback = std::function<void(const WorkResult &)>;
    using SuspectCallback = std::function<void()>;

private:
    struct Call
    {
        std::string node;
        std::uint64_t incarnation = 0; ///< Incarnation of the owner's process.
        Callback callback;
        SuspectCallback ownerSuspected;
        SteadyTime linkLostAt; ///< When the last link was lost; zero while there is one.
        bool idempotent = false;
        /** A result whose body arrives in parts, with the parts received so far. */
        std::unique_ptr<WorkResult> partialResult;
        std::string body;
        std::shared_ptr<ByteLease> lease; ///< For the body, once there is room for it.
        SteadyTime resultAt;              ///< When the result without its body was received.
        std::uint64_t bodyBytes = 0;      ///< Size of that body when it is complete.
    };

    RemoteCallClientOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    PartSender m_parts; ///< Of request bodies.
    std::unordered_map<std::uint64_t, Call> m_calls;
    std::unordered_map<std::string, std::uint32_t> m_outstandingByNode;
    std::uint64_t m_lastCallId = 0;
    Timer m_checkTimer; ///< Active while there are calls.

    /** Adds a call and returns its id. */
    std::uint64_t addCall(Call call);
    void checkCalls();
    /** Returns whether a call has been without a link for too long. */
    bool hasLostLink(const Call &call) const;
    /** Returns whether a call's node is silent. Probes it if it has sent nothing lately. */
    bool isOwnerSuspect(const Call &call);
    void sendCancel(const std::string &node, std::uint64_t call);
    /** Identifies the transfer of a call's request body. */
    CallKey transferKey(const std::string &node, std::uint64_t call) const;
    /** Returns the result of a call that its owner does not answer. */
    WorkResult lostResult(const std::string &node, std::uint64_t call);
    /**
     * Takes room for a body that follows in parts, and asks for a long one. It is tried again with
     * each check. Returns false if there is none now.
     */
    bool makeRoom(std::uint64_t id, Call &call);
    /** Fails a call that its owner does not answer, and cancels it there. */
    void giveUp(std::uint64_t call);
    void finish(std::uint64_t call, const WorkResult &result);
    std::uint64_t ownProcess() const;
    /** Returns a call of this process to a node that waits for its result, or nullptr. */
    Call *findCall(const std::string &node, std::uint64_t process, std::uint64_t call);
    void resultReceived(const std::string &node, const WorkResultMessage &message);
    void partReceived(const std::string &node, const ResponsePartMessage &part);
    void resume(const std::string &node);

public:
    RemoteCallClient(const RemoteCallClientOptions &options, FleetNetwork &network,
                     TimerService &timers);

    /**
     * Sends a request to the owner on a node and returns the call's id. The callback runs once,
     * after this function has returned, unless the call is cancelled. If the node has no link, the
     * result is NotRun. For an idempotent request, ownerSuspected runs repeatedly while the node is
     * silent; it may cancel the call.
     */
    std::uint64_t call(const std::string &node, WorkRequest work, Callback callback,
                       SuspectCallback ownerSuspected = nullptr);
    /** Cancels a call; its callback will not run. The owner is asked to stop the request. */
    void cancel(std::uint64_t call);
    /** Returns the number of calls that wait for a result from a node. */
    std::uint32_t outstanding(const std::string &node) const;

    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_REMOTE_CALL_CLIENT_H
