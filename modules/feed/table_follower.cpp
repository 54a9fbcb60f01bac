#include "modules/feed/table_follower.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"

namespace jacinthshift {

TableFollower::TableFollower(const TableFollowerOptions &options, KeyedLog &log,
                             TimerService &timers, OperatorTable &table)
    : m_options(options), m_log(log), m_timers(timers), m_table(table), m_retry(options.firstRetry)
{
}

void TableFollower::setActive(bool active)
{
    if (m_active == active)
        return;
    m_active = active;
    m_next.stop();
    ++m_round;
    if (!active)
        return;
    m_needsWhole = m_table.end() == 0;
    read();
}

void TableFollower::readAfter(std::chrono::milliseconds delay)
{
    m_next = Timer(m_timers, m_timers.startOnce(delay, [this] { read(); }));
}

void TableFollower::read()
{
    m_next.stop();
    if (m_needsWhole) {
        readWhole();
        return;
    }
    const KeyedReadRequest request{
            .table = m_options.table, .from = m_table.end(), .wait = m_options.longPoll};
    m_log.readFrom(request, [this, round = m_round](const absl::StatusOr<KeyedPage> &page) {
        answered(round, page, false);
    });
}

void TableFollower::readWhole()
{
    m_log.readNewest(m_options.table,
                     [this, round = m_round](const absl::StatusOr<KeyedPage> &page) {
                         answered(round, page, true);
                     });
}

void TableFollower::answered(std::uint64_t round, const absl::StatusOr<KeyedPage> &page, bool whole)
{
    if (page.ok()) {
        if (whole)
            m_table.replace(*page);
        else
            m_table.merge(*page);
    }
    if (round != m_round || !m_active)
        return;
    if (!page.ok()) {
        failed(page.status());
        return;
    }
    noteReachable(true, "");
    m_retry = m_options.firstRetry;
    m_needsWhole = false;
    const bool first = !std::exchange(m_hasRead, true);
    readAfter(first ? m_options.settleTime : m_options.pause);
}

void TableFollower::failed(const absl::Status &status)
{
    if (absl::IsOutOfRange(status)) {
        // The log no longer keeps what follows; the newest record of each key is still there.
        m_needsWhole = true;
        readAfter(std::chrono::milliseconds(0));
        return;
    }
    noteReachable(false, std::string(status.message()));
    readAfter(m_retry);
    m_retry = std::min(m_retry * 2, m_options.longestRetry);
}

void TableFollower::noteReachable(bool reachable, const std::string &reason)
{
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    if (reachable)
        logEvent(Event::LogRegained, {{"table", m_options.table}, {"end", m_table.end()}});
    else
        logEvent(Event::LogLost, {{"table", m_options.table}, {"reason", reason}});
}

} // namespace jacinthshift
