#include "core/logger.h"

#include <chrono>
#include <iostream>
#include <map>
#include <memory>

#include <unistd.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>

#include "core/duration.h"
#include "core/log_line.h"
#include "core/log_output.h"

namespace jacinthshift {

namespace {

namespace sinks = boost::log::sinks;

// Limits for each rate-limited event; warnings and errors may write more lines than other events.
constexpr int MaxLinesPerSecond = 20;
constexpr int MaxWarningsPerSecond = 100;

/** Counts the lines of one rate-limited event in the current second. */
struct RateWindow
{
    std::int64_t second = 0;
    int written = 0;
    std::int64_t suppressed = 0;
};

struct LoggerState
{
    LoggerOptions options;
    bool started = false;
    std::map<Event, RateWindow> rateWindows;
    std::uint64_t rateLimitedLines = 0;
    std::unique_ptr<LogOutput> output;
    boost::log::sources::logger source;
};

LoggerState &state()
{
    static LoggerState theState;
    return theState;
}

/**
 * Returns whether the event's rate limit allows another line. If so, sets `suppressed` to the
 * number of lines that were suppressed since the last one written.
 */
bool passesRateLimit(const EventInfo &info, std::int64_t nowMilliseconds, std::int64_t &suppressed)
{
    const Event event = info.event;
    const int limit = info.level >= EventLevel::Warning ? MaxWarningsPerSecond : MaxLinesPerSecond;
    RateWindow &window = state().rateWindows[event];
    const std::int64_t second = nowMilliseconds / 1000;
    if (window.second != second) {
        window.second = second;
        window.written = 0;
    }
    if (window.written >= limit) {
        ++window.suppressed;
        ++state().rateLimitedLines;
        return false;
    }
    ++window.written;
    suppressed = window.suppressed;
    window.suppressed = 0;
    return true;
}

} // namespace

static void addStandardErrorSink()
{
    using Sink = sinks::synchronous_sink<sinks::text_ostream_backend>;
    boost::shared_ptr<Sink> sink = boost::make_shared<Sink>();
    const boost::shared_ptr<std::ostream> stream(&std::clog, boost::null_deleter());
    sink->locked_backend()->add_stream(stream);
    sink->locked_backend()->auto_flush(true);
    sink->set_formatter(boost::log::expressions::stream << boost::log::expressions::smessage);
    boost::log::core::get()->add_sink(sink);
}

void startLogging(const LoggerOptions &options)
{
    state().options = options;
    if (state().started)
        return;
    state().started = true;
    if (options.target == LogTarget::StandardOutput)
        state().output = std::make_unique<LogOutput>(STDOUT_FILENO);
    else
        addStandardErrorSink();
}

void setLogLevel(EventLevel level)
{
    state().options.level = level;
}

void flushLog()
{
    if (state().output != nullptr)
        state().output->flush();
}

LogLosses logLosses()
{
    return LogLosses{.rateLimited = state().rateLimitedLines,
                     .dropped = state().output == nullptr ? 0 : state().output->droppedLines()};
}

void logEvent(Event event, std::initializer_list<LogField> fields)
{
    const EventInfo &info = eventInfo(event);
    if (!state().started || info.level < state().options.level)
        return;
    const std::int64_t nowMilliseconds = unixMilliseconds(std::chrono::system_clock::now());
    std::int64_t suppressed = 0;
    if (info.isRateLimited && !passesRateLimit(info, nowMilliseconds, suppressed))
        return;
    const std::string line = formatLogLine(state().options,
                                           LogLineHead{.event = info,
                                                       .unixMilliseconds = nowMilliseconds,
                                                       .suppressed = suppressed},
                                           fields);
    // Boost.Log takes several times as long as the formatting, which matters with two lines for
    // each request.
    if (state().output != nullptr)
        state().output->append(line);
    else
        BOOST_LOG(state().source) << line;
}

} // namespace jacinthshift
