#include "drivers/beast/response_queue.h"

#include <utility>

namespace jacinthshift {

void ResponseQueue::reserve(Entry &entry, std::size_t bytes)
{
    m_reservedBytes += bytes - entry.reservedBytes;
    m_budget->reservedBytes += bytes - entry.reservedBytes;
    entry.reservedBytes = bytes;
}

std::uint64_t ResponseQueue::add(std::size_t bodyBytes, std::size_t estimatedResponseBytes)
{
    Entry &added = m_entries.emplace_back();
    added.bodyBytes = bodyBytes;
    reserve(added, estimatedResponseBytes);
    ++m_openRequests;
    return m_firstNumber + m_entries.size() - 1;
}

void ResponseQueue::addResponse(SerializedMessage response)
{
    const std::uint64_t number = add(0, 0);
    hold(number, std::move(response));
}

bool ResponseQueue::isOpen(std::uint64_t number) const
{
    return number >= m_firstNumber && number - m_firstNumber < m_entries.size()
           && !m_entries[number - m_firstNumber].isAnswered;
}

void ResponseQueue::setCallerGone(std::uint64_t number, std::function<void()> callback)
{
    entry(number).callerGone = std::move(callback);
}

std::size_t ResponseQueue::removeFirst()
{
    Entry &first = m_entries.front();
    const std::size_t bodyBytes = first.bodyBytes;
    reserve(first, 0);
    --m_openRequests;
    m_entries.erase(m_entries.begin());
    ++m_firstNumber;
    return bodyBytes;
}

std::size_t ResponseQueue::hold(std::uint64_t number, SerializedMessage response)
{
    Entry &held = entry(number);
    held.response = std::move(response);
    held.callerGone = nullptr;
    held.isAnswered = true;
    reserve(held, held.response.size());
    m_budget->bufferedBytes += held.response.size();
    --m_openRequests;
    return std::exchange(held.bodyBytes, 0);
}

SerializedMessage ResponseQueue::takeFirstResponse()
{
    Entry &first = m_entries.front();
    SerializedMessage response = std::move(first.response);
    m_budget->bufferedBytes -= first.reservedBytes;
    reserve(first, 0);
    m_entries.erase(m_entries.begin());
    ++m_firstNumber;
    return response;
}

std::size_t ResponseQueue::bufferedHeadBytes() const
{
    std::size_t bytes = 0;
    for (const Entry &known : m_entries)
        bytes += known.response.lease == nullptr ? known.response.size()
                                                 : known.response.head.size();
    return bytes;
}

std::size_t ResponseQueue::bufferedLeaseBytes() const
{
    std::size_t bytes = 0;
    for (const Entry &known : m_entries)
        bytes += known.response.lease == nullptr ? 0 : known.response.lease->bytes();
    return bytes;
}

std::size_t ResponseQueue::bufferedBytes() const
{
    std::size_t bytes = 0;
    for (const Entry &known : m_entries)
        bytes += known.response.size();
    return bytes;
}

std::vector<std::function<void()>> ResponseQueue::clear()
{
    std::vector<std::function<void()>> callbacks;
    for (Entry &removed : m_entries) {
        if (removed.isAnswered)
            m_budget->bufferedBytes -= removed.reservedBytes;
        else if (removed.callerGone != nullptr)
            callbacks.push_back(std::move(removed.callerGone));
        reserve(removed, 0);
    }
    m_firstNumber += m_entries.size();
    m_entries.clear();
    m_openRequests = 0;
    return callbacks;
}

} // namespace jacinthshift
