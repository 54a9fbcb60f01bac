#ifndef DRIVERS_WEBSOCKET_OUTPUT_QUEUE_H
#define DRIVERS_WEBSOCKET_OUTPUT_QUEUE_H

#include <cstddef>
#include <deque>
#include <string>
#include <string_view>

namespace jacinthshift {

/** Bytes to be written to a connection, in blocks, so that appending never copies what waits. */
class OutputQueue
{
    std::deque<std::string> m_blocks; ///< None is empty.
    std::size_t m_frontOffset = 0;    ///< The part of the first block that was removed.
    std::size_t m_size = 0;

public:
    bool empty() const { return m_size == 0; }
    std::size_t size() const { return m_size; }

    void append(const char *data, std::size_t size);
    /** Returns the first bytes, as many as lie in one piece. */
    std::string_view front() const;
    /** Removes bytes that front() has returned. */
    void remove(std::size_t size);
    void clear();
};

} // namespace jacinthshift

#endif // DRIVERS_WEBSOCKET_OUTPUT_QUEUE_H
