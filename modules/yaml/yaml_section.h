#ifndef MODULES_YAML_YAML_SECTION_H
#define MODULES_YAML_YAML_SECTION_H

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <yaml-cpp/yaml.h>

#include "core/endpoint.h"

namespace jacinthshift {

/** One thing that is wrong with a file, with the place and the way to mend it. */
struct Problem
{
    std::string file;
    int line = 0; ///< Counted from 1.
    std::string message;

    std::string text() const;
};

using Problems = std::vector<Problem>;

/**
 * Reads one mapping of a YAML file and notes everything that is wrong with it.
 *
 * Readers return a default after a problem, so that one pass finds all problems. finish() reports
 * keys that nobody asked for.
 */
class YamlSection
{
    YAML::Node m_node;
    std::string m_file;
    std::string m_name;
    Problems *m_problems;
    std::set<std::string> m_known;

    YAML::Node find(const std::string &key);
    YAML::Node require(const std::string &key);
    std::string scalar(const YAML::Node &node, const std::string &key);
    void noteDuplicates();

public:
    YamlSection(const YAML::Node &node, std::string file, std::string name, Problems &problems);

    /** Notes a problem at a key, or at the section when the key is not there. */
    void note(const std::string &key, const std::string &message);

    std::string text(const std::string &key);
    std::string text(const std::string &key, const std::string &fallback);
    bool flag(const std::string &key, bool fallback);
    std::uint32_t number(const std::string &key, std::uint32_t fallback);
    double real(const std::string &key, double fallback);
    /** Reads a time in seconds with fractions. */
    std::chrono::milliseconds seconds(const std::string &key, std::chrono::milliseconds fallback);
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback);
    Endpoint endpoint(const std::string &key);
    Endpoint endpoint(const std::string &key, const Endpoint &fallback);
    std::vector<std::string> texts(const std::string &key);
    /** Returns the position of the value among the choices; 0 after a problem. */
    std::size_t choice(const std::string &key, const std::vector<std::string> &choices,
                       std::size_t fallback);
    YamlSection section(const std::string &key);
    std::vector<YamlSection> sections(const std::string &key);
    void finish();
};

/** Loads a YAML file whose root is a mapping. Notes a problem and returns null on failure. */
YAML::Node loadYamlFile(const std::string &file, Problems &problems);

} // namespace jacinthshift

#endif // MODULES_YAML_YAML_SECTION_H
