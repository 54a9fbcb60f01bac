#include "tests/scenario/scenario.h"

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <fstream>

#include <nlohmann/json.hpp>

#include "core/duration.h"
#include "core/text.h"
#include "tests/scenario/invariants.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollPeriod{50};
constexpr std::chrono::milliseconds CallTimeout{5'000};

absl::Status failed(const std::string &reason)
{
    return absl::FailedPreconditionError(reason);
}

std::chrono::milliseconds durationOf(const YAML::Node &node, std::chrono::milliseconds fallback)
{
    if (!node)
        return fallback;
    const absl::StatusOr<std::chrono::milliseconds> value = parseDuration(node.as<std::string>());
    return value.ok() ? *value : fallback;
}

/** Converts YAML to JSON. Scalars that are valid JSON, such as numbers, are parsed as such. */
json toJson(const YAML::Node &node)
{
    if (node.IsSequence()) {
        json list = json::array();
        for (const YAML::Node &item : node)
            list.push_back(toJson(item));
        return list;
    }
    if (node.IsMap()) {
        json object = json::object();
        for (const auto &pair : node)
            object[pair.first.Scalar()] = toJson(pair.second);
        return object;
    }
    const json parsed = json::parse(node.Scalar(), nullptr, false);
    return parsed.is_discarded() ? json(node.Scalar()) : parsed;
}

std::string textOf(const json &value)
{
    return value.is_string() ? value.get<std::string>() : value.dump();
}

} // namespace

Scenario::Scenario(const std::string &file, const std::string &binaryDirectory)
    : m_root(YAML::LoadFile(file))
{
    std::vector<VmPlan> plans;
    for (const auto &domain : m_root["domains"]) {
        int number = 0;
        for (const YAML::Node &vm : domain.second) {
            VmPlan plan{.name = joinText(domain.first.Scalar(), "-", ++number),
                        .domain = domain.first.Scalar()};
            for (const auto &flag : vm)
                plan.backendFlags.push_back(
                        joinText("--", flag.first.Scalar(), "=", flag.second.Scalar()));
            plans.push_back(std::move(plan));
        }
    }
    m_bench = std::make_unique<MeshBench>(binaryDirectory, plans);
    for (const auto &answers : m_root["answers"]) {
        const std::string path =
                joinText(m_bench->directory(), "/answers-", answers.first.Scalar(), ".yaml");
        std::ofstream(path) << YAML::Dump(answers.second) << "\n";
        m_answersFiles[answers.first.Scalar()] = path;
    }
}

Scenario::~Scenario() = default;

absl::Status Scenario::runAll()
{
    if (!m_bench->startPlatform())
        return failed("the platform's stand-ins did not start");
    int number = 0;
    for (const YAML::Node &step : m_root["steps"]) {
        ++number;
        const std::string verb = step.begin()->first.Scalar();
        const absl::Status status = runStep(verb, step.begin()->second);
        if (!status.ok())
            return failed(joinText("step ", number, " (", verb, ", line ", step.Mark().line + 1,
                                   "): ", std::string(status.message()), "; files in ",
                                   m_bench->directory()));
    }
    const absl::Status status = checkInvariants();
    if (status.ok() && std::getenv("JACINTHSHIFT_KEEP_FILES") == nullptr)
        m_bench->discardFiles();
    return status;
}

absl::Status Scenario::runStep(const std::string &verb, const YAML::Node &step)
{
    if (verb == "start")
        return start(step);
    if (verb == "stop")
        return stop(step);
    if (verb == "kill")
        return signalProcesses(step, SIGKILL);
    if (verb == "freeze")
        return signalProcesses(step, SIGSTOP);
    if (verb == "thaw")
        return signalProcesses(step, SIGCONT);
    if (verb == "cut")
        return cut(step);
    if (verb == "network")
        return sendControl(m_bench->relayControlEndpoint(), step);
    if (verb == "outage")
        return sendControl(m_bench->logEndpoint(), step);
    if (verb == "backend")
        return sendControl(m_bench->vm(step["vm"].Scalar()).backendEndpoint(), step);
    if (verb == "publish")
        return publish(step);
    if (verb == "command")
        return command(step);
    if (verb == "call")
        return call(step);
    if (verb == "load")
        return load(step);
    if (verb == "join")
        return join(step);
    if (verb == "expect")
        return expect(step);
    if (verb == "race")
        return race(step);
    if (verb == "quiet")
        return quiet(step);
    if (verb == "journal")
        return journal(step);
    if (verb == "log_line")
        return logLine(step);
    if (verb == "wait") {
        m_bench->pause(durationOf(step, std::chrono::milliseconds(0)));
        return absl::OkStatus();
    }
    return failed("unknown verb");
}

std::vector<std::string> Scenario::resolveVmNames(const YAML::Node &node) const
{
    if (node.IsScalar() && node.Scalar() == "all")
        return m_bench->vmNames();
    if (node.IsScalar())
        return {node.Scalar()};
    return node.as<std::vector<std::string>>();
}

std::string Scenario::substitute(std::string text) const
{
    static const std::string releasePlaceholder = "$release";
    const std::size_t at = text.find(releasePlaceholder);
    if (at != std::string::npos)
        text.replace(at, releasePlaceholder.size(), m_lastRelease);
    return text;
}

absl::Status Scenario::start(const YAML::Node &step)
{
    // A mapping starts only the node or only the backend server; a name or list starts both.
    const bool onlyBackend = step.IsMap() && step["backend"];
    const bool onlyNode = step.IsMap() && step["node"];
    const YAML::Node vms = onlyBackend ? step["backend"] : onlyNode ? step["node"] : step;
    for (const std::string &name : resolveVmNames(vms)) {
        Vm &vm = m_bench->vm(name);
        const bool started =
                (onlyBackend || m_bench->startNode(vm)) && (onlyNode || m_bench->startBackend(vm));
        if (!started)
            return failed(name + " did not start");
    }
    return absl::OkStatus();
}

absl::Status Scenario::signalProcesses(const YAML::Node &step, int signalNumber)
{
    const bool onlyBackend = step.IsMap() && step["backend"];
    const bool onlyNode = step.IsMap() && step["node"];
    const YAML::Node vms = onlyBackend ? step["backend"] : onlyNode ? step["node"] : step;
    for (const std::string &name : resolveVmNames(vms)) {
        Vm &vm = m_bench->vm(name);
        if (!onlyBackend)
            vm.node.signal(signalNumber);
        if (!onlyNode)
            vm.backend.signal(signalNumber);
        if (signalNumber == SIGKILL && !onlyBackend)
            vm.node.wait();
        if (signalNumber == SIGKILL && !onlyNode)
            vm.backend.wait();
    }
    return absl::OkStatus();
}

absl::Status Scenario::stop(const YAML::Node &step)
{
    for (const std::string &name : resolveVmNames(step)) {
        Vm &vm = m_bench->vm(name);
        vm.node.signal(SIGTERM);
        while (vm.node.isRunning())
            m_bench->pause(PollPeriod);
        if (vm.node.exitCode() != 0)
            return failed(joinText(name, " ended with status ", vm.node.exitCode()));
        vm.backend.signal(SIGKILL);
        vm.backend.wait();
    }
    return absl::OkStatus();
}

absl::Status Scenario::cut(const YAML::Node &step)
{
    json cuts = json::array();
    for (const YAML::Node &pair : step)
        cuts.push_back(json{{"from", m_bench->addressPrefix(pair[0].Scalar())},
                            {"to", m_bench->addressPrefix(pair[1].Scalar())}});
    const HttpResult result = m_bench->exchange(m_bench->relayControlEndpoint(),
                                                HttpRequest{.method = "POST",
                                                            .target = "/control",
                                                            .body = json{{"cuts", cuts}}.dump()},
                                                CallTimeout);
    return result.verdict == Verdict::Done ? absl::OkStatus() : failed("the relay did not answer");
}

absl::Status Scenario::sendControl(const Endpoint &server, const YAML::Node &step)
{
    const std::string target = step["drain"] ? "/drain" : "/control";
    const HttpResult result = m_bench->exchange(
            server, HttpRequest{.method = "POST", .target = target, .body = toJson(step).dump()},
            CallTimeout);
    return result.verdict == Verdict::Done ? absl::OkStatus()
                                           : failed("the stand-in did not answer");
}

absl::Status Scenario::command(const YAML::Node &step)
{
    std::vector<std::string> arguments;
    for (const YAML::Node &argument : step["run"])
        arguments.push_back(substitute(argument.Scalar()));
    const std::string via = step["via"] ? step["via"].Scalar() : m_bench->vmNames().front();
    arguments.push_back("--node=" + m_bench->vm(via).localEndpoint().text());
    arguments.push_back("--log=" + m_bench->logEndpoint().text());
    std::string output;
    const int code = m_bench->runCommand(arguments, output);
    const std::size_t release = output.find("release ");
    if (release != std::string::npos && output.find(" stages") != std::string::npos)
        m_lastRelease = output.substr(release + 8, output.find(' ', release + 8) - release - 8);
    const int expected = step["exit"] ? step["exit"].as<int>() : 0;
    if (code != expected)
        return failed(joinText("exit status ", code, " instead of ", expected, ": ", output));
    if (step["contains"] && output.find(step["contains"].Scalar()) == std::string::npos)
        return failed(joinText("the output does not contain '", step["contains"].Scalar(),
                               "': ", output));
    return absl::OkStatus();
}

absl::Status Scenario::publish(const YAML::Node &step)
{
    YAML::Node commandStep = YAML::Clone(step);
    commandStep["run"].push_back("publish");
    commandStep["run"].push_back("--answers=" + m_answersFiles.at(step["answers"].Scalar()));
    if (step["within"])
        commandStep["run"].push_back("--within=" + step["within"].Scalar());
    if (step["wait"])
        commandStep["run"].push_back("--wait=" + step["wait"].Scalar());
    return command(commandStep);
}

absl::Status Scenario::call(const YAML::Node &step)
{
    const int count = step["count"] ? step["count"].as<int>() : 1;
    for (int i = 0; i < count; ++i) {
        const bool keyed = step["key"].IsDefined();
        const std::string key = keyed ? joinText(step["key"].Scalar(), "-", i) : "";
        const std::string id = keyed ? "key-" + key : joinText("call-", ++m_callCount);
        HttpRequest request{.method = step["method"] ? step["method"].Scalar() : "GET",
                            .target = step["target"].Scalar()};
        request.headers.push_back(HttpHeader{.name = "Request-Id", .value = id});
        if (keyed)
            request.headers.push_back(HttpHeader{.name = "Idempotency-Key", .value = key});
        for (const auto &header : step["headers"])
            request.headers.push_back(
                    HttpHeader{.name = header.first.Scalar(), .value = header.second.Scalar()});
        if (step["body_bytes"])
            request.body = std::string(step["body_bytes"].as<std::size_t>(), 'x');
        const HttpResult result = m_bench->exchange(
                m_bench->vm(step["via"].Scalar()).callerEndpoint(), request, CallTimeout);
        const LoadResult loadResult = readLoadResult(id, result);
        m_callResults.push_back(loadResult);
        const std::string actual = joinText("status ", loadResult.status, ", verdict ",
                                            std::string(verdictName(loadResult.verdict)), ": ",
                                            result.response.body.string());
        if (step["status"] && loadResult.status != step["status"].as<int>())
            return failed(actual);
        if (step["verdict"] && verdictName(loadResult.verdict) != step["verdict"].Scalar())
            return failed(actual);
        if (step["contains"]
            && result.response.body.string().find(step["contains"].Scalar()) == std::string::npos)
            return failed(actual);
    }
    return absl::OkStatus();
}

absl::Status Scenario::load(const YAML::Node &step)
{
    LoadPlan plan;
    for (const std::string &name : resolveVmNames(step["via"]))
        plan.targets.push_back(m_bench->vm(name).callerEndpoint());
    plan.request.method = step["method"] ? step["method"].Scalar() : "GET";
    plan.request.target = step["target"].Scalar();
    plan.requestsPerSecond = step["per_second"].as<double>();
    plan.duration = durationOf(step["for"], plan.duration);
    plan.idPrefix = step["name"].Scalar();
    m_loadIsIdempotent[plan.idPrefix] = plan.request.method == "GET";
    m_loads[plan.idPrefix] =
            std::make_unique<LoadGenerator>(m_bench->http(), m_bench->timers(), plan);
    return absl::OkStatus();
}

absl::Status Scenario::join(const YAML::Node &step)
{
    const std::string name = step["name"].Scalar();
    const LoadGenerator &load = *m_loads.at(name);
    while (!load.isFinished())
        m_bench->pause(PollPeriod);
    const std::vector<LoadResult> &results = load.results();
    const auto good = static_cast<double>(
            std::count_if(results.begin(), results.end(),
                          [](const LoadResult &result) { return result.status == 200; }));
    const double percent =
            100.0 * good / static_cast<double>(std::max<std::size_t>(1, results.size()));
    std::map<std::string, int> versions;
    for (const LoadResult &result : results)
        ++versions[result.version.empty() ? "none" : result.version];
    std::string measurement =
            joinText("load ", name, ": ", results.size(), " requests, ", std::to_string(percent),
                     "% good, p50 ", std::to_string(latencyQuantile(results, 0.5)), " ms, p99 ",
                     std::to_string(latencyQuantile(results, 0.99)), " ms;");
    for (const auto &[version, count] : versions)
        measurement += joinText(" ", version, ": ", count);
    m_measurements.push_back(measurement);
    if (step["good_percent"] && percent < step["good_percent"].as<double>())
        return failed(measurement);
    for (const auto &limit : step["at_most"]) {
        if (versions[limit.first.Scalar()] > limit.second.as<int>())
            return failed(joinText(measurement, " (", limit.first.Scalar(), " over its limit)"));
    }
    for (const auto &limit : step["at_least"]) {
        if (versions[limit.first.Scalar()] < limit.second.as<int>())
            return failed(joinText(measurement, " (", limit.first.Scalar(), " under its limit)"));
    }
    return absl::OkStatus();
}

absl::Status Scenario::expect(const YAML::Node &step)
{
    const SteadyTime deadline =
            m_bench->timers().now() + durationOf(step["within"], std::chrono::seconds(7));
    const SteadyTime start = m_bench->timers().now();
    absl::Status status;
    do {
        status = checkExpectation(step);
        if (status.ok()) {
            const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(
                    m_bench->timers().now() - start);
            if (step["report"])
                m_measurements.push_back(
                        joinText(step["report"].Scalar(), ": ", elapsed.count(), " ms"));
            return status;
        }
        m_bench->pause(PollPeriod);
    } while (m_bench->timers().now() < deadline);
    return status;
}

absl::Status Scenario::checkExpectation(const YAML::Node &step)
{
    for (const std::string &name : resolveVmNames(step["on"])) {
        const std::string target = step["get"] ? step["get"].Scalar() : "/status";
        const HttpResult result =
                m_bench->exchange(m_bench->vm(name).localEndpoint(), HttpRequest{.target = target},
                                  std::chrono::milliseconds(2'000));
        if (result.verdict != Verdict::Done)
            return failed(name + " did not answer");
        const json report = json::parse(result.response.body.string(), nullptr, false);
        const json::json_pointer pointer(step["at"].Scalar());
        const json value = report.contains(pointer) ? report[pointer] : json();
        const std::string actual =
                joinText(name, " has ", textOf(value), " at ", step["at"].Scalar());
        if (step["equals"] && textOf(value) != substitute(step["equals"].Scalar()))
            return failed(actual);
        if (step["at_least"]
            && (!value.is_number() || value.get<std::int64_t>() < step["at_least"].as<int>()))
            return failed(actual);
    }
    return absl::OkStatus();
}

absl::Status Scenario::logLine(const YAML::Node &step)
{
    for (const std::string &name : resolveVmNames(step["on"])) {
        const std::vector<std::string> lines = m_bench->lines(name + ".log");
        const auto count =
                std::count_if(lines.begin(), lines.end(), [&step](const std::string &line) {
                    return line.find(step["contains"].Scalar()) != std::string::npos;
                });
        const std::int64_t expected = step["at_least"] ? step["at_least"].as<int>() : 1;
        const bool tooMany = step["at_most"] && count > step["at_most"].as<int>();
        if ((!step["at_most"] && count < expected) || tooMany)
            return failed(joinText(name, " has ", count, " log lines with '",
                                   step["contains"].Scalar(), "'"));
    }
    return absl::OkStatus();
}

absl::Status Scenario::race(const YAML::Node &step)
{
    // The operators publish different answers concurrently, through different nodes.
    std::vector<std::unique_ptr<ChildProcess>> operators;
    std::vector<std::string> vms = resolveVmNames(step["via"]);
    for (const YAML::Node &answers : step["answers"]) {
        const Vm &vm = m_bench->vm(vms[operators.size() % vms.size()]);
        operators.push_back(std::make_unique<ChildProcess>());
        operators.back()->start(
                m_bench->programCommand({"publish",
                                         "--answers=" + m_answersFiles.at(answers.Scalar()),
                                         "--node=" + vm.localEndpoint().text(),
                                         "--log=" + m_bench->logEndpoint().text()}),
                joinText(m_bench->directory(), "/race-", operators.size()));
    }
    std::vector<int> codes;
    for (const std::unique_ptr<ChildProcess> &process : operators) {
        while (process->isRunning())
            m_bench->pause(PollPeriod);
        codes.push_back(process->exitCode());
    }
    std::sort(codes.begin(), codes.end());
    const std::vector<int> expected = step["exits"].as<std::vector<int>>();
    if (codes != expected)
        return failed(joinText("exit statuses ", codes.front(), " to ", codes.back()));
    return absl::OkStatus();
}

std::int64_t Scenario::countJournalLines(const YAML::Node &vms, const std::string &prefix) const
{
    std::int64_t count = 0;
    for (const std::string &name : resolveVmNames(vms)) {
        for (const std::string &line : m_bench->lines(name + ".journal"))
            count += line.rfind(prefix, 0) == 0 ? 1 : 0;
    }
    return count;
}

absl::Status Scenario::quiet(const YAML::Node &step)
{
    const std::int64_t before = countJournalLines(step["vms"], "run ");
    m_bench->pause(durationOf(step["for"], std::chrono::seconds(1)));
    const std::int64_t after = countJournalLines(step["vms"], "run ");
    return after == before ? absl::OkStatus()
                           : failed(joinText(after - before, " requests started meanwhile"));
}

absl::Status Scenario::journal(const YAML::Node &step)
{
    const std::int64_t count = countJournalLines(step["vms"], step["starts"].Scalar());
    m_measurements.push_back(joinText("journal lines '", step["starts"].Scalar(), "': ", count));
    if (step["at_most"] && count > step["at_most"].as<int>())
        return failed(joinText(count, " lines"));
    if (step["at_least"] && count < step["at_least"].as<int>())
        return failed(joinText(count, " lines"));
    return absl::OkStatus();
}

absl::Status Scenario::checkInvariants()
{
    std::map<std::string, int> runs;
    for (const std::string &name : m_bench->vmNames()) {
        for (const std::string &line : m_bench->lines(name + ".journal")) {
            if (line.rfind("run ", 0) == 0)
                ++runs[line.substr(4)];
        }
    }
    std::vector<SentRequest> sent;
    for (const LoadResult &result : m_callResults)
        sent.push_back(SentRequest{.result = result, .keyed = result.id.rfind("key-", 0) == 0});
    for (const auto &[name, load] : m_loads) {
        for (const LoadResult &result : load->results())
            sent.push_back(SentRequest{.result = result, .idempotent = m_loadIsIdempotent[name]});
    }
    return checkSentRequests(sent, runs);
}

} // namespace jacinthshift
