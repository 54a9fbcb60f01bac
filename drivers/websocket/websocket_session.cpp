#include "drivers/websocket/websocket_session.h"

#include <algorithm>
#include <cstdint>
#include <random>
#include <utility>

#include <websocketpp/client.hpp>
#include <websocketpp/config/core.hpp>
#include <websocketpp/config/core_client.hpp>
#include <websocketpp/extensions/permessage_deflate/enabled.hpp>
#include <websocketpp/server.hpp>

namespace jacinthshift {

namespace {

namespace lib = websocketpp::lib;
struct DeflateConfig
{
};

/**
 * Counts what the compressed frames of one session expand to. The library creates its extensions
 * itself, so they find the session that processes input through this scope.
 */
class ExpansionScope
{
    static inline ExpansionScope *current = nullptr;

    std::size_t &m_bytes;
    const std::function<bool(std::size_t)> &m_mayExpand;
    ExpansionScope *m_outer = current;

public:
    ExpansionScope(std::size_t &bytes, const std::function<bool(std::size_t)> &mayExpand)
        : m_bytes(bytes), m_mayExpand(mayExpand)
    {
        current = this;
    }
    ~ExpansionScope() { current = m_outer; }
    ExpansionScope(const ExpansionScope &) = delete;
    ExpansionScope &operator=(const ExpansionScope &) = delete;

    /** Adds to the bytes of the current message. Returns false if there are too many. */
    static bool add(std::size_t bytes)
    {
        if (current == nullptr)
            return false;
        current->m_bytes += bytes;
        return current->m_mayExpand(current->m_bytes);
    }
};

/**
 * Frames repeat names and headers of earlier ones, so both ends keep their compression windows
 * between messages. The library's default offer resets the window of the connecting end after each
 * message and uses the largest windows, which take 190 KB per link.
 */
class LinkDeflate : public websocketpp::extensions::permessage_deflate::enabled<DeflateConfig>
{
    using Base = websocketpp::extensions::permessage_deflate::enabled<DeflateConfig>;

    /** Expands to a megabyte at most. */
    static constexpr std::size_t SliceBytes = 1024;

public:
    /** Hides the library's function, which expands without a limit. */
    lib::error_code decompress(const std::uint8_t *data, std::size_t size, std::string &output)
    {
        while (size > 0) {
            const std::size_t slice = std::min(size, SliceBytes);
            const std::size_t before = output.size();
            if (const lib::error_code error = Base::decompress(data, slice, output))
                return error;
            if (!ExpansionScope::add(output.size() - before))
                return websocketpp::processor::error::make_error_code(
                        websocketpp::processor::error::message_too_big);
            data += slice;
            size -= slice;
        }
        return {};
    }

    /** Hides the library's function. 12 bits are a window of 4 KB, about ten frames. */
    std::string generate_offer() const // NOLINT(readability-identifier-naming)
    {
        return "permessage-deflate; server_max_window_bits=12; client_max_window_bits=12";
    }
};

/**
 * Generates the masks of the frames that the connecting end sends. The library's generator makes a
 * system call for each. Masks have to be unpredictable where a browser runs foreign scripts behind
 * an intermediary; both ends of a link are nodes.
 */
struct MaskGenerator
{
    std::uint32_t operator()()
    {
        static std::mt19937 engine{std::random_device()()};
        return static_cast<std::uint32_t>(engine());
    }
};

// A frame is a few hundred bytes; the library's default of 16 KB per connection would stay unused.
constexpr std::size_t ReadBufferBytes = 4 * 1024;

/**
 * Creates messages without room for the length that the peer announces: the library would allocate
 * it before any byte of the frame has arrived.
 */
template <typename Message>
class LinkMessageManager : public lib::enable_shared_from_this<LinkMessageManager<Message>>
{
    static constexpr std::size_t MaxReservedBytes = 64 * 1024;

public:
    // Names that the library uses.
    using ptr = lib::shared_ptr<LinkMessageManager>;    // NOLINT
    using weak_ptr = lib::weak_ptr<LinkMessageManager>; // NOLINT
    using message_ptr = typename Message::ptr;          // NOLINT

    message_ptr get_message() // NOLINT(readability-identifier-naming)
    {
        return lib::make_shared<Message>(this->shared_from_this());
    }

    // NOLINTNEXTLINE(readability-identifier-naming)
    message_ptr get_message(websocketpp::frame::opcode::value opcode, std::size_t size)
    {
        return lib::make_shared<Message>(this->shared_from_this(), opcode,
                                         std::min(size, MaxReservedBytes));
    }

    bool recycle(Message *) { return false; }
};

template <typename Base>
struct LinkConfig : Base
{
    // NOLINTBEGIN(readability-identifier-naming): names that the library uses.
    using message_type = websocketpp::message_buffer::message<LinkMessageManager>;
    using con_msg_manager_type = LinkMessageManager<message_type>;
    using endpoint_msg_manager_type =
            websocketpp::message_buffer::alloc::endpoint_msg_manager<con_msg_manager_type>;
    // NOLINTEND(readability-identifier-naming)
    static const std::size_t connection_read_buffer_size = ReadBufferBytes; // NOLINT
    using permessage_deflate_type = LinkDeflate;
    using rng_type = MaskGenerator;
};

using Server = websocketpp::server<LinkConfig<websocketpp::config::core>>;
using Client = websocketpp::client<LinkConfig<websocketpp::config::core_client>>;

constexpr const char *Subprotocol = "jacinthshift.v1";

/** Common base of both ends; WebsocketEndpoint is an endpoint type of websocketpp. */
template <typename WebsocketEndpoint>
class SessionBase : public WebsocketSession
{
protected:
    WebsocketEndpoint m_endpoint;
    typename WebsocketEndpoint::connection_ptr m_connection;
    Events m_events;
    std::function<bool(std::size_t)> m_mayExpand;
    std::size_t m_expandedBytes = 0; ///< Of the message that is being received.
    bool m_open = false;
    bool m_compressed = false;

    SessionBase(Events events, std::size_t maxFrameBytes)
        : m_events(std::move(events)), m_mayExpand([this, maxFrameBytes](std::size_t bytes) {
            return bytes <= maxFrameBytes && m_events.mayExpand(bytes);
        })
    {
        m_endpoint.clear_access_channels(websocketpp::log::alevel::all);
        m_endpoint.clear_error_channels(websocketpp::log::elevel::all);
        m_endpoint.set_max_message_size(maxFrameBytes);
        m_endpoint.set_open_handler([this](const websocketpp::connection_hdl &) {
            m_open = true;
            m_events.opened();
        });
        m_endpoint.set_message_handler(
                [this](const websocketpp::connection_hdl &,
                       const typename WebsocketEndpoint::message_ptr &message) {
                    m_expandedBytes = 0;
                    m_events.frame(message->get_payload());
                });
        m_endpoint.set_close_handler(
                [this](const websocketpp::connection_hdl &) { handleClosed(); });
        m_endpoint.set_fail_handler(
                [this](const websocketpp::connection_hdl &) { handleClosed(); });
    }

    void handleClosed()
    {
        m_open = false;
        m_events.closed();
    }

    void setWriteHandlers()
    {
        m_connection->set_write_handler(
                [this](const websocketpp::connection_hdl &, const char *data, std::size_t size) {
                    m_events.write(data, size);
                    return lib::error_code();
                });
        m_connection->set_vector_write_handler(
                [this](const websocketpp::connection_hdl &,
                       const std::vector<websocketpp::transport::buffer> &buffers) {
                    std::string combined;
                    for (const websocketpp::transport::buffer &buffer : buffers)
                        combined.append(buffer.buf, buffer.len);
                    m_events.write(combined.data(), combined.size());
                    return lib::error_code();
                });
        m_connection->set_shutdown_handler(
                [](const websocketpp::connection_hdl &) { return lib::error_code(); });
    }

public:
    void processInput(const char *data, std::size_t size) override
    {
        const ExpansionScope scope(m_expandedBytes, m_mayExpand);
        m_connection->read_all(data, size);
    }

    bool send(const std::string &frame) override { return sendFrame(frame, m_compressed); }

    bool sendUncompressed(const std::string &frame) override { return sendFrame(frame, false); }

    void setCompression(bool compressed) override { m_compressed = compressed; }

    void handleDisconnect() override { m_connection->eof(); }

private:
    bool sendFrame(const std::string &frame, bool compressed)
    {
        if (!m_open)
            return false;
        const typename WebsocketEndpoint::message_ptr message =
                m_connection->get_message(websocketpp::frame::opcode::binary, frame.size());
        message->append_payload(frame);
        message->set_compressed(compressed);
        return !m_connection->send(message);
    }
};

class AcceptingSession final : public SessionBase<Server>
{
public:
    AcceptingSession(Events events, std::size_t maxFrameBytes)
        : SessionBase(std::move(events), maxFrameBytes)
    {
        m_endpoint.set_validate_handler([this](const websocketpp::connection_hdl &) {
            for (const std::string &offered : m_connection->get_requested_subprotocols()) {
                if (offered == Subprotocol) {
                    m_connection->select_subprotocol(offered);
                    return true;
                }
            }
            return false;
        });
        m_connection = m_endpoint.get_connection();
        setWriteHandlers();
    }

    void start() override { m_connection->start(); }
};

class ConnectingSession final : public SessionBase<Client>
{
public:
    ConnectingSession(Events events, std::size_t maxFrameBytes, const std::string &host)
        : SessionBase(std::move(events), maxFrameBytes)
    {
        lib::error_code error;
        m_connection = m_endpoint.get_connection("ws://" + host + "/", error);
        m_connection->add_subprotocol(Subprotocol);
        setWriteHandlers();
    }

    void start() override { m_endpoint.connect(m_connection); }
};

} // namespace

std::unique_ptr<WebsocketSession> WebsocketSession::accept(Events events, std::size_t maxFrameBytes)
{
    return std::make_unique<AcceptingSession>(std::move(events), maxFrameBytes);
}

std::unique_ptr<WebsocketSession>
WebsocketSession::connect(Events events, std::size_t maxFrameBytes, const std::string &host)
{
    return std::make_unique<ConnectingSession>(std::move(events), maxFrameBytes, host);
}

} // namespace jacinthshift
