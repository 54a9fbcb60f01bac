#ifndef MODULES_FLEET_FLEET_NETWORK_H
#define MODULES_FLEET_FLEET_NETWORK_H

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <absl/status/status.h>

#include "core/random.h"
#include "modules/fleet/link_plan.h"
#include "modules/fleet/messages.h"
#include "servers/link_transport.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct FleetNetworkOptions
{
    NodeContact self;
    std::uint64_t randomSeed = 0; ///< Seeds the random numbers for jitter and the choice of peers.
    /** Heartbeat period of a node with at most linksAtBaseRate links, see heartbeatPeriod(). */
    std::chrono::milliseconds baseHeartbeatPeriod{300};
    std::size_t linksAtBaseRate = 16; ///< With more links the period grows in proportion.
    std::chrono::milliseconds maxHeartbeatPeriod{1'000};
    std::uint32_t missedHeartbeatLimit = 4; ///< Missed periods after which a peer is silent.
    /** Heartbeat periods without any message before a heartbeat to another failure domain. */
    std::int64_t otherDomainHeartbeatFactor = 2;
    /** How long a node with outstanding calls may send nothing before probe() sends a probe. */
    std::chrono::milliseconds probeAfter{250};
    /** How long a probe may stay unanswered before the peer counts as silent. */
    std::chrono::milliseconds probeTimeout{300};
    std::chrono::milliseconds silentCloseTimeout{4'000}; ///< Links are closed after this silence.
    std::chrono::milliseconds initialRedialDelay{150};
    std::chrono::milliseconds maxRedialDelay{1'500};
    std::chrono::milliseconds dialTimeout{1'500};
    /** How long the node with the higher name waits for the other one to dial first. */
    std::chrono::milliseconds dialTieBreakDelay{250};
    /**
     * How often a node without a reachable peer in its own failure domain fetches contacts from a
     * node in another one.
     */
    std::chrono::milliseconds contactsFetchPeriod{2'000};
    /** How often it fetches contacts from peers of its own failure domain while links open. */
    std::chrono::milliseconds minContactsFetchInterval{300};
    /** How long after its start a node is still learning which others there are. */
    std::chrono::milliseconds joinPeriod{10'000};
    /** Fetches without a new contact after which the other new peers are not asked any more. */
    std::uint32_t maxFetchesWithoutNews = 2;
    /** Peers that could not be reached for longer are removed. */
    std::chrono::milliseconds unreachableRetention{600'000};
    /** Beyond it, a contact is ignored, and a peer that greets replaces one without a link. */
    std::size_t maxPeers = 32'768;
    LinkPlanOptions linkPlan;
    /** How often the link plan is updated, besides when a node becomes known. */
    std::chrono::milliseconds linkPlanPeriod{1'000};
    std::size_t relaysPerDomain = 2; ///< Nodes per failure domain that are relays.
};

/** Contact, last reported status and link state of another node. */
struct FleetPeer
{
    NodeContact contact;
    StatusMessage status;
    /**
     * The last backend server there that said it shuts down. Unlike the status, it outlasts the
     * peer's process, since a restarted owner may learn of it only from a late heartbeat.
     */
    std::optional<BackendLifetime> leavingBackend;
    SteadyTime statusReceivedAt;   ///< When the status was received.
    SteadyTime lastReceivedAt;     ///< When a frame was last received from it.
    SteadyTime lastSentAt;         ///< When a message was last sent to it.
    SteadyTime probedAt;           ///< When the outstanding probe was sent; zero if there is none.
    SteadyTime silentSince;        ///< Valid while silent is set.
    bool hasStatus = false;        ///< Whether its current process has sent a status.
    std::vector<LinkId> links;     ///< Links that have exchanged greetings, the newest last.
    LinkId dialing = LinkId::None; ///< The link that is being opened.
    bool planned = true;           ///< This node opens links to it, see LinkPlan.
    bool dialFailed = false;       ///< The last attempt to connect has failed.
    SteadyTime dialingSince;
    SteadyTime nextDial;                      ///< Earliest time of the next attempt to connect.
    SteadyTime lastLinkedAt;                  ///< When it last had a link.
    std::chrono::milliseconds redialDelay{0}; ///< Current backoff between attempts to connect.
    bool silent = false; ///< Too many heartbeats were missed, or a probe timed out.
};

/** Number and size of sent frames, before compression. */
struct FrameCount
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

/** Which peers receive a new status at once instead of with the next heartbeat. */
enum class StatusAudience { Nobody, OwnDomain, Everywhere };

/** Receives the messages and link changes of other nodes. */
class FleetObserver
{
public:
    virtual ~FleetObserver() = default;

    /** A node has sent a message other than a greeting. */
    virtual void messageReceived(const std::string &node, const FleetMessage &message) = 0;
    /** The set of links to a node has changed; messages sent on a closed link may be lost. */
    virtual void linksChanged(const std::string &node) = 0;
};

/** Maintains links to all known nodes and sends them this node's status as a heartbeat. */
class FleetNetwork final : public LinkObserver
{
    struct Link
    {
        std::string node; ///< Empty until the greeting was received.
    };

    FleetNetworkOptions m_options;
    LinkTransport &m_transport;
    TimerService &m_timers;
    Random m_random;
    std::vector<FleetObserver *> m_observers;
    std::map<std::string, FleetPeer> m_peers;
    std::unordered_map<LinkId, Link> m_links;
    StatusMessage m_status;
    // Indexed by message type; second index: 0 for the own failure domain, 1 for others.
    std::array<std::array<FrameCount, 2>, std::variant_size_v<FleetMessage>> m_sentFrames{};
    SteadyTime m_nextHeartbeat;
    SteadyTime m_contactsFetchedAt;
    SteadyTime m_startedAt;
    /** Peers of the own failure domain whose link has opened and that may know more contacts. */
    std::set<std::string> m_unaskedPeers;
    std::uint32_t m_fetchesWithoutNews = 0;
    LinkPlan m_linkPlan;
    SteadyTime m_nextPlanUpdate;
    Timer m_tickTimer;

    void tick();
    void maintainLinks(FleetPeer &peer);
    void dial(FleetPeer &peer);
    /** Returns whether the contact is new or of a newer process. */
    bool updateContact(const NodeContact &contact);
    /** Decides to which peers this node opens links. */
    void updateLinkPlan();
    /** Returns whether a peer without a link has not been reachable for too long. */
    bool isExpired(FleetPeer &peer);
    void sendStatus();
    void sendHeartbeats();
    /** Closes the links to a peer's process, which has been replaced, and drops its status. */
    void endProcess(FleetPeer &peer);
    void handleGreeting(LinkId link, const GreetingMessage &greeting);
    /** Returns whether a greeting is of this protocol and of the node that the link belongs to. */
    bool isAcceptable(LinkId link, const GreetingMessage &greeting) const;
    /**
     * Returns whether there is room for a peer with this name. If not, removes the peer that has
     * been without a link for the longest time.
     */
    bool makeRoomForPeer(const std::string &node);
    void updateStatus(FleetPeer &peer, const StatusMessage &status);
    std::chrono::milliseconds silenceTimeout() const;
    std::chrono::milliseconds uptime() const;
    void fetchContacts();
    /** Returns the peer to ask for contacts, or an empty name if there is no need to. */
    std::string chooseContactsSource();
    void contactsReceived(const FleetPeer &source, const std::vector<NodeContact> &contacts);
    ContactsMessage contactsUnknownTo(const ContactsFetchMessage &fetch) const;
    /** Returns a peer that has a link, or nullptr. */
    FleetPeer *findLinkedPeer(const std::string &node);
    /** Counts a frame that is sent to a peer. */
    void countFrame(const FleetPeer &peer, const FleetMessage &message, const std::string &frame);
    bool transmit(LinkId link, const FleetPeer &peer, const FleetMessage &message,
                  const std::string &frame);
    void updateLoad(FleetPeer &peer, const BackendLoad &load);

public:
    FleetNetwork(const FleetNetworkOptions &options, LinkTransport &transport,
                 TimerService &timers);

    /** Starts the transport and the heartbeats. Fails with the error of the transport. */
    absl::Status start();
    void addObserver(FleetObserver &observer) { m_observers.push_back(&observer); }
    /**
     * Adds or updates peers. Contacts without a newer incarnation are ignored. Returns whether any
     * was new.
     */
    bool addContacts(const std::vector<NodeContact> &contacts);
    /** Notes that a backend server of a node has left, as its status would say. */
    void backendLeft(const std::string &node, const BackendLifetime &backend);
    /** Connects to a node of which only the address is known. */
    void connectEndpoint(const Endpoint &linkEndpoint);

    /** Sets the status that heartbeats carry and sends it at once to the peers of the audience. */
    void setStatus(const StatusMessage &status, StatusAudience audience);
    /** Sends on the newest link to a node. Returns false if it has none or the transport fails. */
    bool send(const std::string &node, const FleetMessage &message);
    /** Like send(), but without compression; for content that it does not shrink. */
    bool sendUncompressed(const std::string &node, const FleetMessage &message);
    /** Returns the bytes that wait on the newest link to a node; zero if it has none. */
    std::size_t queuedBytes(const std::string &node) const;
    /** Returns the bytes that a node's system has not acknowledged; zero without a link. */
    std::size_t unacknowledgedBytes(const std::string &node) const;
    /** Sends on the newest link to each peer that has one. */
    void broadcast(const FleetMessage &message);

    /** Sends a probe to a node that has sent nothing for probeAfter, unless one is outstanding. */
    void probe(const std::string &node);

    /** Returns the heartbeat period, which grows with the number of links up to a maximum. */
    std::chrono::milliseconds heartbeatPeriod() const;
    const std::map<std::string, FleetPeer> &peers() const { return m_peers; }
    /** Returns the peer with a name, or nullptr if it is unknown. */
    const FleetPeer *peer(const std::string &node) const;
    /** Returns whether the backend server that a peer reports has said that it shuts down. */
    static bool isBackendLeaving(const FleetPeer &peer);
    /** Returns whether a node is in the same failure domain as this one. */
    bool isInOwnDomain(const FleetPeer &peer) const;
    /** Returns whether a node has a link that is not silent. */
    bool isReachable(const FleetPeer &peer) const { return !peer.links.empty() && !peer.silent; }
    /**
     * Returns the number and size of frames sent of a message type (the index in FleetMessage), to
     * other failure domains or within the own one. Messages that are sent when a link opens are not
     * counted: the greeting, the first status and the first contacts.
     */
    const FrameCount &sentFrames(std::size_t type, bool otherDomain) const
    {
        return m_sentFrames.at(type).at(otherDomain);
    }
    const NodeContact &self() const { return m_options.self; }
    /**
     * Returns whether the mesh is too large for links to all nodes, so that messages for all have
     * to be passed on.
     */
    bool needsRelays() const { return !m_linkPlan.isFullMesh(m_peers.size()); }
    /** Returns whether this node passes messages on between the failure domains. */
    bool isRelay() const;
    /** Returns the reachable relays of the other failure domains. */
    std::vector<std::string> otherDomainRelays() const;
    /** Returns the contacts of all peers to which connecting has not failed. */
    std::vector<NodeContact> contacts() const;

    void linkOpened(LinkId link, bool outgoing) override;
    void frameReceived(LinkId link, const std::string &frame) override;
    void linkClosed(LinkId link) override;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_FLEET_NETWORK_H
