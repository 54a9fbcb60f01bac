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

/** An error in a file, with its position and how to correct it. */
struct Problem
{
    std::string file;
    int line = 0; ///< Starts at 1; 0 if there is no position.
    std::string message;

    /** Returns "file:line: message". */
    std::string text() const;
};

using Problems = std::vector<Problem>;

/**
 * Reads one mapping of a YAML file and collects all problems in it.
 *
 * After a problem, the reading functions return a placeholder, so that one pass finds all problems;
 * it must not be used. A key without a value counts as missing. Functions without a fallback
 * parameter report a missing key, except stringList().
 */
class YamlSection
{
    YAML::Node m_node;
    std::string m_file;
    std::string m_name; ///< Name of the section in messages.
    Problems *m_problems;
    std::set<std::string> m_requestedKeys; ///< Keys that were read, which are the valid ones.

    YAML::Node find(const std::string &key);
    YAML::Node require(const std::string &key);
    std::string scalar(const YAML::Node &node, const std::string &key);
    void reportDuplicateKeys();

public:
    YamlSection(const YAML::Node &node, std::string file, std::string name, Problems &problems);

    /** Adds a problem at the line of a key, or of the section if the key is missing. */
    void addProblem(const std::string &key, const std::string &message);

    /** Reads a text that must not be empty. */
    std::string text(const std::string &key);
    /** Reads a text that may be empty. */
    std::string text(const std::string &key, const std::string &fallback);
    /** Reads "true" or "false". */
    bool flag(const std::string &key, bool fallback);
    /** Reads a whole number of at least 0. */
    std::uint32_t number(const std::string &key, std::uint32_t fallback);
    /** Reads a number of at least 0. */
    double nonNegativeNumber(const std::string &key, double fallback);
    /** Reads a duration as a number of seconds, which may have a fraction. */
    std::chrono::milliseconds seconds(const std::string &key, std::chrono::milliseconds fallback);
    /** Reads a positive duration with its unit, such as "250ms". */
    std::chrono::milliseconds duration(const std::string &key, std::chrono::milliseconds fallback);
    /** Reads an IP address with its port, such as "10.0.0.1:80". */
    Endpoint endpoint(const std::string &key);
    Endpoint endpoint(const std::string &key, const Endpoint &fallback);
    /** Reads a list of distinct values; empty if the key is missing. */
    std::vector<std::string> stringList(const std::string &key);
    /** Returns the index of the value in the choices, or the fallback after a problem. */
    std::size_t choice(const std::string &key, const std::vector<std::string> &choices,
                       std::size_t fallback);
    /** Returns the mapping below a key. */
    YamlSection section(const std::string &key);
    /** Returns the mapping below a key, or an empty one if the key is missing. */
    YamlSection optionalSection(const std::string &key);
    /** Returns the entries of a list of mappings. */
    std::vector<YamlSection> sections(const std::string &key);
    /** Adds a problem for each key that was not read. */
    void reportUnknownKeys();
};

/**
 * Loads a YAML file whose root is a mapping. On failure, adds a problem and returns an undefined
 * node.
 */
YAML::Node loadYamlFile(const std::string &file, Problems &problems);

} // namespace jacinthshift

#endif // MODULES_YAML_YAML_SECTION_H
