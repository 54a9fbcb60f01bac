#ifndef DRIVERS_WEBSOCKET_WEBSOCKET_SESSION_H
#define DRIVERS_WEBSOCKET_WEBSOCKET_SESSION_H

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace jacinthshift {

/**
 * One end of a WebSocket connection; its owner does the network input and output.
 *
 * Only the implementation of this class includes websocketpp, which does not compile as C++20 with
 * the compilers in use; this header must therefore stay valid C++17.
 */
class WebsocketSession
{
public:
    /** Callbacks of a session. All of them must be set. */
    struct Events
    {
        std::function<void()> opened; ///< The handshake is complete.
        std::function<void(const std::string &frame)> frame;
        std::function<void()> closed; ///< The session has ended or the handshake has failed.
        std::function<void(const char *data, std::size_t size)> write; ///< Bytes for the peer.
        /** Returns whether the unfinished message may take this much memory after its expansion. */
        std::function<bool(std::size_t expandedBytes)> mayExpand;
    };

    virtual ~WebsocketSession() = default;

    /** Starts the handshake. */
    virtual void start() = 0;
    /** Processes bytes received from the peer. */
    virtual void processInput(const char *data, std::size_t size) = 0;
    /** Sends one binary message. Returns false when the session is not open. */
    virtual bool send(const std::string &frame) = 0;
    /** Sends one binary message without compression. Returns false when the session is not open. */
    virtual bool sendUncompressed(const std::string &frame) = 0;
    /** Sets whether later messages are compressed; they are not at first. */
    virtual void setCompression(bool compressed) = 0;
    /** Notifies the session that the underlying connection has ended. */
    virtual void handleDisconnect() = 0;

    /**
     * Creates the accepting end. A frame larger than maxFrameBytes, also when it is
     * expanded, ends the session.
     */
    static std::unique_ptr<WebsocketSession> accept(Events events, std::size_t maxFrameBytes);
    /** Creates the connecting end; host is "IP:PORT". */
    static std::unique_ptr<WebsocketSession> connect(Events events, std::size_t maxFrameBytes,
                                                     const std::string &host);
};

} // namespace jacinthshift

#endif // DRIVERS_WEBSOCKET_WEBSOCKET_SESSION_H
