#include "modules/config/answers.h"

#include <algorithm>
#include <set>

#include "core/duration.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::chrono::hours DefaultFinishWithin{8};
constexpr std::chrono::seconds MinFinishWithin{5};
constexpr std::chrono::minutes MinWatchPeriod{1};
constexpr std::chrono::seconds DefaultRouteTimeout{1};
// Percentage of the time limit that the bake times of all stages take together. The rest is left
// for stages that wait for their minimum of requests at a low request rate.
constexpr int BakePercent = 50;

RouteSpec readRoute(YamlSection &section)
{
    RouteSpec route;
    route.prefix = section.text("path");
    if (!route.prefix.empty() && route.prefix.front() != '/')
        section.addProblem("path", "path must start with '/'");
    route.methods = section.stringList("methods");
    route.idempotent = section.flag("idempotent", false);
    route.timeout = section.duration("timeout", DefaultRouteTimeout);
    section.reportUnknownKeys();
    return route;
}

ServiceAnswers readService(YamlSection &section)
{
    ServiceAnswers answers;
    answers.spec.name = section.text("name");
    answers.spec.version = section.text("version");
    answers.spec.needs = section.stringList("needs");
    answers.care =
            static_cast<CareLevel>(section.choice("care", {"immediate", "careful", "cautious"},
                                                  static_cast<std::size_t>(CareLevel::Careful)));
    answers.finishWithin = section.duration("finish_within", DefaultFinishWithin);
    if (answers.finishWithin < MinFinishWithin)
        section.addProblem("finish_within", joinText("finish_within must be at least ",
                                                     formatDuration(MinFinishWithin)));
    answers.thinEvidence = static_cast<ThinEvidence>(
            section.choice("thin_evidence", {"finish", "withdraw"},
                           static_cast<std::size_t>(ThinEvidence::Finish)));
    for (YamlSection &route : section.sections("routes"))
        answers.spec.routes.push_back(readRoute(route));
    section.reportUnknownKeys();
    const absl::Status status = validateServiceSpec(answers.spec);
    if (!status.ok() && !answers.spec.name.empty())
        section.addProblem("name", std::string(status.message()));
    return answers;
}

/** Reports services that are listed twice and needs that refer to no listed service. */
void checkServiceReferences(std::vector<YamlSection> &sections, const Answers &answers)
{
    std::set<std::string> names;
    for (std::size_t i = 0; i < answers.services.size(); ++i) {
        if (!names.insert(answers.services[i].spec.name).second)
            sections[i].addProblem("name", joinText("service ", answers.services[i].spec.name,
                                                    " is given twice; rename or remove one"));
    }
    for (std::size_t i = 0; i < answers.services.size(); ++i) {
        for (const std::string &need : answers.services[i].spec.needs) {
            if (!names.contains(need))
                sections[i].addProblem("needs",
                                       joinText("service ", answers.services[i].spec.name,
                                                " needs ", need,
                                                ", which these answers do not describe; add it "
                                                "under services or remove the need"));
        }
    }
}

/** Returns the candidate's share of the traffic in each stage, in thousandths. */
std::vector<std::uint32_t> stageShares(CareLevel care)
{
    if (care == CareLevel::Careful)
        return {10, 50, 250, FullShare};
    return {5, 20, 50, 100, 250, 500, FullShare};
}

} // namespace

std::string questionnaireText()
{
    return R"(# jacinthshift questionnaire. Fill it in, then run: jacinthshift check --answers FILE

# The name of your team; it is recorded as the author of what you publish.
team: example

# The failure domains in which your backend servers run.
failure_domains: [domain-1, domain-2]

services:
  # One entry for each service.
  - name: bookings
    # The version label that its backend servers announce. Change it to release a new version.
    version: v1
    # The services that it calls. Each must be described here too.
    needs: []
    # How carefully a change should reach callers:
    #   immediate  at once, to everybody
    #   careful    1 %, 5 %, 25 %, then everybody
    #   cautious   seven stages from 0.5 %
    care: careful
    # By when a change must be finished or withdrawn, counted from its publication.
    finish_within: 8h
    # What to do at that time if there were too few requests to judge the change: finish or
    # withdraw.
    thin_evidence: finish
    routes:
      # The longest path that matches a request is used. No methods means any method.
      - path: /
        methods: [GET]
        # Whether a request may safely run twice. If in doubt, say false.
        idempotent: true
        # How long a caller may have to wait.
        timeout: 500ms
)";
}

Answers readAnswers(const std::string &file, Problems &problems)
{
    Answers answers;
    const YAML::Node root = loadYamlFile(file, problems);
    if (!root.IsDefined())
        return answers;
    YamlSection section(root, file, "the answers", problems);
    answers.team = section.text("team");
    answers.failureDomains = section.stringList("failure_domains");
    if (answers.failureDomains.empty())
        section.addProblem("failure_domains", "name at least one failure domain");
    for (const std::string &domain : answers.failureDomains) {
        if (!isValidName(domain))
            section.addProblem("failure_domains",
                               joinText("failure domain '", domain,
                                        "' must be 1 to 63 of a-z, 0-9, '-' and '.'"));
    }
    std::vector<YamlSection> services = section.sections("services");
    for (YamlSection &service : services)
        answers.services.push_back(readService(service));
    if (services.empty())
        section.addProblem("services", "describe at least one service");
    checkServiceReferences(services, answers);
    section.reportUnknownKeys();
    return answers;
}

ReleasePlan planForCare(CareLevel care, std::chrono::milliseconds finishWithin,
                        ThinEvidence thinEvidence)
{
    ReleasePlan plan;
    if (care == CareLevel::Immediate)
        return plan;
    constexpr std::uint32_t CarefulMinSamples = 30;
    constexpr std::uint32_t CautiousMinSamples = 100;
    const std::vector<std::uint32_t> shares = stageShares(care);
    const std::int64_t stageCount = static_cast<std::int64_t>(shares.size());
    for (const std::uint32_t share : shares) {
        plan.stages.push_back(ReleaseStage{
                .share = share,
                .bakeTime = finishWithin * BakePercent / 100 / stageCount,
                .minSamples = care == CareLevel::Careful ? CarefulMinSamples : CautiousMinSamples});
    }
    plan.finishWithin = finishWithin;
    plan.watchPeriod = std::max<std::chrono::milliseconds>(finishWithin / 4, MinWatchPeriod);
    plan.thinEvidence = thinEvidence;
    return plan;
}

} // namespace jacinthshift
