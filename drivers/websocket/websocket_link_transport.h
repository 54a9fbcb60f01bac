#ifndef DRIVERS_WEBSOCKET_WEBSOCKET_LINK_TRANSPORT_H
#define DRIVERS_WEBSOCKET_WEBSOCKET_LINK_TRANSPORT_H

#include <memory>

#include "servers/link_transport.h"

namespace jacinthshift {

/** Carries frames as binary WebSocket messages (websocketpp) over TCP sockets of the epoll loop. */
class WebsocketLinkTransport final : public LinkTransport
{
    struct State;
    std::shared_ptr<State> m_state;

public:
    explicit WebsocketLinkTransport(const LinkTransportOptions &options);
    ~WebsocketLinkTransport() override;

    absl::Status start(LinkObserver &observer) override;
    LinkId connect(const Endpoint &endpoint) override;
    bool send(LinkId link, const std::string &frame) override;
    bool sendUncompressed(LinkId link, const std::string &frame) override;
    std::size_t queuedBytes(LinkId link) const override;
    std::size_t unacknowledgedBytes(LinkId link) const override;
    void setCompression(LinkId link, bool compressed) override;
    void close(LinkId link) override;
};

} // namespace jacinthshift

#endif // DRIVERS_WEBSOCKET_WEBSOCKET_LINK_TRANSPORT_H
