#ifndef TESTS_HOSTILE_LONE_REQUEST_H
#define TESTS_HOSTILE_LONE_REQUEST_H

#include <cstddef>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

/** A request within the limits that is sent while nothing else is. */
struct LoneRequestCase
{
    std::string name; ///< The CTest test is called "hostile_" and this.
    std::size_t backendNode = 0;
    std::size_t bodyBytes = 0;
    bool isChunked = false;
    std::size_t headLines = 0; ///< Header lines of four bytes.
    std::size_t responseBytes = 0;
};

/** Returns all cases of lone requests. */
std::vector<LoneRequestCase> loneRequestCases();

/** Sends one request on a new connection and reads its response. */
class LoneRequest
{
    TcpSocket m_socket;
    std::string m_output;
    std::size_t m_written = 0;
    std::string m_input;
    bool m_ended = false;

    void socketReady();
    void write();
    void read();

public:
    LoneRequest(const Endpoint &server, std::string bytes);

    bool isDone() const { return m_ended || isComplete(); }
    /** Returns whether the whole response has been received, according to its length. */
    bool isComplete() const;
    /** Returns the status line, for the report of a failure. */
    std::string statusLine() const;
    std::string body() const;
};

} // namespace jacinthshift

#endif // TESTS_HOSTILE_LONE_REQUEST_H
