#include "modules/config/config_json.h"

#include <array>

namespace jacinthshift {

namespace {

using nlohmann::json;

std::chrono::milliseconds millisecondsAt(const json &source, const char *key)
{
    return std::chrono::milliseconds(source.at(key).get<std::int64_t>());
}

json specOrNull(const ServiceSpecPointer &spec)
{
    return spec == nullptr ? json() : json(*spec);
}

ServiceSpecPointer specFrom(const json &source)
{
    return source.is_null() ? nullptr
                            : std::make_shared<const ServiceSpec>(source.get<ServiceSpec>());
}

constexpr std::array<ReleaseStatus, 4> Statuses = {ReleaseStatus::Open, ReleaseStatus::Finished,
                                                   ReleaseStatus::Closed, ReleaseStatus::Withdrawn};

} // namespace

std::string releaseStatusName(ReleaseStatus status)
{
    switch (status) {
    case ReleaseStatus::Open:
        return "open";
    case ReleaseStatus::Finished:
        return "finished";
    case ReleaseStatus::Closed:
        return "closed";
    case ReleaseStatus::Withdrawn:
        return "withdrawn";
    }
    return "open";
}

void to_json(json &target, const RouteSpec &route)
{
    target = json{{"prefix", route.prefix},
                  {"methods", route.methods},
                  {"idempotent", route.idempotent},
                  {"timeout_ms", route.timeout.count()}};
}

void from_json(const json &source, RouteSpec &route)
{
    source.at("prefix").get_to(route.prefix);
    source.at("methods").get_to(route.methods);
    source.at("idempotent").get_to(route.idempotent);
    route.timeout = millisecondsAt(source, "timeout_ms");
}

void to_json(json &target, const ServiceSpec &spec)
{
    target = json{{"name", spec.name},
                  {"version", spec.version},
                  {"needs", spec.needs},
                  {"routes", spec.routes}};
}

void from_json(const json &source, ServiceSpec &spec)
{
    source.at("name").get_to(spec.name);
    source.at("version").get_to(spec.version);
    source.at("needs").get_to(spec.needs);
    source.at("routes").get_to(spec.routes);
}

void to_json(json &target, const ReleasePlan &plan)
{
    json stages = json::array();
    for (const ReleaseStage &stage : plan.stages) {
        stages.push_back(json{{"share", stage.share},
                              {"bake_ms", stage.bakeTime.count()},
                              {"min_samples", stage.minSamples}});
    }
    target = json{
            {"stages", stages},
            {"finish_within_ms", plan.finishWithin.count()},
            {"watch_ms", plan.watchPeriod.count()},
            {"thin_evidence", plan.thinEvidence == ThinEvidence::Finish ? "finish" : "withdraw"}};
}

void from_json(const json &source, ReleasePlan &plan)
{
    for (const json &stage : source.at("stages")) {
        plan.stages.push_back(
                ReleaseStage{.share = stage.at("share").get<std::uint32_t>(),
                             .bakeTime = millisecondsAt(stage, "bake_ms"),
                             .minSamples = stage.at("min_samples").get<std::uint32_t>()});
    }
    plan.finishWithin = millisecondsAt(source, "finish_within_ms");
    plan.watchPeriod = millisecondsAt(source, "watch_ms");
    plan.thinEvidence = source.at("thin_evidence").get<std::string>() == "withdraw"
                                ? ThinEvidence::Withdraw
                                : ThinEvidence::Finish;
}

void to_json(json &target, const Release &release)
{
    target = json{{"id", release.id},
                  {"author", release.author},
                  {"services", release.services},
                  {"plan", release.plan},
                  {"stage", release.stage},
                  {"status", releaseStatusName(release.status)},
                  {"started_at", release.startedAt},
                  {"stage_started_at", release.stageStartedAt},
                  {"ended_at", release.endedAt},
                  {"reason", release.reason}};
}

void from_json(const json &source, Release &release)
{
    source.at("id").get_to(release.id);
    source.at("author").get_to(release.author);
    source.at("services").get_to(release.services);
    source.at("plan").get_to(release.plan);
    source.at("stage").get_to(release.stage);
    const std::string status = source.at("status").get<std::string>();
    for (const ReleaseStatus candidate : Statuses) {
        if (releaseStatusName(candidate) == status)
            release.status = candidate;
    }
    source.at("started_at").get_to(release.startedAt);
    source.at("stage_started_at").get_to(release.stageStartedAt);
    source.at("ended_at").get_to(release.endedAt);
    source.at("reason").get_to(release.reason);
}

void to_json(json &target, const ServiceEntry &entry)
{
    target = json{{"stable", specOrNull(entry.stable)}, {"candidate", specOrNull(entry.candidate)},
                  {"release", entry.release},           {"removing", entry.removing},
                  {"revision", entry.revision},         {"changed_by", entry.changedBy}};
}

void from_json(const json &source, ServiceEntry &entry)
{
    entry.stable = specFrom(source.at("stable"));
    entry.candidate = specFrom(source.at("candidate"));
    source.at("release").get_to(entry.release);
    source.at("removing").get_to(entry.removing);
    source.at("revision").get_to(entry.revision);
    source.at("changed_by").get_to(entry.changedBy);
}

void to_json(json &target, const DomainEntry &entry)
{
    target =
            json{{"out", entry.out}, {"revision", entry.revision}, {"changed_by", entry.changedBy}};
}

void from_json(const json &source, DomainEntry &entry)
{
    source.at("out").get_to(entry.out);
    source.at("revision").get_to(entry.revision);
    source.at("changed_by").get_to(entry.changedBy);
}

void to_json(json &target, const RecordOutcome &outcome)
{
    target = json{{"id", outcome.id},
                  {"offset", outcome.offset},
                  {"accepted", outcome.accepted},
                  {"reason", outcome.reason}};
}

void from_json(const json &source, RecordOutcome &outcome)
{
    source.at("id").get_to(outcome.id);
    source.at("offset").get_to(outcome.offset);
    source.at("accepted").get_to(outcome.accepted);
    source.at("reason").get_to(outcome.reason);
}

void to_json(json &target, const RecordHeader &header)
{
    target = json{{"format", header.format},
                  {"id", header.id},
                  {"author", header.author},
                  {"at", header.at}};
}

void from_json(const json &source, RecordHeader &header)
{
    source.at("format").get_to(header.format);
    source.at("id").get_to(header.id);
    source.at("author").get_to(header.author);
    source.at("at").get_to(header.at);
}

void to_json(json &target, const ServiceChange &change)
{
    target = json{{"spec", change.spec}, {"base", change.baseRevision}};
}

void from_json(const json &source, ServiceChange &change)
{
    source.at("spec").get_to(change.spec);
    source.at("base").get_to(change.baseRevision);
}

void to_json(json &target, const ServiceRemoval &removal)
{
    target = json{{"name", removal.name}, {"base", removal.baseRevision}};
}

void from_json(const json &source, ServiceRemoval &removal)
{
    source.at("name").get_to(removal.name);
    source.at("base").get_to(removal.baseRevision);
}

} // namespace jacinthshift
