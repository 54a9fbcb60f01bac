#include "drivers/websocket/websocket_link_transport.h"

#include <algorithm>
#include <array>
#include <unordered_map>

#include "drivers/tcp/tcp_listener.h"
#include "drivers/tcp/tcp_socket.h"
#include "drivers/websocket/output_queue.h"
#include "drivers/websocket/websocket_session.h"

namespace jacinthshift {

namespace {

constexpr std::size_t ReadBufferBytes = 32 * 1024;
/** The first read of an event is short, as its frames may take long, and each next one longer. */
constexpr std::size_t FirstReadBytes = 4 * 1024;
/** After this time the rest of a link's input waits for the link's next turn. */
constexpr std::chrono::milliseconds MaxReadTime{10};
/** Less output is not counted: each link has some at times. */
constexpr std::size_t MinCountedOutputBytes = 64 * 1024;

/** One connection: a TCP socket and the WebSocket session that runs over it. */
struct Channel final : ByteHolder
{
    LinkId id = LinkId::None;
    bool outgoing = false;
    bool open = false;   ///< The WebSocket handshake is complete.
    bool closed = false; ///< The channel is out of use and is about to be removed.
    TcpSocket socket;
    std::unique_ptr<WebsocketSession> session;
    OutputQueue output; ///< Bytes to be written to the socket.
    bool waitingToWrite = false;
    bool flushScheduled = false;
    bool connected = false; ///< The TCP connection is established.
    std::shared_ptr<ByteAccount> account;
    std::size_t unfinishedBytes = 0; ///< Received since the last complete frame.
    std::size_t expandedBytes = 0;   ///< What the compressed part of them has expanded to.
    SteadyTime unfinishedSince;
    std::size_t flushedBytes = 0; ///< Since the output was last empty.
    SteadyTime outputSince;
    std::function<void()> evicted;
    int sessionCalls = 0; ///< Calls of the session that have not returned.

    Channel() = default;
    Channel(const Channel &) = delete;
    Channel &operator=(const Channel &) = delete;
    ~Channel() override { release(); }

    void evict() override { evicted(); }
    /** Frees what a closed channel holds, once no call of its session is left. */
    void freeIfClosed()
    {
        if (!closed || sessionCalls > 0)
            return;
        session.reset();
        output.clear();
    }
    /** Counts the unfinished frame and the output that the peer does not take. */
    void updateAccount()
    {
        if (account == nullptr || closed)
            return;
        const bool hasOutput = output.size() >= MinCountedOutputBytes;
        // The library's buffer doubles as it grows.
        const std::size_t unfinished = 2 * std::max(unfinishedBytes, expandedBytes);
        if (unfinished == 0 && !hasOutput) {
            account->release(*this);
            return;
        }
        const SteadyTime now = EpollLoop::instance().now();
        if (!hasOutput)
            account->hold(*this, {.bytes = unfinished, .since = unfinishedSince}, now);
        else
            account->hold(*this,
                          {.bytes = unfinished + output.size(),
                           .progress = flushedBytes,
                           .since = outputSince},
                          now);
    }
    void frameReceived()
    {
        unfinishedBytes = 0;
        expandedBytes = 0;
        updateAccount();
    }
    void release()
    {
        if (account != nullptr)
            account->release(*this);
    }
};

/** Keeps the session of a channel alive during a call of it, whatever the call leads to. */
class SessionCall
{
    std::shared_ptr<Channel> m_channel;

public:
    explicit SessionCall(std::shared_ptr<Channel> channel) : m_channel(std::move(channel))
    {
        ++m_channel->sessionCalls;
    }
    ~SessionCall()
    {
        --m_channel->sessionCalls;
        m_channel->freeIfClosed();
    }
    SessionCall(const SessionCall &) = delete;
    SessionCall &operator=(const SessionCall &) = delete;

    WebsocketSession *operator->() const { return m_channel->session.get(); }
};

} // namespace

struct WebsocketLinkTransport::State : std::enable_shared_from_this<State>
{
    using ChannelPointer = std::shared_ptr<Channel>;

    LinkTransportOptions options;
    LinkObserver *observer = nullptr;
    TcpListener listener;
    std::unordered_map<LinkId, ChannelPointer> channels;
    std::uint64_t lastId = 0;

    ChannelPointer find(LinkId id)
    {
        const auto found = channels.find(id);
        return found == channels.end() ? nullptr : found->second;
    }

    /** Returns a channel that can carry frames, or nullptr. */
    ChannelPointer findOpen(LinkId id)
    {
        const ChannelPointer channel = find(id);
        return channel != nullptr && channel->open && !channel->closed ? channel : nullptr;
    }

    ChannelPointer addChannel(bool outgoing)
    {
        ChannelPointer channel = std::make_shared<Channel>();
        channel->id = static_cast<LinkId>(++lastId);
        channel->outgoing = outgoing;
        channel->account = options.account;
        channel->evicted = [this, weak = std::weak_ptr<Channel>(channel)] {
            scheduleClose(weak.lock());
        };
        channels.emplace(channel->id, channel);
        return channel;
    }

    WebsocketSession::Events sessionEvents(const ChannelPointer &channel)
    {
        const std::weak_ptr<Channel> weak = channel;
        WebsocketSession::Events events;
        events.opened = [this, weak] {
            const ChannelPointer opened = weak.lock();
            opened->open = true;
            opened->frameReceived();
            observer->linkOpened(opened->id, opened->outgoing);
        };
        events.frame = [this, weak](const std::string &frame) {
            const ChannelPointer source = weak.lock();
            source->frameReceived();
            if (!source->closed)
                observer->frameReceived(source->id, frame);
        };
        events.closed = [this, weak] {
            scheduleClose(weak.lock());
        };
        events.mayExpand = [weak](std::size_t bytes) {
            const ChannelPointer source = weak.lock();
            source->expandedBytes = bytes;
            source->updateAccount();
            return !source->closed;
        };
        events.write = [this, weak](const char *data, std::size_t size) {
            write(weak.lock(), data, size);
        };
        return events;
    }

    void write(const ChannelPointer &channel, const char *data, std::size_t size)
    {
        if (channel->closed)
            return;
        if (channel->output.empty()) {
            channel->flushedBytes = 0;
            channel->outputSince = EpollLoop::instance().now();
        }
        channel->output.append(data, size);
        if (channel->output.size() > options.maxQueuedBytes) {
            scheduleClose(channel);
            return;
        }
        if (channel->output.size() >= MinCountedOutputBytes)
            channel->updateAccount();
        if (channel->connected && !channel->waitingToWrite && !channel->flushScheduled)
            scheduleFlush(channel);
    }

    /** Flushes at the end of the loop iteration, so that its output to a peer takes one write. */
    void scheduleFlush(const ChannelPointer &channel)
    {
        channel->flushScheduled = true;
        const std::weak_ptr<Channel> weak = channel;
        EpollLoop::instance().defer([this, weak] {
            const ChannelPointer flushedChannel = weak.lock();
            if (flushedChannel == nullptr || flushedChannel->closed)
                return;
            flushedChannel->flushScheduled = false;
            flush(flushedChannel);
        });
    }

    void flush(const ChannelPointer &channel)
    {
        channel->waitingToWrite = false;
        const bool wasCounted = channel->output.size() >= MinCountedOutputBytes;
        while (!channel->output.empty()) {
            const std::string_view block = channel->output.front();
            std::size_t written = 0;
            const SocketResult outcome = channel->socket.write(block.data(), block.size(), written);
            if (outcome == SocketResult::WouldBlock) {
                channel->waitingToWrite = true;
                break;
            }
            if (outcome != SocketResult::Progress) {
                scheduleClose(channel);
                return;
            }
            channel->output.remove(written);
            channel->flushedBytes += written;
        }
        if (wasCounted)
            channel->updateAccount();
        if (channel->waitingToWrite)
            waitForSocket(channel);
    }

    void waitForSocket(const ChannelPointer &channel)
    {
        const std::weak_ptr<Channel> weak = channel;
        const auto ready = [this, weak] {
            const ChannelPointer readyChannel = weak.lock();
            if (readyChannel != nullptr && !readyChannel->closed)
                socketReady(readyChannel);
        };
        channel->socket.waitFor(channel->waitingToWrite, ready);
    }

    void socketReady(const ChannelPointer &channel)
    {
        if (!channel->connected) {
            finishConnect(channel);
            return;
        }
        if (channel->waitingToWrite) {
            flush(channel);
            if (channel->closed)
                return;
            if (!channel->waitingToWrite)
                waitForSocket(channel);
        }
        readInput(channel);
    }

    void finishConnect(const ChannelPointer &channel)
    {
        if (!channel->socket.finishConnect()) {
            scheduleClose(channel);
            return;
        }
        channel->connected = true;
        waitForSocket(channel);
        SessionCall(channel)->start();
    }

    /** Reads until the link's time is used up; what remains in the socket is reported again. */
    void readInput(const ChannelPointer &channel)
    {
        const SteadyTime end = EpollLoop::instance().now() + MaxReadTime;
        std::size_t size = FirstReadBytes;
        while (readSome(channel, size) && size < ReadBufferBytes
               && std::chrono::steady_clock::now() < end)
            size *= 2;
    }

    /** Reads up to size bytes. Returns whether there may be more to read. */
    bool readSome(const ChannelPointer &channel, std::size_t size)
    {
        std::array<char, ReadBufferBytes> buffer;
        std::size_t received = 0;
        const SocketResult outcome = channel->socket.read(buffer.data(), size, received);
        if (outcome == SocketResult::WouldBlock)
            return false;
        if (outcome != SocketResult::Progress) {
            scheduleClose(channel);
            return false;
        }
        if (channel->unfinishedBytes == 0)
            channel->unfinishedSince = EpollLoop::instance().now();
        channel->unfinishedBytes += received;
        SessionCall(channel)->processInput(buffer.data(), received);
        // A short frame is complete as soon as it is received, so few links are ever held.
        channel->updateAccount();
        return received == size && !channel->closed;
    }

    void acceptConnection(int descriptor)
    {
        if (channels.size() >= options.maxLinks) {
            // The destructor of the socket closes the connection.
            TcpSocket refused;
            refused.adopt(descriptor);
            return;
        }
        const ChannelPointer channel = addChannel(false);
        channel->socket.adopt(descriptor);
        channel->connected = true;
        channel->session = WebsocketSession::accept(sessionEvents(channel), options.maxFrameBytes);
        waitForSocket(channel);
        SessionCall(channel)->start();
        EpollLoop::instance().startOnce(
                options.handshakeTimeout, [weak = weak_from_this(), id = channel->id] {
                    const std::shared_ptr<State> state = weak.lock();
                    const ChannelPointer late = state == nullptr ? nullptr : state->find(id);
                    if (late != nullptr && !late->open)
                        state->scheduleClose(late);
                });
    }

    /** Stops using a channel; the loop later removes it and notifies the observer. */
    void scheduleClose(const ChannelPointer &channel)
    {
        if (channel == nullptr || channel->closed)
            return;
        channel->closed = true;
        channel->open = false;
        channel->release();
        channel->freeIfClosed();
        channel->socket.stopWaiting();
        const std::weak_ptr<State> weak = weak_from_this();
        EpollLoop::instance().startOnce(std::chrono::milliseconds(0), [weak, id = channel->id] {
            if (const std::shared_ptr<State> state = weak.lock())
                state->removeChannel(id);
        });
    }

    void removeChannel(LinkId id)
    {
        const ChannelPointer channel = find(id);
        if (channel == nullptr)
            return;
        channels.erase(id);
        observer->linkClosed(id);
    }

    absl::Status listen()
    {
        return listener.listen(options.listen,
                               [this](int descriptor) { acceptConnection(descriptor); });
    }
};

WebsocketLinkTransport::WebsocketLinkTransport(const LinkTransportOptions &options)
    : m_state(std::make_shared<State>())
{
    m_state->options = options;
}

WebsocketLinkTransport::~WebsocketLinkTransport()
{
    m_state->channels.clear();
}

absl::Status WebsocketLinkTransport::start(LinkObserver &observer)
{
    m_state->observer = &observer;
    return m_state->listen();
}

LinkId WebsocketLinkTransport::connect(const Endpoint &endpoint)
{
    const State::ChannelPointer channel = m_state->addChannel(true);
    channel->session = WebsocketSession::connect(m_state->sessionEvents(channel),
                                                 m_state->options.maxFrameBytes, endpoint.text());
    if (!channel->socket.connect(endpoint, m_state->options.listen.address)) {
        m_state->scheduleClose(channel);
        return channel->id;
    }
    // The socket becomes writable when the connection attempt has ended.
    channel->waitingToWrite = true;
    m_state->waitForSocket(channel);
    channel->waitingToWrite = false;
    return channel->id;
}

bool WebsocketLinkTransport::send(LinkId link, const std::string &frame)
{
    const State::ChannelPointer channel = m_state->findOpen(link);
    return channel != nullptr && SessionCall(channel)->send(frame) && !channel->closed;
}

bool WebsocketLinkTransport::sendUncompressed(LinkId link, const std::string &frame)
{
    const State::ChannelPointer channel = m_state->findOpen(link);
    return channel != nullptr && SessionCall(channel)->sendUncompressed(frame) && !channel->closed;
}

std::size_t WebsocketLinkTransport::queuedBytes(LinkId link) const
{
    const State::ChannelPointer channel = m_state->find(link);
    return channel == nullptr ? 0 : channel->output.size();
}

std::size_t WebsocketLinkTransport::unacknowledgedBytes(LinkId link) const
{
    const State::ChannelPointer channel = m_state->findOpen(link);
    return channel == nullptr ? 0 : channel->output.size() + channel->socket.unacknowledgedBytes();
}

void WebsocketLinkTransport::setCompression(LinkId link, bool compressed)
{
    if (const State::ChannelPointer channel = m_state->findOpen(link))
        channel->session->setCompression(compressed);
}

void WebsocketLinkTransport::close(LinkId link)
{
    m_state->scheduleClose(m_state->find(link));
}

} // namespace jacinthshift
