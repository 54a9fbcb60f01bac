#ifndef CORE_LOGGER_H
#define CORE_LOGGER_H

#include <cstdint>
#include <initializer_list>

#include "core/event.h"
#include "core/log_line.h"

namespace jacinthshift {

/** Sets up logging; called once, at start-up. Standard error is written through Boost.Log. */
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
