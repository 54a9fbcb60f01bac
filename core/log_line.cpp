#include "core/log_line.h"

#include <algorithm>

#include <nlohmann/json.hpp>

namespace jacinthshift {

namespace {

constexpr std::size_t TypicalLineBytes = 512;

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

std::string jsonLine(const LoggerOptions &options, const LogLineHead &head,
                     std::initializer_list<LogField> fields)
{
    const EventInfo &info = head.event;
    std::string line;
    line.reserve(TypicalLineBytes);
    line.append("{\"at\":").append(std::to_string(head.unixMilliseconds));
    appendJsonField(line, "level", levelName(info.level));
    line += ",\"event\":" + std::to_string(static_cast<int>(info.event));
    appendJsonField(line, "name", info.name);
    appendJsonField(line, "node", options.node);
    appendJsonField(line, "domain", options.failureDomain);
    if (head.suppressed > 0)
        line += ",\"suppressed\":" + std::to_string(head.suppressed);
    for (const LogField &field : fields) {
        if (field.isNumber())
            line.append(",\"").append(field.key()).append("\":").append(field.value());
        else
            appendJsonField(line, field.key(), field.value());
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

std::string textLine(const LoggerOptions &options, const LogLineHead &head,
                     std::initializer_list<LogField> fields)
{
    const EventInfo &info = head.event;
    std::string line = std::to_string(head.unixMilliseconds);
    line += " E" + std::to_string(static_cast<int>(info.event)) + " ";
    line += levelName(info.level);
    line += " node=" + options.node + " domain=" + options.failureDomain + " ";
    line += info.name;
    if (head.suppressed > 0)
        line += " suppressed=" + std::to_string(head.suppressed);
    for (const LogField &field : fields) {
        line.push_back(' ');
        line.append(field.key());
        line.push_back('=');
        appendQuoted(line, field.value());
    }
    return line;
}

} // namespace

std::string LogField::value() const
{
    if (!m_isNumber)
        return std::string(m_text);
    const std::string digits = std::to_string(m_magnitude);
    return m_isNegative ? "-" + digits : digits;
}

std::string formatLogLine(const LoggerOptions &options, const LogLineHead &head,
                          std::initializer_list<LogField> fields)
{
    return options.format == LogFormat::JsonLines ? jsonLine(options, head, fields)
                                                  : textLine(options, head, fields);
}

} // namespace jacinthshift
