#ifndef CORE_LOG_OUTPUT_H
#define CORE_LOG_OUTPUT_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthshift {

/**
 * Collects log lines and writes them to a descriptor that may not block.
 *
 * A reader that does not read costs lines, which are counted, and never time.
 */
class LogOutput
{
    static constexpr std::size_t MaxBufferedBytes = 256 * 1024;
    static constexpr std::size_t FlushBytes = 16 * 1024;

    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;

public:
    explicit LogOutput(int descriptor);

    void append(std::string_view line);
    /** Writes what the descriptor takes. */
    void flush();
    /** Returns how many lines found no room. */
    std::uint64_t dropped() const { return m_dropped; }
};

} // namespace jacinthshift

#endif // CORE_LOG_OUTPUT_H
