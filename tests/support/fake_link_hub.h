#ifndef TESTS_SUPPORT_FAKE_LINK_HUB_H
#define TESTS_SUPPORT_FAKE_LINK_HUB_H

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "servers/link_transport.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

class FakeLinkTransport;

/**
 * Connects transports in memory with a latency of one millisecond. Links can be closed, or silenced
 * so that their frames are held back.
 */
class FakeLinkHub
{
public:
    ManualTimerService &timers;
    std::map<Endpoint, FakeLinkTransport *> listeners;
    std::set<LinkId> silencedLinks;
    std::vector<std::function<void()>> heldFrames; ///< Frames on silenced links.
    std::uint64_t lastLinkId = 0;
    std::map<Endpoint, std::size_t> sentBytes; ///< Bytes sent, by the sender's listening address.
    std::map<Endpoint, std::size_t> receivedBytes; ///< By the receiver's listening address.
    /** Bytes per second that a transport sends on all its links together; others have no limit. */
    std::map<Endpoint, double> bandwidth;
    std::map<Endpoint, SteadyTime> sendingUntil; ///< When all frames sent so far have left.

    /** Delivers the frames that were held back on silenced links, in order. */
    void deliverHeldFrames()
    {
        for (const std::function<void()> &deliver : std::exchange(heldFrames, {}))
            deliver();
    }

    explicit FakeLinkHub(ManualTimerService &timerService) : timers(timerService) {}
};

/** The transport of one node, connected to the others by the hub. */
class FakeLinkTransport final : public LinkTransport
{
    struct RemoteEnd
    {
        FakeLinkTransport *transport = nullptr;
        LinkId link = LinkId::None;
    };

    FakeLinkHub &m_hub;
    Endpoint m_listen;
    LinkObserver *m_observer = nullptr;
    std::map<LinkId, RemoteEnd> m_links;

    /** Returns how long a frame takes to its receiver, behind those sent before. */
    std::chrono::milliseconds transmissionTime(std::size_t bytes)
    {
        const auto limit = m_hub.bandwidth.find(m_listen);
        if (limit == m_hub.bandwidth.end())
            return std::chrono::milliseconds(1);
        const SteadyTime now = m_hub.timers.now();
        SteadyTime &until = m_hub.sendingUntil[m_listen];
        const std::chrono::duration<double> time(static_cast<double>(bytes) / limit->second);
        until = std::max(until, now) + std::chrono::duration_cast<SteadyTime::duration>(time);
        return std::chrono::ceil<std::chrono::milliseconds>(until - now)
               + std::chrono::milliseconds(1);
    }

    void notifyOpened(LinkId link, bool outgoing)
    {
        if (m_observer != nullptr)
            m_observer->linkOpened(link, outgoing);
    }
    void notifyClosed(LinkId link)
    {
        if (m_observer != nullptr)
            m_observer->linkClosed(link);
    }
    void schedule(std::function<void()> action)
    {
        m_hub.timers.startOnce(std::chrono::milliseconds(1), std::move(action));
    }

public:
    FakeLinkTransport(FakeLinkHub &hub, Endpoint listen) : m_hub(hub), m_listen(std::move(listen))
    {
    }

    absl::Status start(LinkObserver &observer) override
    {
        m_observer = &observer;
        m_hub.listeners[m_listen] = this;
        return absl::OkStatus();
    }
    LinkId connect(const Endpoint &endpoint) override
    {
        const LinkId localLink = static_cast<LinkId>(++m_hub.lastLinkId);
        const auto found = m_hub.listeners.find(endpoint);
        if (found == m_hub.listeners.end()) {
            schedule([this, localLink] { notifyClosed(localLink); });
            return localLink;
        }
        FakeLinkTransport *remote = found->second;
        const LinkId remoteLink = static_cast<LinkId>(++m_hub.lastLinkId);
        m_links[localLink] = {remote, remoteLink};
        remote->m_links[remoteLink] = {this, localLink};
        schedule([this, remote, localLink, remoteLink] {
            notifyOpened(localLink, true);
            remote->notifyOpened(remoteLink, false);
        });
        return localLink;
    }
    bool send(LinkId link, const std::string &frame) override
    {
        const auto found = m_links.find(link);
        if (found == m_links.end())
            return false;
        const RemoteEnd peer = found->second;
        m_hub.sentBytes[m_listen] += frame.size();
        m_hub.receivedBytes[peer.transport->m_listen] += frame.size();
        if (m_hub.silencedLinks.contains(link) || m_hub.silencedLinks.contains(peer.link)) {
            m_hub.heldFrames.push_back([peer, frame] {
                if (peer.transport->m_links.contains(peer.link))
                    peer.transport->m_observer->frameReceived(peer.link, frame);
            });
            return true;
        }
        m_hub.timers.startOnce(transmissionTime(frame.size()), [peer, frame] {
            if (peer.transport->m_links.contains(peer.link))
                peer.transport->m_observer->frameReceived(peer.link, frame);
        });
        return true;
    }
    bool sendUncompressed(LinkId link, const std::string &frame) override
    {
        return send(link, frame);
    }
    std::size_t queuedBytes(LinkId) const override { return 0; }
    std::size_t unacknowledgedBytes(LinkId link) const override
    {
        return m_hub.silencedLinks.contains(link) ? 1 : 0;
    }
    void setCompression(LinkId, bool) override {}
    void close(LinkId link) override
    {
        const auto found = m_links.find(link);
        if (found == m_links.end())
            return;
        const RemoteEnd peer = found->second;
        m_links.erase(found);
        peer.transport->m_links.erase(peer.link);
        schedule([this, link] { notifyClosed(link); });
        schedule([peer] { peer.transport->notifyClosed(peer.link); });
    }

    /** Closes all links. */
    void closeAll()
    {
        while (!m_links.empty())
            close(m_links.begin()->first);
    }
    /**
     * Ends like the process that it belongs to, whose observer is not used any more. The transport
     * itself must outlive the frames in flight.
     */
    void stop()
    {
        m_hub.listeners.erase(m_listen);
        closeAll();
        m_observer = nullptr;
    }
    /** Silences the links that are open now; links opened later work. */
    void silenceOpenLinks()
    {
        for (const auto &[link, peer] : m_links)
            m_hub.silencedLinks.insert(link);
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_FAKE_LINK_HUB_H
