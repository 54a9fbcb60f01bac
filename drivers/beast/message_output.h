#ifndef DRIVERS_BEAST_MESSAGE_OUTPUT_H
#define DRIVERS_BEAST_MESSAGE_OUTPUT_H

#include <cstddef>

#include "drivers/beast/http_wire.h"
#include "drivers/tcp/tcp_socket.h"

namespace jacinthshift {

/** Messages that are being written to a socket. A long body ends them; it is not copied. */
class MessageOutput
{
    SerializedMessage m_message;
    std::size_t m_written = 0;

public:
    bool empty() const { return m_message.size() == 0; }
    std::size_t size() const { return m_message.size(); }
    std::size_t written() const { return m_written; }
    bool isWritten() const { return m_written == size(); }
    /** Returns whether a further message can be appended. */
    bool acceptsMore() const { return m_message.body.empty() && m_written == 0; }
    /** Returns the bytes that no lease counts. */
    std::size_t unleasedBytes() const;
    std::size_t leasedBytes() const;

    void append(SerializedMessage message);
    /** Writes as much as the socket takes: Progress if that is all of it. */
    SocketResult writeTo(TcpSocket &socket);
    void clear();
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_MESSAGE_OUTPUT_H
