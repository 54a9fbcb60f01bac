#include "core/log_output.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

namespace jacinthshift {

LogOutput::LogOutput(int descriptor) : m_descriptor(descriptor)
{
    struct stat fileStatus = {};
    // Only pipes and sockets become non-blocking: writes to files and terminals do not stall, and
    // the flag would stay set on a terminal after the process has ended.
    if (fstat(descriptor, &fileStatus) == 0
        && (S_ISFIFO(fileStatus.st_mode) || S_ISSOCK(fileStatus.st_mode)))
        fcntl(descriptor, F_SETFL, fcntl(descriptor, F_GETFL) | O_NONBLOCK);
}

void LogOutput::append(std::string_view line)
{
    if (m_buffer.size() + line.size() + 1 > MaxBufferedBytes) {
        ++m_droppedLines;
        return;
    }
    m_buffer.append(line).push_back('\n');
    if (m_buffer.size() >= FlushThresholdBytes)
        flush();
}

void LogOutput::flush()
{
    std::size_t written = 0;
    while (written < m_buffer.size()) {
        const ssize_t count =
                write(m_descriptor, m_buffer.data() + written, m_buffer.size() - written);
        if (count <= 0)
            break;
        written += static_cast<std::size_t>(count);
    }
    m_buffer.erase(0, written);
}

} // namespace jacinthshift
