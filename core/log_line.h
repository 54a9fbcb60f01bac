#ifndef CORE_LOG_LINE_H
#define CORE_LOG_LINE_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/event.h"

namespace jacinthshift {

/**
 * A key and its value in a log line. It refers to the text, which must outlive it, and formats the
 * number only if the line is written: most lines of a busy node are dropped by the rate limit.
 */
class LogField
{
    std::string_view m_key;
    std::string_view m_text;
    std::uint64_t m_magnitude = 0;
    bool m_isNumber = false;
    bool m_isNegative = false;

public:
    LogField(std::string_view key, std::string_view text) : m_key(key), m_text(text) {}
    LogField(std::string_view key, const std::string &text) : m_key(key), m_text(text) {}
    LogField(std::string_view key, const char *text) : m_key(key), m_text(text) {}
    LogField(std::string_view key, std::unsigned_integral auto number)
        : m_key(key), m_magnitude(number), m_isNumber(true)
    {
    }
    LogField(std::string_view key, std::signed_integral auto number)
        : m_key(key)
        , m_magnitude(number < 0 ? 0 - static_cast<std::uint64_t>(number)
                                 : static_cast<std::uint64_t>(number))
        , m_isNumber(true)
        , m_isNegative(number < 0)
    {
    }

    std::string_view key() const { return m_key; }
    bool isNumber() const { return m_isNumber; }
    /** Returns the text, or the number in decimal. */
    std::string value() const;
};

enum class LogFormat { Text, JsonLines };

/** Where log lines are written. */
enum class LogTarget {
    StandardError,  ///< Flushed after each line.
    StandardOutput, ///< Buffered, see flushLog(); lines are dropped if the output would block.
};

/** Which log lines are written, how, where, and for which node. */
struct LoggerOptions
{
    EventLevel level = EventLevel::Info;
    LogFormat format = LogFormat::Text;
    LogTarget target = LogTarget::StandardError;
    std::string node;
    std::string failureDomain;
};

/** What each log line begins with, besides the node. */
struct LogLineHead
{
    const EventInfo &event;
    std::int64_t unixMilliseconds = 0;
    std::int64_t suppressed = 0; ///< Lines of the event that the rate limit dropped before.
};

/** Returns a log line, without the line end. */
std::string formatLogLine(const LoggerOptions &options, const LogLineHead &head,
                          std::initializer_list<LogField> fields);

} // namespace jacinthshift

#endif // CORE_LOG_LINE_H
