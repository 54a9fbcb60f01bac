#include "cli/local_commands.h"

#include <functional>
#include <iostream>

#include "cli/flags.h"
#include "core/duration.h"
#include "core/logger.h"
#include "core/scope_guard.h"
#include "modules/config/answers.h"
#include "modules/config/config_json.h"
#include "node/mesh_node.h"
#include "node/node.h"

namespace jacinthshift {

namespace {

ExitCode reportProblems(const Problems &problems)
{
    for (const Problem &problem : problems)
        std::cerr << problem.text() << "\n";
    return problems.empty() ? ExitCode::Ok : ExitCode::BadInput;
}

void printPlan(const ServiceAnswers &service)
{
    const ReleasePlan plan = planForCare(service.care, service.finishWithin, service.thinEvidence);
    if (plan.stages.empty()) {
        std::cout << "  a change is in force at once\n";
        return;
    }
    std::cout << "  a change is finished or withdrawn within " << formatDuration(plan.finishWithin)
              << ", stage by stage:";
    for (const ReleaseStage &stage : plan.stages)
        std::cout << " " << static_cast<double>(stage.share) / 10.0 << "%";
    std::cout << "\n";
}

/** Starts logging, reports problems of the settings and, without --check_only, runs the node. */
template <typename NodeType>
ExitCode runWithLog(const LoggerOptions &log, const Problems &problems,
                    const std::function<NodeType()> &makeNode)
{
    startLogging(log);
    const ScopeGuard flush([] { flushLog(); });
    if (!problems.empty()) {
        for (const Problem &problem : problems)
            logEvent(Event::SettingsRefused, {{"problem", problem.text()}});
        return reportProblems(problems);
    }
    if (FLAGS_check_only) {
        std::cout << FLAGS_settings << " is valid\n";
        return ExitCode::Ok;
    }
    NodeType node = makeNode();
    const absl::Status status = node.start();
    if (!status.ok()) {
        logEvent(Event::SettingsRefused, {{"problem", std::string(status.message())}});
        std::cerr << status.message() << "\n";
        return ExitCode::Unreachable;
    }
    node.run();
    return ExitCode::Ok;
}

bool hasSettings(const char *command)
{
    if (!FLAGS_settings.empty())
        return true;
    std::cerr << command << " needs --settings=FILE\n";
    return false;
}

} // namespace

ExitCode runNode(const std::vector<std::string> &)
{
    if (!hasSettings("node"))
        return ExitCode::Usage;
    Problems problems;
    const NodeSettings settings = readNodeSettings(FLAGS_settings, problems);
    return runWithLog<Node>({.level = settings.logLevel,
                             .format = settings.logFormat,
                             .node = settings.node,
                             .failureDomain = settings.domain},
                            problems, [&settings] { return Node(settings); });
}

ExitCode runMeshNode(const std::vector<std::string> &)
{
    if (!hasSettings("mesh-node"))
        return ExitCode::Usage;
    Problems problems;
    const MeshSettings settings = readMeshSettings(FLAGS_settings, problems);
    return runWithLog<MeshNode>({.level = settings.logLevel,
                                 .format = LogFormat::JsonLines,
                                 .target = LogTarget::StandardOutput,
                                 .node = settings.node,
                                 .failureDomain = settings.domain},
                                problems,
                                [&settings] { return MeshNode(settings, FLAGS_settings); });
}

ExitCode runQuestionnaire(const std::vector<std::string> &)
{
    std::cout << questionnaireText();
    return ExitCode::Ok;
}

ExitCode runCheck(const std::vector<std::string> &)
{
    if (FLAGS_answers.empty() && FLAGS_settings.empty()) {
        std::cerr << "check needs --answers=FILE or --settings=FILE\n";
        return ExitCode::Usage;
    }
    Problems problems;
    if (!FLAGS_answers.empty())
        readAnswers(FLAGS_answers, problems);
    if (!FLAGS_settings.empty())
        readNodeSettings(FLAGS_settings, problems);
    const ExitCode code = reportProblems(problems);
    if (code == ExitCode::Ok)
        std::cout << "no problems found\n";
    return code;
}

ExitCode runGenerate(const std::vector<std::string> &)
{
    if (FLAGS_answers.empty()) {
        std::cerr << "generate needs --answers=FILE\n";
        return ExitCode::Usage;
    }
    Problems problems;
    const Answers answers = readAnswers(FLAGS_answers, problems);
    if (!problems.empty())
        return reportProblems(problems);
    nlohmann::json specs = nlohmann::json::array();
    for (const ServiceAnswers &service : answers.services)
        specs.push_back(service.spec);
    if (FLAGS_output == "json") {
        std::cout << specs.dump(2) << "\n";
        return ExitCode::Ok;
    }
    for (const ServiceAnswers &service : answers.services) {
        std::cout << service.spec.name << " " << service.spec.version << "\n";
        for (const RouteSpec &route : service.spec.routes)
            std::cout << "  route " << route.prefix << " within " << formatDuration(route.timeout)
                      << (route.idempotent ? ", idempotent" : ", at most once") << "\n";
        for (const std::string &need : service.spec.needs)
            std::cout << "  needs " << need << "\n";
        printPlan(service);
    }
    return ExitCode::Ok;
}

} // namespace jacinthshift
