#ifndef TESTS_SUPPORT_SLOW_READER_H
#define TESTS_SUPPORT_SLOW_READER_H

#include <chrono>
#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "drivers/tcp/tcp_socket.h"
#include "servers/http_message.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct SlowReaderOptions
{
    Endpoint server;
    std::size_t readBytes = 5'500; ///< Read in each period.
    std::chrono::milliseconds period{20};
};

/** A caller that reads responses slowly, over a connection with a small receive window. */
class SlowReader
{
public:
    struct Response
    {
        int status = 0;
        std::vector<HttpHeader> headers;
        std::string body;
    };

private:
    SlowReaderOptions m_options;
    TimerService &m_timers;
    TcpSocket m_socket;
    std::string m_input;
    bool m_ended = false;
    Timer m_readTimer;
    std::function<void()> m_received;

    void read();

public:
    SlowReader(const SlowReaderOptions &options, TimerService &timers);

    /** Sets what is called after each read, and when the connection has ended. */
    void setReceivedCallback(std::function<void()> received) { m_received = std::move(received); }
    void send(const std::string &bytes);
    /** Stops reading, and leaves the connection open. */
    void stopReading() { m_readTimer.stop(); }
    bool hasReceived() const { return !m_input.empty(); }
    /** Returns whether the connection has ended. */
    bool hasEnded() const { return m_ended; }
    /** Returns the responses that have been received completely, according to their lengths. */
    std::vector<Response> responses() const;
};

} // namespace jacinthshift

#endif // TESTS_SUPPORT_SLOW_READER_H
