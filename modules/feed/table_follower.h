#ifndef MODULES_FEED_TABLE_FOLLOWER_H
#define MODULES_FEED_TABLE_FOLLOWER_H

#include <chrono>
#include <cstdint>
#include <string>

#include "modules/feed/operator_table.h"
#include "servers/keyed_log.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct TableFollowerOptions
{
    std::string table;
    /** How long the log holds a read without news. The client's keep-alive finds a dead one. */
    std::chrono::milliseconds longPoll{25'000};
    /** Between two reads, so that changes in quick succession cost one read. */
    std::chrono::milliseconds pause{120};
    /** After the first read of the whole table; by then a node knows whether others follow it. */
    std::chrono::milliseconds settleTime{500};
    std::chrono::milliseconds firstRetry{150};
    std::chrono::milliseconds longestRetry{1'000};
};

/** Keeps an operator table up to date from the log while it is told to. */
class TableFollower
{
    TableFollowerOptions m_options;
    KeyedLog &m_log;
    TimerService &m_timers;
    OperatorTable &m_table;
    Timer m_next;
    std::chrono::milliseconds m_retry;
    std::uint64_t m_round = 0; ///< Answers of an earlier round are only merged.
    bool m_hasRead = false;
    bool m_active = false;
    bool m_needsWhole = true;
    bool m_reachable = false;

    void read();
    void readWhole();
    void answered(std::uint64_t round, const absl::StatusOr<KeyedPage> &page, bool whole);
    void failed(const absl::Status &status);
    void noteReachable(bool reachable, const std::string &reason);
    void readAfter(std::chrono::milliseconds delay);

public:
    TableFollower(const TableFollowerOptions &options, KeyedLog &log, TimerService &timers,
                  OperatorTable &table);

    /** Starts or stops reading. A read under way is still merged. */
    void setActive(bool active);
    bool isActive() const { return m_active; }
    /** Returns whether a read was answered since the start. */
    bool hasRead() const { return m_hasRead; }
    /** Returns whether the last read was answered. */
    bool isReachable() const { return m_reachable; }
};

} // namespace jacinthshift

#endif // MODULES_FEED_TABLE_FOLLOWER_H
