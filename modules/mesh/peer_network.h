#ifndef MODULES_MESH_PEER_NETWORK_H
#define MODULES_MESH_PEER_NETWORK_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "modules/membership/member_table.h"
#include "modules/mesh/messages.h"
#include "servers/link_transport.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/** Receives notifications about peers, which are named by their node ids, and their messages. */
class PeerObserver
{
public:
    virtual ~PeerObserver() = default;

    /** A link to a peer has completed its handshake. */
    virtual void linkEstablished(const std::string &) {}
    /**
     * A link to a peer was closed or could not be opened. Calls that were sent on it get no answer.
     * The peer's node id is empty if it was not known yet.
     */
    virtual void linkLost(const std::string &, LinkId) {}
    /** A peer sent a message. Also called for its hello, before linkEstablished(). */
    virtual void messageReceived(const std::string &, LinkId, const Message &) {}
};

/** The configuration version that this node has applied. */
struct AppliedVersion
{
    std::uint64_t version = 0;
    bool serving = false; ///< Whether this node knows that the version is new enough to serve.
};

struct PeerNetworkOptions
{
    std::string mesh; ///< The name of the mesh; links to other meshes are refused.
    std::chrono::milliseconds pingPeriod{1'000}; ///< Interval of pings and link checks.
    /** A link that receives nothing for longer is closed. */
    std::chrono::milliseconds receiveTimeout{3'000};
    /** A link that completes no handshake in this time is closed. */
    std::chrono::milliseconds handshakeTimeout{2'000};
    /** An outgoing link without calls for longer is closed unless its peer is persistent. */
    std::chrono::milliseconds idleTimeout{60'000};
    /**
     * Limits the load of a reconnect storm: further incoming links are closed. They are counted per
     * pingPeriod, which is one second by default.
     */
    std::uint32_t maxHandshakesPerSecond = 200;
};

/**
 * Manages the links to peers: handshakes, health checks by ping, and delivery of messages to
 * observers.
 *
 * A peer is identified by its node id. Several links to one peer may exist at once: when a link
 * does not answer a probe, another one is opened, and the first gets no new calls until it receives
 * something again.
 */
class PeerNetwork final : public LinkObserver
{
public:
    /** Returns the configuration version of this node, for hello messages and pings. */
    using VersionSource = std::function<AppliedVersion()>;

private:
    struct Link
    {
        std::string peer; ///< Node id; empty until its hello has arrived.
        /** The node that an outgoing link was opened to; empty if unknown. */
        std::string expectedPeer;
        bool outgoing = false;
        bool handshakeDone = false;
        bool unresponsive = false; ///< A probe got no answer and nothing has been received since.
        SteadyTime openedAt;
        SteadyTime lastReceivedAt;
        SteadyTime lastCallAt; ///< When a call, answer or cancellation was last sent or received.
    };

    PeerNetworkOptions m_options;
    LinkTransport &m_transport;
    TimerService &m_timers;
    MemberTable &m_members;
    VersionSource m_versionSource;
    std::map<LinkId, Link> m_links;
    /** Links with a completed handshake, by peer, oldest first. */
    std::map<std::string, std::vector<LinkId>> m_linksOfPeer;
    /** Highest configuration version that each peer reported as applied. */
    std::map<std::string, std::uint64_t> m_appliedByPeer;
    std::set<std::string> m_persistentPeers;
    std::vector<PeerObserver *> m_observers;
    std::uint32_t m_incomingLinksSinceCheck = 0;
    std::uint64_t m_bytesSent = 0;
    std::uint64_t m_bytesReceived = 0;
    std::uint64_t m_callBytes = 0;
    Timer m_linkCheckTimer;

    /** Closes the links that timed out or are idle, and pings the other established ones. */
    void checkLinks();
    void sendHello(LinkId link);
    void handleHello(LinkId id, Link &link, const HelloMessage &hello);
    void closeWithError(LinkId id, const std::string &reason);
    bool encodeAndSend(LinkId id, const Message &message);
    void sendPing(LinkId id, bool reply);

public:
    PeerNetwork(const PeerNetworkOptions &options, LinkTransport &transport, TimerService &timers,
                MemberTable &members, VersionSource versionSource);
    ~PeerNetwork() override;

    void addObserver(PeerObserver &observer) { m_observers.push_back(&observer); }

    // Links.
    /** Opens a link to an endpoint whose node id is not known yet. */
    void connectEndpoint(const Endpoint &endpoint);
    /** Opens a link to a member unless a responsive one is open or being opened. */
    void connectPeer(const std::string &node);
    /** Sets the peers whose links stay open while no calls use them. */
    void setPersistentPeers(const std::set<std::string> &nodes) { m_persistentPeers = nodes; }
    /** Returns the newest responsive link to a peer, or None. */
    LinkId linkTo(const std::string &node) const;
    /** Returns whether a link to a peer is being opened and has not completed its handshake. */
    bool isConnecting(const std::string &node) const;
    /** Returns the ids of all nodes with a completed handshake and an open link. */
    std::vector<std::string> connectedPeers() const;
    /** Sends a ping that the peer answers immediately. */
    void probe(LinkId link) { sendPing(link, false); }
    /**
     * Reports that a probe sent at the given time got no answer. If nothing else was received since
     * then, marks the link as unresponsive, so that it gets no new calls, opens another link to the
     * peer and returns true.
     */
    bool reportProbeTimeout(LinkId link, SteadyTime probedAt);
    /** Returns whether a link is closed or did not answer a probe. */
    bool isUnresponsive(LinkId link) const;

    // Messages.
    /** Sends to a peer. Returns the link used, or None when no link is open. */
    LinkId send(const std::string &node, const Message &message);
    /** Sends on the given link. Returns false when it is closed or its queue is full. */
    bool sendOnLink(LinkId link, const Message &message);

    // State and traffic counters.
    /** Returns the highest configuration version that a peer reported as applied; 0 if none. */
    std::uint64_t appliedVersionOf(const std::string &node) const;
    std::uint64_t bytesSent() const { return m_bytesSent; }
    std::uint64_t bytesReceived() const { return m_bytesReceived; }
    /** Returns the bytes of calls, answers and cancellations, in both directions. */
    std::uint64_t callBytes() const { return m_callBytes; }
    std::size_t linkCount() const { return m_links.size(); }

    void linkOpened(LinkId link, bool outgoing) override;
    void frameReceived(LinkId link, const std::string &frame) override;
    void linkClosed(LinkId link) override;
};

} // namespace jacinthshift

#endif // MODULES_MESH_PEER_NETWORK_H
