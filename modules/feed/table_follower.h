#ifndef MODULES_FEED_TABLE_FOLLOWER_H
#define MODULES_FEED_TABLE_FOLLOWER_H

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "modules/feed/operator_table.h"
#include "servers/boot_clock.h"
#include "servers/keyed_log.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct TableFollowerOptions
{
    std::string table; ///< Name of the table in the log.
    /**
     * How long the log holds a read open without new records (long poll). A connection that went
     * silent is noticed after this time and answerTimeout, so it is much shorter than the time
     * within which a change has to be in force.
     */
    std::chrono::milliseconds longPollWait{1'000};
    /**
     * How long an answer may take, in addition to longPollWait, before the log is read again on
     * another connection. Doubles with each unanswered read, as the log may be slow.
     */
    std::chrono::milliseconds answerTimeout{800};
    std::chrono::milliseconds maxAnswerTimeout{1'500};
    /** Delay between two reads, so that changes in quick succession cost one read. */
    std::chrono::milliseconds readPause{120};
    /** Delay after the first read. By then a node knows whether other nodes read the table. */
    std::chrono::milliseconds firstReadPause{500};
    std::chrono::milliseconds initialRetryDelay{150};
    std::chrono::milliseconds maxRetryDelay{500};
};

/**
 * Keeps an operator table up to date from the log while it is active. No read is waited for longer
 * than a bounded time, since a connection may stay open and carry nothing more.
 */
class TableFollower
{
public:
    /** Called with the time at which a read was sent, once the table contains its whole result. */
    using ReadListener = std::function<void(BootTime sentAt)>;

private:
    TableFollowerOptions m_options;
    KeyedLog &m_log;
    TimerService &m_timers;
    OperatorTable &m_table;
    Timer m_timer; ///< Until the next read, or until the current one counts as unanswered.
    std::chrono::milliseconds m_retryDelay;    ///< Doubles with each failed read.
    std::chrono::milliseconds m_answerTimeout; ///< Doubles with each unanswered read.
    /** Number of the current read. The result of an earlier one is only merged. */
    std::uint64_t m_currentRead = 0;
    bool m_hasRead = false;
    bool m_active = false;
    bool m_needsWholeTable = true;
    bool m_reachable = false; ///< Whether the log answered the last read.
    const BootClock *m_bootClock = nullptr;
    ReadListener m_readListener;
    SteadyTime m_answeredAt; ///< When the log last answered a read; initially the construction.

    void read();
    void readFinished(std::uint64_t readNumber, const absl::StatusOr<KeyedPage> &page,
                      bool isWholeTable);
    void reportRead(const KeyedPage &page, BootTime sentAt);
    void readUnanswered();
    void readFailed(const absl::Status &status);
    void setReachable(bool reachable, const std::string &reason);
    void readAfter(std::chrono::milliseconds delay);

public:
    TableFollower(const TableFollowerOptions &options, KeyedLog &log, TimerService &timers,
                  OperatorTable &table);

    /** Sets a listener for answered reads; the clock is not owned. */
    void setReadListener(const BootClock &clock, ReadListener listener);
    /** Starts or stops reading. The result of a read in progress is still merged. */
    void setActive(bool active);
    bool isActive() const { return m_active; }
    /** Returns whether any read has succeeded. */
    bool hasRead() const { return m_hasRead; }
    /** Returns whether the log answered the last read. */
    bool isReachable() const { return m_reachable; }
    /** Returns the time since the log last answered a read. */
    std::chrono::milliseconds answerAge() const;
};

} // namespace jacinthshift

#endif // MODULES_FEED_TABLE_FOLLOWER_H
