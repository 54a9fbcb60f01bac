#include "modules/yaml/yaml_section.h"

#include <algorithm>
#include <cmath>

#include "core/duration.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

int lineOf(const YAML::Node &node)
{
    return node.IsDefined() ? node.Mark().line + 1 : 0;
}

std::string commaSeparated(const std::vector<std::string> &words)
{
    std::string list;
    for (const std::string &word : words)
        list += (list.empty() ? "" : ", ") + word;
    return list;
}

} // namespace

std::string Problem::text() const
{
    return joinText(file, ":", line, ": ", message);
}

YamlSection::YamlSection(const YAML::Node &node, std::string file, std::string name,
                         Problems &problems)
    : m_node(node), m_file(std::move(file)), m_name(std::move(name)), m_problems(&problems)
{
    if (m_node.IsDefined() && !m_node.IsMap())
        addProblem("", joinText(m_name, " must be a mapping of keys to values"));
    else
        reportDuplicateKeys();
}

void YamlSection::reportDuplicateKeys()
{
    std::set<std::string> seen;
    if (!m_node.IsDefined())
        return;
    for (const auto &pair : m_node) {
        const std::string key = pair.first.Scalar();
        if (!seen.insert(key).second)
            m_problems->push_back(Problem{.file = m_file,
                                          .line = lineOf(pair.first),
                                          .message = joinText(key, " is given twice in ", m_name,
                                                              "; keep one of the two")});
    }
}

void YamlSection::addProblem(const std::string &key, const std::string &message)
{
    const bool present = !key.empty() && m_node.IsDefined() && m_node.IsMap() && m_node[key];
    const int line = present ? lineOf(m_node[key]) : lineOf(m_node);
    m_problems->push_back(Problem{.file = m_file, .line = line, .message = message});
}

YAML::Node YamlSection::find(const std::string &key)
{
    m_requestedKeys.insert(key);
    if (!m_node.IsDefined() || !m_node.IsMap())
        return YAML::Node(YAML::NodeType::Undefined);
    const YAML::Node node = m_node[key];
    // A template renders an empty value where the deployment lacks the field.
    return node.IsDefined() && node.IsNull() ? YAML::Node(YAML::NodeType::Undefined) : node;
}

YAML::Node YamlSection::require(const std::string &key)
{
    YAML::Node node = find(key);
    if (!node.IsDefined())
        addProblem("", joinText(m_name, " lacks the key ", key, "; add it"));
    return node;
}

std::string YamlSection::scalar(const YAML::Node &node, const std::string &key)
{
    if (node.IsScalar())
        return node.Scalar();
    addProblem(key, joinText(key, " must be a single value"));
    return {};
}

std::string YamlSection::text(const std::string &key)
{
    const YAML::Node node = require(key);
    if (!node.IsDefined())
        return {};
    std::string value = scalar(node, key);
    if (value.empty())
        addProblem(key, joinText(key, " must not be empty"));
    return value;
}

std::string YamlSection::text(const std::string &key, const std::string &fallback)
{
    const YAML::Node node = find(key);
    return node.IsDefined() ? scalar(node, key) : fallback;
}

bool YamlSection::flag(const std::string &key, bool fallback)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return fallback;
    const std::string value = scalar(node, key);
    // YAML also allows a capital letter, which some template engines write.
    const bool isTrue = equalsIgnoreCase(value, "true");
    if (!isTrue && !equalsIgnoreCase(value, "false"))
        addProblem(key, joinText(key, " must be true or false, not '", value, "'"));
    return isTrue;
}

std::uint32_t YamlSection::number(const std::string &key, std::uint32_t fallback)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return fallback;
    std::uint32_t value = fallback;
    if (!parseNumber(scalar(node, key), value))
        addProblem(key, joinText(key, " must be a whole number"));
    return value;
}

double YamlSection::nonNegativeNumber(const std::string &key, double fallback)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return fallback;
    double value = fallback;
    if (!node.IsScalar() || !YAML::convert<double>::decode(node, value) || value < 0.0)
        addProblem(key, joinText(key, " must be a number of at least 0"));
    return value;
}

std::chrono::milliseconds YamlSection::seconds(const std::string &key,
                                               std::chrono::milliseconds fallback)
{
    const double valueSeconds =
            nonNegativeNumber(key, static_cast<double>(fallback.count()) / 1'000.0);
    return std::chrono::milliseconds(std::llround(valueSeconds * 1'000.0));
}

std::chrono::milliseconds YamlSection::duration(const std::string &key,
                                                std::chrono::milliseconds fallback)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return fallback;
    const absl::StatusOr<std::chrono::milliseconds> value = parseDuration(scalar(node, key));
    if (value.ok())
        return *value;
    addProblem(key, joinText(key, ": ", std::string(value.status().message())));
    return fallback;
}

Endpoint YamlSection::endpoint(const std::string &key)
{
    if (!require(key).IsDefined())
        return {};
    return endpoint(key, {});
}

Endpoint YamlSection::endpoint(const std::string &key, const Endpoint &fallback)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return fallback;
    const absl::StatusOr<Endpoint> value = parseEndpoint(scalar(node, key));
    if (value.ok())
        return *value;
    addProblem(key, joinText(key, ": ", std::string(value.status().message())));
    return fallback;
}

std::vector<std::string> YamlSection::stringList(const std::string &key)
{
    const YAML::Node node = find(key);
    std::vector<std::string> values;
    if (!node.IsDefined())
        return values;
    if (!node.IsSequence()) {
        addProblem(key, joinText(key, " must be a list such as [a, b]"));
        return values;
    }
    for (const YAML::Node &item : node) {
        std::string value = scalar(item, key);
        if (std::find(values.begin(), values.end(), value) != values.end())
            addProblem(key, joinText(key, " lists '", value, "' twice"));
        values.push_back(std::move(value));
    }
    return values;
}

std::size_t YamlSection::choice(const std::string &key, const std::vector<std::string> &choices,
                                std::size_t fallback)
{
    const YAML::Node node = find(key);
    if (!node.IsDefined())
        return fallback;
    const std::string value = scalar(node, key);
    const auto found = std::find(choices.begin(), choices.end(), value);
    if (found != choices.end())
        return static_cast<std::size_t>(found - choices.begin());
    addProblem(key,
               joinText(key, " is '", value, "'; it must be one of ", commaSeparated(choices)));
    return fallback;
}

YamlSection YamlSection::section(const std::string &key)
{
    return {require(key), m_file, key, *m_problems};
}

YamlSection YamlSection::optionalSection(const std::string &key)
{
    return {find(key), m_file, key, *m_problems};
}

std::vector<YamlSection> YamlSection::sections(const std::string &key)
{
    std::vector<YamlSection> result;
    const YAML::Node node = require(key);
    if (!node.IsDefined())
        return result;
    if (!node.IsSequence()) {
        addProblem(key, joinText(key, " must be a list"));
        return result;
    }
    for (const YAML::Node &item : node)
        result.emplace_back(item, m_file, joinText("an entry of ", key), *m_problems);
    return result;
}

void YamlSection::reportUnknownKeys()
{
    if (!m_node.IsDefined() || !m_node.IsMap())
        return;
    for (const auto &pair : m_node) {
        const std::string key = pair.first.Scalar();
        if (m_requestedKeys.contains(key))
            continue;
        const std::vector<std::string> validKeys(m_requestedKeys.begin(), m_requestedKeys.end());
        m_problems->push_back(
                Problem{.file = m_file,
                        .line = lineOf(pair.first),
                        .message = joinText("unknown key ", key, " in ", m_name, "; the keys are ",
                                            commaSeparated(validKeys))});
    }
}

YAML::Node loadYamlFile(const std::string &file, Problems &problems)
{
    try {
        YAML::Node root = YAML::LoadFile(file);
        if (root.IsMap())
            return root;
        problems.push_back(
                Problem{.file = file, .line = 1, .message = "the file must be a YAML mapping"});
    } catch (const YAML::BadFile &) {
        problems.push_back(Problem{.file = file, .line = 0, .message = "cannot read the file"});
    } catch (const YAML::Exception &error) {
        problems.push_back(
                Problem{.file = file, .line = error.mark.line + 1, .message = error.msg});
    }
    return YAML::Node(YAML::NodeType::Undefined);
}

} // namespace jacinthshift
