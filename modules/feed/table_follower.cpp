#include "modules/feed/table_follower.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"

namespace jacinthshift {

TableFollower::TableFollower(const TableFollowerOptions &options, KeyedLog &log,
                             TimerService &timers, OperatorTable &table)
    : m_options(options)
    , m_log(log)
    , m_timers(timers)
    , m_table(table)
    , m_retryDelay(options.initialRetryDelay)
    , m_answerTimeout(options.answerTimeout)
    , m_answeredAt(timers.now())
{
}

void TableFollower::setActive(bool active)
{
    if (m_active == active)
        return;
    m_active = active;
    m_timer.stop();
    ++m_currentRead;
    if (!active)
        return;
    m_needsWholeTable = m_table.position() == TablePosition();
    read();
}

void TableFollower::setReadListener(const BootClock &clock, ReadListener listener)
{
    m_bootClock = &clock;
    m_readListener = std::move(listener);
}

std::chrono::milliseconds TableFollower::answerAge() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_timers.now() - m_answeredAt);
}

void TableFollower::readAfter(std::chrono::milliseconds delay)
{
    m_timer = Timer(m_timers, m_timers.startOnce(delay, [this] { read(); }));
}

void TableFollower::read()
{
    const std::uint64_t readNumber = ++m_currentRead;
    const bool isWholeTable = m_needsWholeTable;
    // The first read after a failure is answered at once, which shows whether the log is back.
    const bool waits = m_reachable && !isWholeTable;
    const std::chrono::milliseconds wait =
            waits ? m_options.longPollWait : std::chrono::milliseconds(0);
    m_timer = Timer(m_timers,
                    m_timers.startOnce(wait + m_answerTimeout, [this] { readUnanswered(); }));
    const BootTime sentAt = m_bootClock != nullptr ? m_bootClock->now() : BootTime();
    const auto callback = [this, readNumber, isWholeTable,
                           sentAt](const absl::StatusOr<KeyedPage> &page) {
        readFinished(readNumber, page, isWholeTable);
        if (page.ok())
            reportRead(*page, sentAt);
    };
    if (isWholeTable) {
        m_log.readNewest(m_options.table, callback);
        return;
    }
    m_log.readFrom({.table = m_options.table, .fromOffset = m_table.end(), .maxWait = wait},
                   callback);
}

void TableFollower::readUnanswered()
{
    ++m_currentRead;
    m_answerTimeout = std::min(m_answerTimeout * 2, m_options.maxAnswerTimeout);
    readFailed(absl::DeadlineExceededError("the log did not answer in time"));
}

void TableFollower::readFinished(std::uint64_t readNumber, const absl::StatusOr<KeyedPage> &page,
                                 bool isWholeTable)
{
    const bool hasTable = m_hasRead || m_table.position() != TablePosition();
    const bool isRestored = page.ok() && hasTable && page->era > m_table.position().era;
    if (page.ok() && isWholeTable) {
        if (isRestored)
            m_table.restore(*page);
        else
            m_table.replace(*page);
    } else if (page.ok() && !isRestored && page->era == m_table.position().era) {
        m_table.merge(*page);
    }
    if (readNumber != m_currentRead)
        return;
    if (!page.ok()) {
        readFailed(page.status());
        return;
    }
    setReachable(true, "");
    m_answeredAt = m_timers.now();
    m_retryDelay = m_options.initialRetryDelay;
    m_answerTimeout = m_options.answerTimeout;
    // Offsets of the era before mean nothing in a restored log.
    m_needsWholeTable = isRestored && !isWholeTable;
    if (m_needsWholeTable) {
        readAfter(std::chrono::milliseconds(0));
        return;
    }
    const bool isFirstRead = !std::exchange(m_hasRead, true);
    readAfter(isFirstRead ? m_options.firstReadPause : m_options.readPause);
}

void TableFollower::reportRead(const KeyedPage &page, BootTime sentAt)
{
    // A page that ends elsewhere was not merged, or is older than what was.
    if (m_readListener != nullptr && page.reachesEnd && page.end() == m_table.position())
        m_readListener(sentAt);
}

void TableFollower::readFailed(const absl::Status &status)
{
    if (absl::IsOutOfRange(status)) {
        // The log has dropped the records that follow. It still has the newest record of each key,
        // so read the whole table.
        m_needsWholeTable = true;
        readAfter(std::chrono::milliseconds(0));
        return;
    }
    setReachable(false, std::string(status.message()));
    readAfter(m_retryDelay);
    m_retryDelay = std::min(m_retryDelay * 2, m_options.maxRetryDelay);
}

void TableFollower::setReachable(bool reachable, const std::string &reason)
{
    if (m_reachable == reachable)
        return;
    m_reachable = reachable;
    if (reachable)
        logEvent(Event::LogRegained, {{"table", m_options.table},
                                      {"end", m_table.end()},
                                      {"unanswered_ms", answerAge().count()}});
    else
        logEvent(Event::LogLost, {{"table", m_options.table},
                                  {"reason", reason},
                                  {"unanswered_ms", answerAge().count()}});
}

} // namespace jacinthshift
