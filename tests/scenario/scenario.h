#ifndef TESTS_SCENARIO_SCENARIO_H
#define TESTS_SCENARIO_SCENARIO_H

#include <map>
#include <memory>
#include <string>
#include <vector>

#include <absl/status/status.h>
#include <yaml-cpp/yaml.h>

#include "tests/support/load_generator.h"
#include "tests/support/mesh_bench.h"

namespace jacinthshift {

/**
 * Runs one scenario file against a mesh of real processes.
 *
 * tests/scenario/README.md lists the verbs of the steps. After the last step, the invariants of
 * checkSentRequests() are checked for all requests that were sent.
 */
class Scenario
{
    YAML::Node m_root;
    std::unique_ptr<MeshBench> m_bench;
    std::map<std::string, std::string> m_answersFiles; ///< Paths by the name of the answers.
    std::map<std::string, std::unique_ptr<LoadGenerator>> m_loads;
    std::map<std::string, bool> m_loadIsIdempotent; ///< By the name of the load.
    std::vector<LoadResult> m_callResults;          ///< Of the steps `call`.
    std::vector<std::string> m_measurements;
    std::string m_lastRelease;
    int m_callCount = 0;

    /** Returns the VM names in a scalar or list; `all` stands for every VM. */
    std::vector<std::string> resolveVmNames(const YAML::Node &node) const;
    absl::Status runStep(const std::string &verb, const YAML::Node &step);
    absl::Status start(const YAML::Node &step);
    absl::Status signalProcesses(const YAML::Node &step, int signalNumber);
    absl::Status stop(const YAML::Node &step);
    absl::Status cut(const YAML::Node &step);
    /** Sends the step to a stand-in's control interface. */
    absl::Status sendControl(const Endpoint &server, const YAML::Node &step);
    absl::Status command(const YAML::Node &step);
    absl::Status publish(const YAML::Node &step);
    absl::Status call(const YAML::Node &step);
    absl::Status load(const YAML::Node &step);
    absl::Status join(const YAML::Node &step);
    absl::Status expect(const YAML::Node &step);
    absl::Status checkExpectation(const YAML::Node &step);
    absl::Status logLine(const YAML::Node &step);
    absl::Status race(const YAML::Node &step);
    absl::Status quiet(const YAML::Node &step);
    absl::Status journal(const YAML::Node &step);
    /** Returns how many journal lines of these VMs' backend servers start with the prefix. */
    std::int64_t countJournalLines(const YAML::Node &vms, const std::string &prefix) const;
    absl::Status checkInvariants();
    /** Replaces $release by the id of the release that was started last. */
    std::string substitute(std::string text) const;

public:
    /**
     * Reads a scenario file and prepares its mesh. binaryDirectory has the built programs.
     * Throws YAML::Exception if the file cannot be read.
     */
    Scenario(const std::string &file, const std::string &binaryDirectory);
    ~Scenario();

    std::string name() const { return m_root["name"].as<std::string>(); }
    /** Runs all steps and checks the invariants. The error names the step that failed. */
    absl::Status runAll();
    /** Returns the scenario's measurements as lines to print. */
    const std::vector<std::string> &measurements() const { return m_measurements; }
};

} // namespace jacinthshift

#endif // TESTS_SCENARIO_SCENARIO_H
