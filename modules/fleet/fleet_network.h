#ifndef MODULES_FLEET_FLEET_NETWORK_H
#define MODULES_FLEET_FLEET_NETWORK_H

#include <array>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <absl/status/status.h>

#include "core/random.h"
#include "modules/fleet/messages.h"
#include "servers/link_transport.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct FleetNetworkOptions
{
    NodeContact self;
    std::uint64_t seed = 0;
    /** Between two heartbeats on a link; stretched by the number of links, see heartbeatPeriod().
     */
    std::chrono::milliseconds heartbeat{300};
    std::size_t linksAtBaseRate = 16; ///< With more links the heartbeat slows down in proportion.
    std::chrono::milliseconds longestHeartbeat{1'000};
    std::uint32_t heartbeatsMissed = 4; ///< After so many a link counts as silent.
    /** Between failure domains a heartbeat goes out only after so many periods without a message.
     */
    std::int64_t farHeartbeatFactor = 2;
    /** A node that owes an answer and was not heard of for so long is asked for a sign of life. */
    std::chrono::milliseconds probeAfter{250};
    /** A probe without answer for so long makes the link silent. */
    std::chrono::milliseconds probeTimeout{300};
    std::chrono::milliseconds closeAfter{4'000}; ///< A link that is silent for longer is closed.
    std::chrono::milliseconds firstRedial{150};
    std::chrono::milliseconds longestRedial{1'500};
    std::chrono::milliseconds dialTimeout{1'500};
    /** The node with the higher name leaves the first dial to the other one for this long. */
    std::chrono::milliseconds politeDelay{250};
    /** A node without a link in its own failure domain asks a far one for contacts this often. */
    std::chrono::milliseconds contactsFetchPeriod{2'000};
    std::chrono::milliseconds forgetAfter{600'000}; ///< Nodes that could not be reached for longer.
};

/** What is known of another node. */
struct FleetPeer
{
    NodeContact contact;
    StatusMessage status;
    SteadyTime statusAt;    ///< When the status came.
    SteadyTime heardAt;     ///< When anything came from it.
    SteadyTime sentAt;      ///< When anything was last sent to it.
    SteadyTime probedAt;    ///< When it was asked for a sign of life; zero once it gave one.
    SteadyTime silentSince; ///< Holds while silent is set.
    bool hasStatus = false;
    std::vector<LinkId> links; ///< Greeted links, the newest last.
    LinkId dialing = LinkId::None;
    SteadyTime dialingSince;
    SteadyTime nextDial;
    SteadyTime reachableAt; ///< When it last had a link.
    std::chrono::milliseconds redial{0};
    bool silent = false;
};

/** Frames that were sent, before compression. */
struct FrameCount
{
    std::uint64_t frames = 0;
    std::uint64_t bytes = 0;
};

/** To whom a new status goes before the next heartbeat. */
enum class StatusUrgency { Nobody, OwnDomain, Everywhere };

/** Learns what other nodes say. */
class FleetObserver
{
public:
    virtual ~FleetObserver() = default;

    virtual void fleetMessage(const std::string &node, const FleetMessage &message) = 0;
    /** The set of links to a node changed; messages that were sent on a lost one may be lost. */
    virtual void fleetLinksChanged(const std::string &node) = 0;
};

/** Keeps links to all nodes that this node knows and tells them this node's status. */
class FleetNetwork final : public LinkObserver
{
    struct Link
    {
        std::string node; ///< Empty until it has greeted.
    };

    FleetNetworkOptions m_options;
    LinkTransport &m_transport;
    TimerService &m_timers;
    Random m_random;
    std::vector<FleetObserver *> m_observers;
    std::map<std::string, FleetPeer> m_peers;
    std::unordered_map<LinkId, Link> m_links;
    StatusMessage m_status;
    // By the message's number, to the own failure domain and to others.
    std::array<std::array<FrameCount, 2>, std::variant_size_v<FleetMessage>> m_sent{};
    SteadyTime m_nextHeartbeat;
    SteadyTime m_nextContactsFetch;
    Timer m_tick;

    void tick();
    void maintain(FleetPeer &peer);
    void dial(FleetPeer &peer);
    void learn(const NodeContact &contact);
    void sendStatus();
    void sendHeartbeats();
    void greeted(LinkId link, const GreetingMessage &greeting);
    std::chrono::milliseconds silenceLimit() const;
    void fetchContacts();
    bool transmit(LinkId link, const FleetPeer &peer, const FleetMessage &message,
                  const std::string &frame);

public:
    FleetNetwork(const FleetNetworkOptions &options, LinkTransport &transport,
                 TimerService &timers);

    absl::Status start();
    void addObserver(FleetObserver &observer) { m_observers.push_back(&observer); }
    void addContacts(const std::vector<NodeContact> &contacts);
    /** Dials a node of which only the address is known. */
    void addSeed(const Endpoint &links);

    void setStatus(const StatusMessage &status, StatusUrgency urgency);
    /** Sends to a node. Returns false if it has no link. */
    bool send(const std::string &node, const FleetMessage &message);
    void broadcast(const FleetMessage &message);

    /** Asks a node for a sign of life if it has not been heard of for a while. */
    void probe(const std::string &node);

    /** Returns the time between two heartbeats, which grows with the number of links. */
    std::chrono::milliseconds heartbeatPeriod() const;
    const std::map<std::string, FleetPeer> &peers() const { return m_peers; }
    const FleetPeer *peer(const std::string &node) const;
    /** Returns whether a node is in the failure domain of this one. */
    bool isNear(const FleetPeer &peer) const;
    /** Returns whether a node has a link that is not silent. */
    bool isReachable(const FleetPeer &peer) const { return !peer.links.empty() && !peer.silent; }
    /** Returns what was sent of a kind of message, to other failure domains or within the own. */
    const FrameCount &sent(std::size_t kind, bool far) const { return m_sent.at(kind).at(far); }
    const NodeContact &self() const { return m_options.self; }
    std::vector<NodeContact> contacts() const;

    void linkOpened(LinkId link, bool outgoing) override;
    void linkFrame(LinkId link, const std::string &frame) override;
    void linkClosed(LinkId link) override;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_FLEET_NETWORK_H
