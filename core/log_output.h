#ifndef CORE_LOG_OUTPUT_H
#define CORE_LOG_OUTPUT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthshift {

/**
 * Buffers log lines and writes them to a file descriptor without blocking.
 *
 * If the reader is too slow and the buffer fills up, new lines are dropped and counted.
 */
class LogOutput
{
    static constexpr std::size_t MaxBufferedBytes = 256 * 1024;
    static constexpr std::size_t FlushThresholdBytes = 16 * 1024;

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_droppedLines = 0;

public:
    explicit LogOutput(int descriptor);

    /** Buffers a line, or drops it if the buffer is full. */
    void append(std::string_view line);
    /** Writes as much of the buffer as the descriptor accepts. */
    void flush();
    /** Returns how many lines were dropped because the buffer was full. */
    std::uint64_t droppedLines() const { return m_droppedLines; }
};

} // namespace jacinthshift

#endif // CORE_LOG_OUTPUT_H
