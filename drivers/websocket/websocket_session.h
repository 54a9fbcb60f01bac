#ifndef DRIVERS_WEBSOCKET_WEBSOCKET_SESSION_H
#define DRIVERS_WEBSOCKET_WEBSOCKET_SESSION_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jacinthshift {

/**
 * One end of a WebSocket connection without any input or output of its own.
 *
 * It is the only part that includes websocketpp, which does not compile as C++20 with the
 * compilers in use; this header must therefore stay valid C++17.
 */
class WebsocketSession
{
public:
    /** What the session reports and needs. */
    struct Events
    {
        std::function<void()> opened;
        std::function<void(const std::string &frame)> frame;
        std::function<void()> closed;
        std::function<void(const char *data, std::size_t size)> write; ///< Bytes for the peer.
    };

    virtual ~WebsocketSession() = default;

    /** Starts the handshake. */
    virtual void start() = 0;
    /** Takes bytes that came from the peer. */
    virtual void received(const char *data, std::size_t size) = 0;
    /** Sends one binary message. Returns false when the session is not open. */
    virtual bool send(const std::string &frame) = 0;
    /** Says whether messages are compressed from now on. */
    virtual void setCompression(bool compressed) = 0;
    /** Says that the connection below is gone. */
    virtual void disconnected() = 0;

    /** Makes the accepting end. Larger frames than maxFrameBytes end the session. */
    static std::unique_ptr<WebsocketSession> accept(Events events, std::size_t maxFrameBytes);
    /** Makes the connecting end; host is "IP:PORT". */
    static std::unique_ptr<WebsocketSession> connect(Events events, std::size_t maxFrameBytes,
                                                     const std::string &host);
};

} // namespace jacinthshift

#endif // DRIVERS_WEBSOCKET_WEBSOCKET_SESSION_H
