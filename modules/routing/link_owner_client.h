#ifndef MODULES_ROUTING_LINK_OWNER_CLIENT_H
#define MODULES_ROUTING_LINK_OWNER_CLIENT_H

#include <chrono>
#include <memory>
#include <string>
#include <unordered_map>

#include "modules/backend/backend_agent.h"
#include "modules/mesh/peer_network.h"
#include "modules/routing/owner_client.h"

namespace jacinthshift {

struct LinkOwnerClientOptions
{
    std::string node; ///< This node; calls to it go to its own backend agent.
    std::chrono::milliseconds connectTimeout{300}; ///< Maximum time that a call waits for a link.
};

/**
 * Calls the owners on other nodes over links, and the owner on this node directly.
 *
 * Call ids are unique within a process, so an answer that arrives late or on another link matches
 * no pending call and is dropped. A call whose link was lost may have run; a call that was never
 * sent on a link has not run.
 */
class LinkOwnerClient final : public OwnerClient, public PeerObserver
{
    struct PendingCall
    {
        std::string node;
        CallMessage call;
        Callback callback;
        LinkId link = LinkId::None; ///< None while the call waits for a link.
        std::uint64_t localWorkId = 0;
        bool local = false;
        SteadyTime probedAt;
        SteadyTime deadline;
        Timer deadlineTimer;
        /** Connection timeout, check for an unresponsive link, or completion of a local call. */
        Timer progressTimer;
    };

    LinkOwnerClientOptions m_options;
    PeerNetwork &m_network;
    BackendAgent &m_agent;
    TimerService &m_timers;
    std::unordered_map<std::uint64_t, PendingCall> m_pending;
    /** Ids of the work that runs for peers, by link and call id. */
    std::map<LinkId, std::map<std::uint64_t, std::uint64_t>> m_served;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_lateAnswerCount = 0;

    void callLocally(std::uint64_t id);
    void sendOrAwaitLink(std::uint64_t id);
    /** Sends a call with its remaining timeout. Returns false if there is no link. */
    bool trySend(std::uint64_t id);
    void probeLink(std::uint64_t id);
    void checkLinkResponsiveness(std::uint64_t id);
    void deadlinePassed(std::uint64_t id);
    void complete(std::uint64_t id, AnswerMessage answer);
    /** Runs a peer's call on this node's backend agent and sends the answer on the link. */
    void serve(LinkId link, const CallMessage &call);
    void cancelServed(LinkId link, std::uint64_t id);

public:
    LinkOwnerClient(const LinkOwnerClientOptions &options, PeerNetwork &network,
                    BackendAgent &agent, TimerService &timers);

    OwnerCallId call(const std::string &node, CallMessage call, Callback callback) override;
    void cancel(OwnerCallId id) override;
    /** Returns how many answers were dropped because no pending call matched. */
    std::uint64_t lateAnswerCount() const { return m_lateAnswerCount; }

    void linkEstablished(const std::string &peer) override;
    void linkLost(const std::string &peer, LinkId link) override;
    void messageReceived(const std::string &peer, LinkId link, const Message &message) override;
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_LINK_OWNER_CLIENT_H
