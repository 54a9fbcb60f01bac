#ifndef MODULES_OWNER_RECENT_STARTS_H
#define MODULES_OWNER_RECENT_STARTS_H

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>

#include "servers/timer_service.h"

namespace jacinthshift {

/** The times at which requests were started on a backend server during the last second. */
class RecentStarts
{
    std::deque<SteadyTime> m_times;

public:
    static constexpr std::chrono::seconds Window{1};

    void record(SteadyTime now)
    {
        while (!m_times.empty() && now - m_times.front() >= Window)
            m_times.pop_front();
        m_times.push_back(now);
    }
    void clear() { m_times.clear(); }

    /** Returns the number of starts since a time, at most those within the window before `now`. */
    std::size_t countSince(SteadyTime since, SteadyTime now) const
    {
        const SteadyTime oldest = std::max(since, now - Window);
        return static_cast<std::size_t>(std::distance(
                std::upper_bound(m_times.begin(), m_times.end(), oldest), m_times.end()));
    }
    /** Returns the number of starts within the window before `now`. */
    std::size_t count(SteadyTime now) const { return countSince(now - Window, now); }
};

} // namespace jacinthshift

#endif // MODULES_OWNER_RECENT_STARTS_H
