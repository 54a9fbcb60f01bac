#include "core/logger.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <memory>

#include <unistd.h>

#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/logger.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <nlohmann/json.hpp>

#include "core/duration.h"
#include "core/log_output.h"

namespace jacinthshift {

namespace {

namespace sinks = boost::log::sinks;

// Limits for each rate-limited event; warnings and errors may write more lines than other events.
constexpr int MaxLinesPerSecond = 20;
constexpr int MaxWarningsPerSecond = 100;

/** A sink backend that appends formatted lines to the non-blocking output. */
class LogOutputBackend final
    : public sinks::basic_formatted_sink_backend<char, sinks::synchronized_feeding>
{
    LogOutput &m_output;

public:
    explicit LogOutputBackend(LogOutput &output) : m_output(output) {}

    void consume(const boost::log::record_view &, const std::string &line)
    {
        m_output.append(line);
    }
};

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

void appendJsonText(std::string &line, std::string_view text)
{
    const bool plain = std::all_of(text.begin(), text.end(), [](char c) {
        return c >= ' ' && c < '\x7f' && c != '"' && c != '\\';
    });
    if (plain)
        line.append("\"").append(text).append("\"");
    else
        line += nlohmann::json(text).dump(-1, ' ', true, nlohmann::json::error_handler_t::replace);
}

void appendJsonField(std::string &line, std::string_view key, std::string_view text)
{
    line.append(",\"").append(key).append("\":");
    appendJsonText(line, text);
}

std::string jsonLine(const EventInfo &info, std::int64_t nowMilliseconds, std::int64_t suppressed,
                     std::initializer_list<LogField> fields)
{
    std::string line = "{\"at\":" + std::to_string(nowMilliseconds);
    appendJsonField(line, "level", levelName(info.level));
    line += ",\"event\":" + std::to_string(static_cast<int>(info.event));
    appendJsonField(line, "name", info.name);
    appendJsonField(line, "node", state().options.node);
    appendJsonField(line, "domain", state().options.failureDomain);
    if (suppressed > 0)
        line += ",\"suppressed\":" + std::to_string(suppressed);
    for (const LogField &field : fields) {
        if (field.isNumber)
            line.append(",\"").append(field.key).append("\":").append(field.value);
        else
            appendJsonField(line, field.key, field.value);
    }
    line.push_back('}');
    return line;
}

void appendQuoted(std::string &line, std::string_view value)
{
    const bool plain =
            !value.empty() && value.find_first_of(" \"=\n\r\t") == std::string_view::npos;
    if (plain) {
        line.append(value);
        return;
    }
    line.push_back('"');
    for (const char c : value) {
        const bool control = static_cast<unsigned char>(c) < 0x20;
        if (c == '"' || c == '\\')
            line.push_back('\\');
        line.push_back(control ? ' ' : c);
    }
    line.push_back('"');
}

std::string textLine(const EventInfo &info, std::int64_t nowMilliseconds, std::int64_t suppressed,
                     std::initializer_list<LogField> fields)
{
    std::string line = std::to_string(nowMilliseconds);
    line += " E" + std::to_string(static_cast<int>(info.event)) + " ";
    line += levelName(info.level);
    line += " node=" + state().options.node + " domain=" + state().options.failureDomain + " ";
    line += info.name;
    if (suppressed > 0)
        line += " suppressed=" + std::to_string(suppressed);
    for (const LogField &field : fields) {
        line.push_back(' ');
        line.append(field.key);
        line.push_back('=');
        appendQuoted(line, field.value);
    }
    return line;
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

static void addStandardOutputSink()
{
    using Sink = sinks::synchronous_sink<LogOutputBackend>;
    state().output = std::make_unique<LogOutput>(STDOUT_FILENO);
    boost::shared_ptr<Sink> sink =
            boost::make_shared<Sink>(boost::make_shared<LogOutputBackend>(*state().output));
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
        addStandardOutputSink();
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
    const bool json = state().options.format == LogFormat::JsonLines;
    BOOST_LOG(state().source) << (json ? jsonLine(info, nowMilliseconds, suppressed, fields)
                                       : textLine(info, nowMilliseconds, suppressed, fields));
}

} // namespace jacinthshift
