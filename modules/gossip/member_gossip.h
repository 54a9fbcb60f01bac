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
    std::vector<Endpoint> seeds;
    std::uint64_t seed = 0;
    std::size_t peersInDomain = 2;
    std::size_t peersElsewhere = 2;
    std::chrono::milliseconds flushPeriod{50};
    std::chrono::milliseconds overlayPeriod{500};
    std::chrono::milliseconds digestPeriod{5'000};
    std::chrono::milliseconds contactPeriod{2'000};
    /** A node without any link tries one seed after the other this often. */
    std::chrono::milliseconds seedPeriod{200};
    int failuresBeforeSuspicion = 2;
};

/**
 * Keeps the member tables of all nodes alike.
 *
 * Each node keeps links to a few others, so its cost does not depend on the size of the mesh: its
 * successors in its own failure domain and some in others. News is flooded along these links; now
 * and then two tables are compared. A kept peer that cannot be reached is suspected.
 */
class MemberGossip final : public PeerObserver
{
    MemberGossipOptions m_options;
    MemberTable &m_members;
    PeerNetwork &m_network;
    Random m_random;
    std::set<std::string> m_overlay;
    std::uint64_t m_overlayGeneration = 0;
    std::map<std::string, int> m_failures;
    Timer m_flusher;
    Timer m_overlayTimer;
    Timer m_digestTimer;
    Timer m_contactTimer;
    Timer m_seedTimer;
    std::size_t m_nextSeed = 0;

    void flush();
    void maintainOverlay();
    void chooseOverlay();
    void compareWithSomebody();
    void contactTheLost();
    void contactNextSeed();
    void answerDigest(const std::string &peer, LinkId link, const DigestMessage &digest);

public:
    MemberGossip(const MemberGossipOptions &options, MemberTable &members, PeerNetwork &network,
                 TimerService &timers);

    /** Returns the peers whose links are kept. */
    const std::set<std::string> &overlay() const { return m_overlay; }
    /** Sends a message to all connected peers of the overlay. */
    void flood(const Message &message, const std::string &except = {});

    void peerUp(const std::string &peer) override;
    void linkLost(const std::string &peer, LinkId link) override;
    void peerMessage(const std::string &peer, LinkId link, const Message &message) override;
};

} // namespace jacinthshift

#endif // MODULES_GOSSIP_MEMBER_GOSSIP_H
