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

/** Joins transports in memory; frames take one millisecond. Links can be cut or silenced. */
class FakeLinkHub
{
public:
    ManualTimerService &timers;
    std::map<Endpoint, FakeLinkTransport *> listeners;
    std::set<LinkId> silenced;
    std::vector<std::function<void()>> held; ///< Frames on silenced links.
    std::uint64_t lastLink = 0;
    std::map<Endpoint, std::size_t> bytesFrom; ///< Sent by each listener.

    /** Delivers what silenced links have held, in order. */
    void release()
    {
        for (const std::function<void()> &deliver : std::exchange(held, {}))
            deliver();
    }

    explicit FakeLinkHub(ManualTimerService &timerService) : timers(timerService) {}
};

/** One node's end of the hub. */
class FakeLinkTransport final : public LinkTransport
{
    struct Peer
    {
        FakeLinkTransport *transport = nullptr;
        LinkId link = LinkId::None;
    };

    FakeLinkHub &m_hub;
    Endpoint m_listen;
    LinkObserver *m_observer = nullptr;
    std::map<LinkId, Peer> m_links;

    void after(std::function<void()> action)
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
        const LinkId near = static_cast<LinkId>(++m_hub.lastLink);
        const auto found = m_hub.listeners.find(endpoint);
        if (found == m_hub.listeners.end()) {
            after([this, near] { m_observer->linkClosed(near); });
            return near;
        }
        FakeLinkTransport *other = found->second;
        const LinkId far = static_cast<LinkId>(++m_hub.lastLink);
        m_links[near] = {other, far};
        other->m_links[far] = {this, near};
        after([this, other, near, far] {
            m_observer->linkOpened(near, true);
            other->m_observer->linkOpened(far, false);
        });
        return near;
    }
    bool send(LinkId link, const std::string &frame) override
    {
        const auto found = m_links.find(link);
        if (found == m_links.end())
            return false;
        const Peer peer = found->second;
        m_hub.bytesFrom[m_listen] += frame.size();
        if (m_hub.silenced.contains(link) || m_hub.silenced.contains(peer.link)) {
            m_hub.held.push_back([peer, frame] {
                if (peer.transport->m_links.contains(peer.link))
                    peer.transport->m_observer->linkFrame(peer.link, frame);
            });
            return true;
        }
        after([peer, frame] {
            if (peer.transport->m_links.contains(peer.link))
                peer.transport->m_observer->linkFrame(peer.link, frame);
        });
        return true;
    }
    void setCompression(LinkId, bool) override {}
    void close(LinkId link) override
    {
        const auto found = m_links.find(link);
        if (found == m_links.end())
            return;
        const Peer peer = found->second;
        m_links.erase(found);
        peer.transport->m_links.erase(peer.link);
        after([this, link] { m_observer->linkClosed(link); });
        after([peer] { peer.transport->m_observer->linkClosed(peer.link); });
    }

    /** Resets all links. */
    void closeAll()
    {
        while (!m_links.empty())
            close(m_links.begin()->first);
    }
    /** From now on nothing passes on the links that are open. */
    void silenceAll()
    {
        for (const auto &[link, peer] : m_links)
            m_hub.silenced.insert(link);
    }
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_FAKE_LINK_HUB_H
