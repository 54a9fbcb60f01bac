#include <catch2/catch.hpp>

#include <malloc.h>
#include <memory>
#include <vector>

#include "drivers/websocket/websocket_session.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxFrameBytes = 1024 * 1024;

/** Both ends of a connection; exchange() transfers the bytes between them. */
class SessionPair
{
    std::string m_toAccepting;
    std::string m_toConnecting;
    std::unique_ptr<WebsocketSession> m_accepting;
    std::unique_ptr<WebsocketSession> m_connecting;

    WebsocketSession::Events events(std::string &output)
    {
        WebsocketSession::Events events;
        events.opened = [this] {
            ++opened;
        };
        events.frame = [this](const std::string &frame) {
            received = frame;
        };
        events.mayExpand = [this](std::size_t bytes) {
            return bytes <= maxExpandedBytes;
        };
        events.closed = [] {
        };
        events.write = [&output](const char *data, std::size_t size) {
            output.append(data, size);
        };
        return events;
    }

public:
    int opened = 0;
    std::string received;
    std::size_t maxExpandedBytes = MaxFrameBytes;

    SessionPair()
        : m_accepting(WebsocketSession::accept(events(m_toConnecting), MaxFrameBytes))
        , m_connecting(
                  WebsocketSession::connect(events(m_toAccepting), MaxFrameBytes, "127.0.0.1:7000"))
    {
        m_accepting->start();
        m_connecting->start();
        exchange();
    }

    WebsocketSession &accepting() { return *m_accepting; }
    WebsocketSession &connecting() { return *m_connecting; }

    /** Transfers all pending bytes in both directions and returns their number. */
    std::size_t exchange()
    {
        std::size_t count = 0;
        while (!m_toAccepting.empty() || !m_toConnecting.empty()) {
            const std::string toAccepting = std::exchange(m_toAccepting, std::string());
            const std::string toConnecting = std::exchange(m_toConnecting, std::string());
            count += toAccepting.size() + toConnecting.size();
            if (!toAccepting.empty())
                m_accepting->processInput(toAccepting.data(), toAccepting.size());
            if (!toConnecting.empty())
                m_connecting->processInput(toConnecting.data(), toConnecting.size());
        }
        return count;
    }
};

/** Returns a pseudo-random frame, which does not compress by itself. */
std::string incompressibleFrame(std::size_t size)
{
    std::string frame;
    std::uint32_t state = 1;
    for (std::size_t i = 0; i < size; ++i) {
        state = state * 1'664'525U + 1'013'904'223U;
        frame.push_back(static_cast<char>(state >> 24U));
    }
    return frame;
}

} // namespace

TEST_CASE("content that a frame repeats from an earlier one is compressed in both directions")
{
    SessionPair pair;
    REQUIRE(pair.opened == 2);
    const std::string frame = incompressibleFrame(400);
    for (WebsocketSession *sender : {&pair.accepting(), &pair.connecting()}) {
        sender->setCompression(true);
        REQUIRE(sender->send(frame));
        CHECK(pair.exchange() > frame.size());
        CHECK(pair.received == frame);
        pair.received.clear();
        REQUIRE(sender->send(frame));
        CHECK(pair.exchange() < frame.size() / 8);
        CHECK(pair.received == frame);
    }
}

// Guards against a few bytes that expand to more than the memory of the VM.
TEST_CASE("a compressed frame that expands to more than is allowed ends the session")
{
    SessionPair pair;
    pair.connecting().setCompression(true);
    SECTION("than a frame may have")
    {
        REQUIRE(pair.connecting().send(std::string(MaxFrameBytes + 1, 'z')));
    }
    SECTION("than there is room for")
    {
        pair.maxExpandedBytes = 10'000;
        REQUIRE(pair.connecting().send(std::string(100'000, 'z')));
    }
    pair.exchange();
    CHECK(pair.received.empty());
    CHECK_FALSE(pair.accepting().send("more"));
}

TEST_CASE("one end of a link uses less than 100 KB of memory")
{
    // A node may have 256 MB of memory and, in a mesh of full size, about a thousand links, some of
    // them to other failure domains.
    constexpr std::size_t MaxBytes = 100'000;
    constexpr std::size_t PairCount = 20;
    const std::size_t before = mallinfo2().uordblks;
    std::vector<std::unique_ptr<SessionPair>> pairs;
    for (std::size_t i = 0; i < PairCount; ++i)
        pairs.push_back(std::make_unique<SessionPair>());
    const std::size_t bytesPerEnd = (mallinfo2().uordblks - before) / PairCount / 2;
    INFO(bytesPerEnd << " bytes");
    CHECK(bytesPerEnd < MaxBytes);
}

} // namespace jacinthshift
