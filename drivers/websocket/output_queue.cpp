#include "drivers/websocket/output_queue.h"

namespace jacinthshift {

namespace {

/** Short frames share a block up to this size, so that they are written together. */
constexpr std::size_t SharedBlockBytes = 64 * 1024;

} // namespace

void OutputQueue::append(const char *data, std::size_t size)
{
    if (size == 0)
        return;
    if (m_blocks.empty() || m_blocks.back().size() + size > SharedBlockBytes)
        m_blocks.emplace_back();
    m_blocks.back().append(data, size);
    m_size += size;
}

std::string_view OutputQueue::front() const
{
    if (m_blocks.empty())
        return {};
    return std::string_view(m_blocks.front()).substr(m_frontOffset);
}

void OutputQueue::remove(std::size_t size)
{
    m_frontOffset += size;
    m_size -= size;
    if (m_frontOffset < m_blocks.front().size())
        return;
    m_blocks.pop_front();
    m_frontOffset = 0;
}

void OutputQueue::clear()
{
    m_blocks.clear();
    m_frontOffset = 0;
    m_size = 0;
}

} // namespace jacinthshift
