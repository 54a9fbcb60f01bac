#ifndef CORE_LOGGER_H
#define CORE_LOGGER_H

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "core/event.h"

namespace jacinthshift {

/** A key and its value in a log line. */
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

/** Sets up logging through Boost.Log; called once, at start-up. */
void startLogging(const LoggerOptions &options);

/** Sets the lowest level that is written. */
void setLogLevel(EventLevel level);

/** Writes the lines that are buffered for standard output. */
void flushLog();

/** How many log lines were not written since the start of the process. */
struct LogLosses
{
    std::uint64_t rateLimited = 0; ///< Lines over the rate limit of their event.
    std::uint64_t dropped = 0;     ///< Lines that did not fit into the output buffer.
};

LogLosses logLosses();

/** Writes a line for an event, unless its level is too low or its rate limit is reached. */
void logEvent(Event event, std::initializer_list<LogField> fields);

} // namespace jacinthshift

#endif // CORE_LOGGER_H
