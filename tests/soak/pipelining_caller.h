#ifndef TESTS_SOAK_PIPELINING_CALLER_H
#define TESTS_SOAK_PIPELINING_CALLER_H

#include <deque>
#include <functional>
#include <optional>
#include <string>

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "drivers/tcp/tcp_socket.h"
#include "tests/soak/observation_log.h"

namespace jacinthshift {

/** A request that was recorded in the observation log. */
struct PipelinedRequest
{
    std::size_t index = 0; ///< In the observation log.
    std::string bytes;
};

struct PipeliningCallerOptions
{
    Endpoint server;
    std::size_t depth = 8; ///< Requests without a response at any time.
    std::function<PipelinedRequest()> nextRequest;
};

/**
 * A caller of the soak that keeps its connection and sends a new request for each response, without
 * regard to what the response says. It connects again when the connection has ended.
 */
class PipeliningCaller
{
    using ResponseParser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    PipeliningCallerOptions m_options;
    TimerService &m_timers;
    ObservationLog &m_observations;
    TcpSocket m_socket;
    bool m_connected = false;
    std::string m_output;           ///< Not yet written.
    std::string m_input;            ///< Not yet parsed.
    std::deque<std::size_t> m_open; ///< Requests without a response, the oldest first.
    std::optional<ResponseParser> m_parser;
    Timer m_timer;

    void exchange();
    /** Reads what there is. Returns false if the connection has ended. */
    bool read();
    /** Records the complete responses. Returns false if the input is not valid. */
    bool parse();
    bool write();
    void disconnect();

public:
    PipeliningCaller(PipeliningCallerOptions options, TimerService &timers,
                     ObservationLog &observations);
    ~PipeliningCaller() { disconnect(); }
    PipeliningCaller(const PipeliningCaller &) = delete;
    PipeliningCaller &operator=(const PipeliningCaller &) = delete;
};

} // namespace jacinthshift

#endif // TESTS_SOAK_PIPELINING_CALLER_H
