#include <memory>
#include <string>
#include <vector>

#include <catch2/catch.hpp>

#include "core/text.h"
#include "modules/gossip/member_gossip.h"
#include "tests/support/fake_link_hub.h"

namespace jacinthshift {

namespace {

Endpoint endpointOf(int number)
{
    return Endpoint{.address = joinText("127.0.0.", number), .port = 7000};
}

/** The membership components of one node, connected through the hub. */
class GossipNode
{
    FakeLinkTransport m_transport;
    MemberTable m_members;
    PeerNetwork m_network;
    MemberGossip m_gossip;

public:
    GossipNode(FakeLinkHub &hub, int number, std::vector<Endpoint> seeds, std::uint64_t randomSeed)
        : m_transport(hub, endpointOf(number))
        , m_members(MemberTableOptions{.self = joinText("n-", number)}, hub.timers)
        , m_network(PeerNetworkOptions{.mesh = "test"}, m_transport, hub.timers, m_members,
                    [] { return AppliedVersion{}; })
        , m_gossip(MemberGossipOptions{.node = joinText("n-", number),
                                       .domain = "a",
                                       .seeds = std::move(seeds),
                                       .randomSeed = randomSeed},
                   m_members, m_network, hub.timers)
    {
        REQUIRE(m_transport.start(m_network).ok());
        m_members.setSelf(MemberRecord{.node = joinText("n-", number),
                                       .domain = "a",
                                       .links = endpointOf(number),
                                       .incarnation = 1,
                                       .status = MemberStatus::Alive});
    }

    bool hasRecordOf(int number) const { return m_members.find(joinText("n-", number)) != nullptr; }
};

} // namespace

TEST_CASE("a node that starts before its seeds connects to the first seed that starts", "[gossip]")
{
    // Only one of the four seeds ever starts, and it does so after the node.
    const std::vector<Endpoint> seeds = {endpointOf(1), endpointOf(2), endpointOf(3),
                                         endpointOf(4)};
    for (std::uint64_t randomSeed = 1; randomSeed <= 200; ++randomSeed) {
        ManualTimerService timers;
        FakeLinkHub hub(timers);
        GossipNode early(hub, 5, seeds, randomSeed);
        timers.advance(std::chrono::milliseconds(100));
        GossipNode late(hub, 2, {}, randomSeed);
        timers.advance(std::chrono::seconds(1));
        CAPTURE(randomSeed);
        REQUIRE(early.hasRecordOf(2));
        REQUIRE(late.hasRecordOf(5));
    }
}

} // namespace jacinthshift
