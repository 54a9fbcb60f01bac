#include <fstream>
#include <iterator>
#include <regex>
#include <set>
#include <string>

#include <catch2/catch.hpp>
#include <unistd.h>

#include "core/text.h"
#include "node/mesh_settings.h"

using namespace jacinthshift;

namespace {

std::string readFile(const std::string &path)
{
    std::ifstream file(path);
    return {std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>()};
}

std::string settingsTemplate()
{
    return readFile(JACINTHSHIFT_SOURCES "/deploy/node.yaml.in");
}

/** Returns a value that is valid for a field of the template. */
std::string exampleValue(const std::string &field)
{
    if (field == "ip")
        return "127.0.0.1";
    if (field.starts_with("listen.") || field.ends_with("ddress"))
        return "127.0.0.1:8100";
    if (field.starts_with("bounds.strict") || field.starts_with("bounds.require"))
        return "true";
    if (field.starts_with("bounds.") || field.starts_with("limits."))
        return "1";
    return field.starts_with("portRange.") ? "7380" : "name";
}

/** Fills in the template, leaving out the value of one field. */
std::string render(const std::string &withoutField)
{
    const std::regex placeholder(R"(\{\{([A-Za-z.0-9]+)(\|json)?\}\})");
    const std::regex list(R"(\{\{#([A-Za-z.]+)\}\}.*?\{\{/\1\}\})");
    const std::string text = std::regex_replace(settingsTemplate(), list, "");
    std::string result;
    auto rest = text.cbegin();
    for (std::sregex_iterator match(text.begin(), text.end(), placeholder), end; match != end;
         ++match) {
        result.append(rest, (*match)[0].first);
        const std::string field = (*match)[1];
        const bool isList = field == "cloud.duties";
        const bool isJson = (*match)[2].matched;
        if (field != withoutField && isList)
            result += "[\"name\"]";
        else if (field != withoutField)
            result += isJson ? joinText("\"", exampleValue(field), "\"") : exampleValue(field);
        rest = (*match)[0].second;
    }
    return result.append(rest, text.cend());
}

Problems problemsWithout(const std::string &field)
{
    const std::string path = joinText("/tmp/mesh-settings-", getpid(), ".yaml");
    std::ofstream(path) << render(field);
    Problems problems;
    readMeshSettings(path, problems);
    unlink(path.c_str());
    return problems;
}

/** Returns the fields of the template that a deployment may lack. */
std::set<std::string> optionalFields()
{
    const std::string text = settingsTemplate();
    const std::regex field(R"(\{\{((bounds|limits|cloud)\.[A-Za-z]+))");
    std::set<std::string> fields;
    for (std::sregex_iterator match(text.begin(), text.end(), field), end; match != end; ++match)
        fields.insert((*match)[1]);
    return fields;
}

MeshSettings readText(const std::string &text)
{
    const std::string path = joinText("/tmp/mesh-settings-", getpid(), ".yaml");
    std::ofstream(path) << text;
    Problems problems;
    const MeshSettings settings = readMeshSettings(path, problems);
    unlink(path.c_str());
    REQUIRE(problems.empty());
    return settings;
}

MeshSettings readWithout(const std::string &field)
{
    return readText(render(field));
}

} // namespace

// Guards against nodes that accept withdrawn keys, or refuse valid ones in a deployment that sets
// no limit.
TEST_CASE("the revoke time is read, and off where a deployment lacks it")
{
    CHECK(readWithout("").revokeTime == std::chrono::seconds(1));
    CHECK(readWithout("").strictRevoke);
    CHECK(readWithout("bounds.revokeS").revokeTime == std::chrono::seconds(0));
    CHECK_FALSE(readWithout("bounds.strictRevoke").strictRevoke);
    const std::regex value("strict_revoke: true");
    CHECK(readText(std::regex_replace(render(""), value, "strict_revoke: True")).strictRevoke);
    CHECK_FALSE(
            readText(std::regex_replace(render(""), value, "strict_revoke: False")).strictRevoke);
}

// Guards against nodes that do not start in a deployment without one of the operator's bounds, as
// the template then renders a key without a value.
TEST_CASE("a node starts in a deployment that lacks any one of the optional fields")
{
    REQUIRE(problemsWithout("").empty());
    REQUIRE(optionalFields().size() >= 9);
    for (const std::string &field : optionalFields()) {
        CAPTURE(field);
        CHECK(problemsWithout(field).empty());
    }
}
