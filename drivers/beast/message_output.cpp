#include "drivers/beast/message_output.h"

#include <utility>

namespace jacinthshift {

std::size_t MessageOutput::unleasedBytes() const
{
    return m_message.lease == nullptr ? m_message.size() : m_message.head.size();
}

std::size_t MessageOutput::leasedBytes() const
{
    return m_message.lease == nullptr ? 0 : m_message.lease->bytes();
}

void MessageOutput::append(SerializedMessage message)
{
    if (m_message.head.empty())
        m_message.head = std::move(message.head);
    else
        m_message.head.append(message.head);
    m_message.body = std::move(message.body);
    // A short body was copied, so its lease is not needed any more.
    if (!m_message.body.empty())
        m_message.lease = std::move(message.lease);
}

SocketResult MessageOutput::writeTo(TcpSocket &socket)
{
    while (m_written < size()) {
        const bool inHead = m_written < m_message.head.size();
        const std::string &part = inHead ? m_message.head : m_message.body.string();
        const std::size_t offset = inHead ? m_written : m_written - m_message.head.size();
        const SocketResult outcome =
                socket.write(part.data() + offset, part.size() - offset, m_written);
        if (outcome != SocketResult::Progress)
            return outcome;
    }
    return SocketResult::Progress;
}

void MessageOutput::clear()
{
    m_message = SerializedMessage();
    m_written = 0;
}

} // namespace jacinthshift
