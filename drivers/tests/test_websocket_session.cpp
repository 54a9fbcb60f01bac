#include <catch2/catch.hpp>

#include <malloc.h>
#include <memory>
#include <vector>

#include "drivers/websocket/websocket_session.h"

namespace jacinthshift {

namespace {

constexpr std::size_t MaxFrameBytes = 1024 * 1024;

/** Two ends of a session; bytes go over when exchange() is called. */
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

    /** Carries all bytes over and returns how many there were. */
    std::size_t exchange()
    {
        std::size_t count = 0;
        while (!m_toAccepting.empty() || !m_toConnecting.empty()) {
            const std::string up = std::exchange(m_toAccepting, std::string());
            const std::string down = std::exchange(m_toConnecting, std::string());
            count += up.size() + down.size();
            if (!up.empty())
                m_accepting->received(up.data(), up.size());
            if (!down.empty())
                m_connecting->received(down.data(), down.size());
        }
        return count;
    }
};

/** Returns a frame without repetitions in itself. */
std::string distinctFrame(std::size_t size)
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

TEST_CASE("what a frame repeats of earlier ones is not sent again, in both directions")
{
    SessionPair pair;
    REQUIRE(pair.opened == 2);
    const std::string frame = distinctFrame(400);
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

TEST_CASE("the state of one end of a link stays below 100 KB")
{
    // A node may have 256 MB and at full size about a thousand links, of which a part is far.
    constexpr std::size_t MostBytes = 100'000;
    constexpr std::size_t Pairs = 20;
    const std::size_t before = mallinfo2().uordblks;
    std::vector<std::unique_ptr<SessionPair>> pairs;
    for (std::size_t i = 0; i < Pairs; ++i)
        pairs.push_back(std::make_unique<SessionPair>());
    const std::size_t each = (mallinfo2().uordblks - before) / Pairs / 2;
    INFO(each << " bytes");
    CHECK(each < MostBytes);
}

} // namespace jacinthshift
