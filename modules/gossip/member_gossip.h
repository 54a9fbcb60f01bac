#ifndef MODULES_GOSSIP_MEMBER_GOSSIP_H
#define MODULES_GOSSIP_MEMBER_GOSSIP_H

#include <chrono>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "core/random.h"
#include "modules/membership/member_table.h"
#include "modules/mesh/peer_network.h"

namespace jacinthshift {

struct MemberGossipOptions
{
    std::string node;
    std::string domain;
    std::vector<Endpoint> seeds;         ///< Nodes to connect to at start.
    std::uint64_t randomSeed = 0;        ///< Seed of the random number generator.
    std::size_t peersInDomain = 2;       ///< Overlay peers in the node's own failure domain.
    std::size_t peersInOtherDomains = 2; ///< Overlay peers in other failure domains.
    /** Interval at which changed records are sent. */
    std::chrono::milliseconds flushPeriod{50};
    /** Interval at which missing overlay links are opened. */
    std::chrono::milliseconds overlayPeriod{500};
    /** Interval at which the table digest is sent to a random peer. */
    std::chrono::milliseconds digestPeriod{5'000};
    /** Interval at which a connection to a random down member is tried. */
    std::chrono::milliseconds reconnectPeriod{2'000};
    /** Interval at which a node without any connected peer tries its seeds, one at a time. */
    std::chrono::milliseconds seedRetryPeriod{200};
    int failuresBeforeSuspicion = 2; ///< Consecutive link failures before a peer is suspected.
};

/**
 * Synchronises the member tables of all nodes by gossip.
 *
 * Each node keeps overlay links to a few peers only, so its cost does not depend on the size of
 * the mesh: to its successors on a hash ring, some in its own failure domain and some in others.
 * Changed records, own and received ones, are broadcast along the links, and the table is compared
 * periodically with that of a random peer by digest. An overlay peer that cannot be reached is
 * marked as suspect.
 */
class MemberGossip final : public PeerObserver
{
    MemberGossipOptions m_options;
    MemberTable &m_members;
    PeerNetwork &m_network;
    Random m_random;
    std::set<std::string> m_overlay;
    std::uint64_t m_overlayGeneration = 0;     ///< MemberTable::generation() of m_overlay.
    std::map<std::string, int> m_linkFailures; ///< Consecutive link failures by overlay peer.
    Timer m_flushTimer;
    Timer m_overlayTimer;
    Timer m_digestTimer;
    Timer m_reconnectTimer;
    Timer m_seedTimer;
    std::size_t m_nextSeed = 0;

    void flush();
    void maintainOverlay();
    void chooseOverlay();
    void sendDigestToRandomPeer();
    void reconnectDownMember();
    void connectNextSeed();
    void handleDigest(const std::string &peer, LinkId link, const DigestMessage &digest);

public:
    MemberGossip(const MemberGossipOptions &options, MemberTable &members, PeerNetwork &network,
                 TimerService &timers);

    /** Returns the peers to which links are kept open. */
    const std::set<std::string> &overlay() const { return m_overlay; }
    /** Sends a message to all connected peers except the given one. */
    void broadcast(const Message &message, const std::string &except = {});

    void linkEstablished(const std::string &peer) override;
    void linkLost(const std::string &peer, LinkId link) override;
    void messageReceived(const std::string &peer, LinkId link, const Message &message) override;
};

} // namespace jacinthshift

#endif // MODULES_GOSSIP_MEMBER_GOSSIP_H
