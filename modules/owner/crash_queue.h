#ifndef MODULES_OWNER_CRASH_QUEUE_H
#define MODULES_OWNER_CRASH_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace jacinthshift {

/** Crashes that wait to be told to other nodes, each once, in the order in which they were added.
 */
class CrashQueue
{
public:
    /** The request's fingerprint and the crashed lifetime of a backend server. */
    using Key = std::pair<std::uint64_t, std::string>;

private:
    std::size_t m_maxSize;
    std::deque<Key> m_order;
    std::set<Key> m_keys;

public:
    explicit CrashQueue(std::size_t maxSize) : m_maxSize(maxSize) {}

    /** Returns false if the queue is full. */
    bool add(const Key &key)
    {
        if (m_keys.contains(key))
            return true;
        if (m_keys.size() >= m_maxSize)
            return false;
        m_keys.insert(key);
        m_order.push_back(key);
        return true;
    }
    /** Removes and returns the first key. The queue must not be empty. */
    Key take()
    {
        Key first = std::move(m_order.front());
        m_order.pop_front();
        m_keys.erase(first);
        return first;
    }
    void clear()
    {
        m_order.clear();
        m_keys.clear();
    }
    bool isEmpty() const { return m_order.empty(); }
    std::size_t size() const { return m_order.size(); }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_CRASH_QUEUE_H
