#ifndef CORE_LOGGER_H
#define CORE_LOGGER_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/event.h"

namespace jacinthshift {

/** One named value of a log line. */
struct LogField
{
    std::string_view key;
    std::string value;
    bool isNumber = false;

    LogField(std::string_view fieldKey, std::string_view text) : key(fieldKey), value(text) {}
    LogField(std::string_view fieldKey, const char *text) : key(fieldKey), value(text) {}
    LogField(std::string_view fieldKey, std::integral auto number)
        : key(fieldKey), value(std::to_string(number)), isNumber(true)
    {
    }
};

enum class LogFormat { Text, JsonLines };

/** Where lines go. */
enum class LogTarget {
    StandardError,  ///< Written line by line.
    StandardOutput, ///< Collected; flushLog() writes them, and they are dropped rather than block.
};

/** How and for whom log lines are written. */
struct LoggerOptions
{
    EventLevel level = EventLevel::Info;
    LogFormat format = LogFormat::Text;
    LogTarget target = LogTarget::StandardError;
    std::string node;
    std::string failureDomain;
};

/** Sets up logging through Boost.Log. Call it once, at the start. */
void startLogging(const LoggerOptions &options);

/** Changes the lowest level that is written. */
void setLogLevel(EventLevel level);

/** Writes lines that were collected for the standard output. */
void flushLog();

/** What was not written, since the start. */
struct LogLosses
{
    std::uint64_t limited = 0; ///< Lines over an event's limit a second.
    std::uint64_t dropped = 0; ///< Lines for which the output had no room.
};

LogLosses logLosses();

/** Writes one line for an event, unless its level is too low or its rate limit is used up. */
void logEvent(Event event, std::initializer_list<LogField> fields);

} // namespace jacinthshift

#endif // CORE_LOGGER_H
