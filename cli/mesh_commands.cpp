#include "cli/mesh_commands.h"

#include <iostream>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

#include "cli/flags.h"
#include "cli/operator_session.h"
#include "core/duration.h"
#include "core/text.h"
#include "modules/config/answers.h"
#include "modules/config/config_json.h"
#include "modules/config/publication.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr std::chrono::milliseconds PollPeriod{100};

ExitCode reportFailure(ExitCode code, const std::string &message)
{
    if (FLAGS_output == "json")
        std::cout << json{{"result", "failed"}, {"message", message}}.dump() << "\n";
    std::cerr << message << "\n";
    return code;
}

ExitCode exitCodeOf(const absl::Status &status)
{
    switch (status.code()) {
    case absl::StatusCode::kUnavailable:
        return ExitCode::Unreachable;
    case absl::StatusCode::kUnknown:
        return ExitCode::UnknownOutcome;
    case absl::StatusCode::kDeadlineExceeded:
        return ExitCode::TimedOut;
    default:
        return ExitCode::Internal;
    }
}

ExitCode reportFailure(const absl::Status &status)
{
    return reportFailure(exitCodeOf(status), std::string(status.message()));
}

/** Parses --node and, if needed, --log; prints an error and returns nothing if one is invalid. */
std::optional<OperatorSessionOptions> sessionOptions(bool needsLog)
{
    const absl::StatusOr<Endpoint> node = parseEndpoint(FLAGS_node);
    if (!node.ok()) {
        std::cerr << "--node: " << node.status().message() << "\n";
        return std::nullopt;
    }
    OperatorSessionOptions options{.node = *node};
    if (!needsLog)
        return options;
    const absl::StatusOr<Endpoint> log = parseEndpoint(FLAGS_log);
    if (!log.ok()) {
        std::cerr << "--log: " << log.status().message() << "\n";
        return std::nullopt;
    }
    options.log = *log;
    return options;
}

std::vector<std::string> splitByComma(const std::string &text)
{
    std::vector<std::string> parts;
    std::istringstream stream(text);
    std::string part;
    while (std::getline(stream, part, ','))
        parts.push_back(part);
    return parts;
}

std::string laggingDomainsText(const MeshReport &report, std::uint64_t version)
{
    std::string text;
    for (const DomainReport &domain : report.domains) {
        if (domain.hasApplied(version))
            continue;
        text += joinText(" ", domain.domain, " (", domain.reportedNodes, " of ", domain.memberCount,
                         " nodes reported, oldest version ", domain.oldestVersion, ")");
        for (const std::string &lateNode : domain.lateNodes)
            text += " " + lateNode;
    }
    return text;
}

/** Waits until every failure domain has applied a version. */
ExitCode waitUntilInForce(OperatorSession &session, std::uint64_t version,
                          std::chrono::milliseconds within, const std::string &description)
{
    const auto start = std::chrono::steady_clock::now();
    absl::StatusOr<MeshReport> report = absl::UnavailableError("no report");
    while (true) {
        report = session.report();
        const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
                std::chrono::steady_clock::now() - start);
        if (report.ok() && laggingDomainsText(*report, version).empty()) {
            if (FLAGS_output == "json")
                std::cout << json{{"result", "in-force"},
                                  {"version", version},
                                  {"waited_ms", waited.count()}}
                                     .dump()
                          << "\n";
            else
                std::cout << description << " is in force everywhere at version " << version
                          << " after " << waited.count() << "ms\n";
            return ExitCode::Ok;
        }
        if (waited > within)
            break;
        session.pause(PollPeriod);
    }
    if (!report.ok())
        return reportFailure(report.status());
    return reportFailure(
            ExitCode::TimedOut,
            joinText(description, " was accepted at version ", version,
                     " but is not in force everywhere yet:", laggingDomainsText(*report, version)));
}

/** Appends a record and waits until every failure domain has applied it. */
ExitCode submitAndWait(OperatorSession &session, const ConfigRecord &record,
                       const std::string &description)
{
    const absl::StatusOr<std::chrono::milliseconds> within = parseDuration(FLAGS_within);
    if (!within.ok())
        return reportFailure(ExitCode::Usage,
                             "--within: " + std::string(within.status().message()));
    const absl::StatusOr<RecordOutcome> outcome = session.submit(record, *within);
    if (!outcome.ok())
        return reportFailure(outcome.status());
    if (!outcome->accepted)
        return reportFailure(ExitCode::Rejected,
                             joinText(description, " was rejected: ", outcome->reason));
    return waitUntilInForce(session, outcome->offset, *within, description);
}

RecordHeader newHeader(const std::string &author)
{
    return RecordHeader{.id = newRecordId(author),
                        .author = author,
                        .at = unixMilliseconds(std::chrono::system_clock::now())};
}

std::string releaseText(const ReleaseReport &report)
{
    const Release &release = report.release;
    std::string text = joinText(release.id, "  ", releaseStatusName(release.status), "  stage ",
                                release.stage + 1, " of ", release.plan.stages.size(), "  share ",
                                report.share / 10, ".", report.share % 10, "%  by ", release.author,
                                "  services");
    for (const std::string &service : release.services)
        text += " " + service;
    if (report.braked)
        text += "  (braked)";
    if (!release.reason.empty())
        text += "\n    withdrawn: " + release.reason;
    return text;
}

/** Waits until a release is completed or withdrawn. */
ExitCode waitForRelease(OperatorSession &session, const std::string &id)
{
    const absl::StatusOr<std::chrono::milliseconds> limit = parseDuration(FLAGS_wait);
    if (!limit.ok())
        return reportFailure(ExitCode::Usage, "--wait: " + std::string(limit.status().message()));
    const auto deadline = std::chrono::steady_clock::now() + *limit;
    while (std::chrono::steady_clock::now() < deadline) {
        const absl::StatusOr<MeshReport> report = session.report();
        const ReleaseReport *release = report.ok() ? report->findRelease(id) : nullptr;
        if (release != nullptr && release->release.status != ReleaseStatus::Open) {
            const bool withdrawn = release->release.status == ReleaseStatus::Withdrawn;
            if (FLAGS_output == "json")
                std::cout << json(release->release).dump() << "\n";
            else
                std::cout << releaseText(*release) << "\n";
            return withdrawn ? ExitCode::Withdrawn : ExitCode::Ok;
        }
        session.pause(PollPeriod);
    }
    return reportFailure(ExitCode::TimedOut, joinText("release ", id, " is still open"));
}

ExitCode printReleases(const MeshReport &report)
{
    if (FLAGS_output == "json") {
        std::cout << json::parse(report.json).at("releases").dump(2) << "\n";
        return ExitCode::Ok;
    }
    if (report.releases.empty())
        std::cout << "there are no releases\n";
    for (const ReleaseReport &release : report.releases)
        std::cout << releaseText(release) << "\n";
    return ExitCode::Ok;
}

ExitCode showRelease(OperatorSession &session, const std::string &id)
{
    const absl::StatusOr<MeshReport> report = session.report();
    if (!report.ok())
        return reportFailure(report.status());
    const ReleaseReport *release = report->findRelease(id);
    if (release == nullptr)
        return reportFailure(ExitCode::BadInput, joinText("there is no release ", id));
    if (FLAGS_output == "json")
        std::cout << json(release->release).dump(2) << "\n";
    else
        std::cout << releaseText(*release) << "\n";
    return release->release.status == ReleaseStatus::Withdrawn ? ExitCode::Withdrawn : ExitCode::Ok;
}

} // namespace

ExitCode runPublish(const std::vector<std::string> &)
{
    Problems problems;
    if (FLAGS_answers.empty())
        return reportFailure(ExitCode::Usage, "publish needs --answers=FILE");
    const Answers answers = readAnswers(FLAGS_answers, problems);
    for (const Problem &problem : problems)
        std::cerr << problem.text() << "\n";
    if (!problems.empty())
        return ExitCode::BadInput;
    const std::optional<OperatorSessionOptions> options = sessionOptions(true);
    if (!options.has_value())
        return ExitCode::Usage;
    OperatorSession session(*options);
    const absl::StatusOr<ConfigState> state = session.configuration();
    if (!state.ok())
        return reportFailure(state.status());
    const PublishRecord publish = makePublication(answers, *state, splitByComma(FLAGS_remove));
    if (publish.changes.empty() && publish.removals.empty()) {
        std::cout << "nothing to publish: version " << state->version()
                  << " is what the answers describe\n";
        return ExitCode::Ok;
    }
    const ConfigRecord record{.header = newHeader(answers.team), .body = publish};
    if (!publish.plan.stages.empty() && FLAGS_output != "json")
        std::cout << "release " << record.header.id << " has " << publish.plan.stages.size()
                  << " stages and must end within " << formatDuration(publish.plan.finishWithin)
                  << "\n";
    const ExitCode code = submitAndWait(session, record, "record " + record.header.id);
    if (code != ExitCode::Ok || FLAGS_wait.empty() || publish.plan.stages.empty())
        return code;
    return waitForRelease(session, record.header.id);
}

ExitCode runStatus(const std::vector<std::string> &)
{
    const std::optional<OperatorSessionOptions> options = sessionOptions(false);
    if (!options.has_value())
        return ExitCode::Usage;
    OperatorSession session(*options);
    const absl::StatusOr<MeshReport> report = session.report();
    if (!report.ok())
        return reportFailure(report.status());
    if (FLAGS_output == "json") {
        std::cout << report->json;
        return ExitCode::Ok;
    }
    std::cout << "node " << report->node << " has version " << report->version << " ("
              << report->hash << ") and " << (report->serving ? "serves" : "does not serve yet")
              << "\n";
    for (const DomainReport &domain : report->domains) {
        std::cout << domain.domain << ": " << (domain.takenOut ? "taken out, " : "")
                  << domain.reportedNodes << " of " << domain.memberCount
                  << " nodes reported, oldest version " << domain.oldestVersion;
        for (const std::string &lateNode : domain.lateNodes)
            std::cout << ", late: " << lateNode;
        std::cout << "\n";
    }
    return printReleases(*report);
}

ExitCode runRelease(const std::vector<std::string> &arguments)
{
    const std::string subcommand = arguments.empty() ? "list" : arguments[0];
    const std::string id = arguments.size() > 1 ? arguments[1] : "";
    const bool known = subcommand == "list" || subcommand == "show" || subcommand == "withdraw"
                       || subcommand == "wait";
    if (!known || (subcommand != "list" && id.empty()))
        return reportFailure(ExitCode::Usage,
                             "release takes: list | show ID | wait ID | withdraw ID");
    const std::optional<OperatorSessionOptions> options = sessionOptions(subcommand == "withdraw");
    if (!options.has_value())
        return ExitCode::Usage;
    OperatorSession session(*options);
    if (subcommand == "show")
        return showRelease(session, id);
    if (subcommand == "wait")
        return waitForRelease(session, id);
    if (subcommand == "withdraw") {
        const ConfigRecord record{
                .header = newHeader(FLAGS_operator),
                .body = ReleaseWithdrawRecord{.release = id, .reason = FLAGS_reason}};
        return submitAndWait(session, record, "the withdrawal of " + id);
    }
    const absl::StatusOr<MeshReport> report = session.report();
    return report.ok() ? printReleases(*report) : reportFailure(report.status());
}

ExitCode runDomain(const std::vector<std::string> &arguments)
{
    const bool valid =
            arguments.size() == 2 && (arguments[0] == "take-out" || arguments[0] == "bring-back");
    if (!valid)
        return reportFailure(ExitCode::Usage, "domain takes: take-out DOMAIN | bring-back DOMAIN");
    const std::optional<OperatorSessionOptions> options = sessionOptions(true);
    if (!options.has_value())
        return ExitCode::Usage;
    OperatorSession session(*options);
    const absl::StatusOr<ConfigState> state = session.configuration();
    if (!state.ok())
        return reportFailure(state.status());
    const bool out = arguments[0] == "take-out";
    const std::string &domain = arguments[1];
    if (state->isDomainTakenOut(domain) == out) {
        std::cout << domain << " is " << (out ? "out" : "in service") << " already\n";
        return ExitCode::Ok;
    }
    const auto found = state->domains().find(domain);
    const std::uint64_t baseRevision = found == state->domains().end() ? 0 : found->second.revision;
    const ConfigRecord record{.header = newHeader(FLAGS_operator),
                              .body = DomainAvailabilityRecord{
                                      .domain = domain, .out = out, .baseRevision = baseRevision}};
    return submitAndWait(session, record, joinText(arguments[0], " ", domain));
}

ExitCode runReport(const std::vector<std::string> &)
{
    const std::optional<OperatorSessionOptions> options = sessionOptions(false);
    if (!options.has_value())
        return ExitCode::Usage;
    const absl::StatusOr<std::chrono::milliseconds> window = parseDuration(FLAGS_window);
    if (!window.ok())
        return reportFailure(ExitCode::Usage,
                             "--window: " + std::string(window.status().message()));
    OperatorSession session(*options);
    absl::StatusOr<MeshReport> report = session.report();
    if (!report.ok())
        return reportFailure(report.status());
    const std::int64_t windowStart =
            unixMilliseconds(std::chrono::system_clock::now()) - window->count();
    std::erase_if(report->releases, [windowStart](const ReleaseReport &release) {
        const bool ended = release.release.endedAt != 0;
        return ended && release.release.endedAt < windowStart;
    });
    if (FLAGS_output == "json") {
        json list = json::array();
        for (const ReleaseReport &release : report->releases)
            list.push_back(release.release);
        std::cout << list.dump(2) << "\n";
        return ExitCode::Ok;
    }
    for (const DomainReport &domain : report->domains) {
        if (domain.takenOut)
            std::cout << "failure domain " << domain.domain << " is out of service\n";
    }
    return printReleases(*report);
}

} // namespace jacinthshift
