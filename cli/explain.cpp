#include "cli/explain.h"

#include <algorithm>
#include <fstream>
#include <iostream>
#include <memory>

#include <nlohmann/json.hpp>

#include "core/text.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

bool isCommonField(const std::string &key)
{
    static const std::vector<std::string> commonFields = {
            "at", "level", "event", "name", "node", "domain", "suppressed", "request"};
    return std::find(commonFields.begin(), commonFields.end(), key) != commonFields.end();
}

RequestLogLine parseLine(const json &source)
{
    RequestLogLine line{.at = source.value("at", std::int64_t(0)),
                        .node = source.value("node", ""),
                        .name = source.value("name", "")};
    for (const auto &[key, value] : source.items()) {
        if (!isCommonField(key))
            line.fields += joinText(" ", key, "=", value.dump());
    }
    return line;
}

} // namespace

std::vector<RequestLogLine> collectRequestLog(const std::string &requestId,
                                              const std::vector<std::istream *> &logs,
                                              std::size_t &unparsable)
{
    std::vector<RequestLogLine> lines;
    for (std::istream *log : logs) {
        std::string text;
        while (std::getline(*log, text)) {
            const std::size_t begin = text.find('{');
            if (begin == std::string::npos || text.find(requestId) == std::string::npos)
                continue;
            const json source = json::parse(text.substr(begin), nullptr, false);
            const bool isRequestLine = source.is_object() && source.contains("request")
                                       && source["request"].is_string();
            if (!isRequestLine)
                ++unparsable;
            else if (source["request"].get<std::string>() == requestId)
                lines.push_back(parseLine(source));
        }
    }
    std::stable_sort(lines.begin(), lines.end(),
                     [](const RequestLogLine &a, const RequestLogLine &b) { return a.at < b.at; });
    return lines;
}

ExitCode runExplain(const std::vector<std::string> &arguments)
{
    if (arguments.size() < 2) {
        std::cerr << "explain needs a request ID and at least one log file\n";
        return ExitCode::Usage;
    }
    std::vector<std::unique_ptr<std::ifstream>> files;
    std::vector<std::istream *> logs;
    for (std::size_t i = 1; i < arguments.size(); ++i) {
        files.push_back(std::make_unique<std::ifstream>(arguments[i]));
        if (!*files.back()) {
            std::cerr << "cannot read " << arguments[i] << "\n";
            return ExitCode::BadInput;
        }
        logs.push_back(files.back().get());
    }
    std::size_t unparsable = 0;
    const std::vector<RequestLogLine> lines = collectRequestLog(arguments[0], logs, unparsable);
    for (const RequestLogLine &line : lines)
        std::cout << line.at << " " << line.node << " " << line.name << line.fields << "\n";
    if (unparsable > 0)
        std::cerr << unparsable << " lines with this ID could not be parsed\n";
    if (lines.empty()) {
        std::cerr << "no line about " << arguments[0]
                  << "; lines of served requests are rate-limited more tightly than those of "
                     "failed ones\n";
        return ExitCode::BadInput;
    }
    return ExitCode::Ok;
}

} // namespace jacinthshift
