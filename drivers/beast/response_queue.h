#ifndef DRIVERS_BEAST_RESPONSE_QUEUE_H
#define DRIVERS_BEAST_RESPONSE_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <vector>

#include "drivers/beast/http_wire.h"
#include "drivers/beast/response_budget.h"

namespace jacinthshift {

/**
 * The requests of one connection whose responses are not written, in the order of their arrival.
 * Holds responses that wait for an earlier one.
 */
class ResponseQueue
{
    struct Entry
    {
        SerializedMessage response; ///< Once isAnswered is set.
        std::function<void()> callerGone;
        std::size_t bodyBytes = 0;     ///< The size of the request's body.
        std::size_t reservedBytes = 0; ///< The entry's part of m_reservedBytes.
        bool isAnswered = false;
    };

    // Entries have consecutive numbers. A vector, as it allocates nothing once it has its size.
    std::vector<Entry> m_entries;
    std::uint64_t m_firstNumber = 1;
    std::size_t m_openRequests = 0;
    std::size_t m_reservedBytes = 0;
    std::shared_ptr<ResponseBudget> m_budget;

    Entry &entry(std::uint64_t number) { return m_entries[number - m_firstNumber]; }
    void reserve(Entry &entry, std::size_t bytes);

public:
    explicit ResponseQueue(std::shared_ptr<ResponseBudget> budget) : m_budget(std::move(budget)) {}
    ResponseQueue(const ResponseQueue &) = delete;
    ResponseQueue &operator=(const ResponseQueue &) = delete;
    ~ResponseQueue() { clear(); }

    bool empty() const { return m_entries.empty(); }
    std::size_t size() const { return m_entries.size(); }
    /** Returns the number of requests without a response. */
    std::size_t openRequests() const { return m_openRequests; }
    /** Returns the bytes of responses that wait, with the estimates for open requests. */
    std::size_t reservedBytes() const { return m_reservedBytes; }

    /** Appends a request and returns its number. The estimate of its response is reserved. */
    std::uint64_t add(std::size_t bodyBytes, std::size_t estimatedResponseBytes);
    /** Appends a response that has no request. */
    void addResponse(SerializedMessage response);

    /** Returns whether the request with this number has no response yet. */
    bool isOpen(std::uint64_t number) const;
    bool isFirst(std::uint64_t number) const { return number == m_firstNumber; }
    /** Sets the callback for the case that the caller of an open request disconnects. */
    void setCallerGone(std::uint64_t number, std::function<void()> callback);
    /** Ends an open request that is the first, and returns the size of its body. */
    std::size_t removeFirst();
    /** Stores the response to an open request, and returns the size of its body. */
    std::size_t hold(std::uint64_t number, SerializedMessage response);

    /** Returns the bytes of the responses that wait, without those of leases. */
    std::size_t bufferedHeadBytes() const;
    std::size_t bufferedLeaseBytes() const;
    /** Returns the bytes of the responses that wait. */
    std::size_t bufferedBytes() const;
    bool firstIsAnswered() const { return !m_entries.empty() && m_entries.front().isAnswered; }
    /** Removes the first request, which is answered, and returns its response. */
    SerializedMessage takeFirstResponse();

    /** Removes all entries. Returns the callbacks of the open requests. */
    std::vector<std::function<void()>> clear();
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_RESPONSE_QUEUE_H
