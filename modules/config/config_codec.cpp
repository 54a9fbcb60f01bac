#include "modules/config/config_codec.h"

#include "core/hash.h"
#include "core/text.h"
#include "modules/config/config_json.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

// Encoders for the six record bodies. The field "type" identifies the body.
json encodeBody(const PublishRecord &publish)
{
    return json{{"type", "publish"},
                {"changes", publish.changes},
                {"removals", publish.removals},
                {"plan", publish.plan}};
}

json encodeBody(const ReleaseStepRecord &step)
{
    return json{{"type", "release_step"}, {"release", step.release}, {"stage", step.stage}};
}

json encodeBody(const ReleaseFinishRecord &finish)
{
    return json{{"type", "release_finish"}, {"release", finish.release}};
}

json encodeBody(const ReleaseCloseRecord &close)
{
    return json{{"type", "release_close"}, {"release", close.release}};
}

json encodeBody(const ReleaseWithdrawRecord &withdraw)
{
    return json{{"type", "release_withdraw"},
                {"release", withdraw.release},
                {"reason", withdraw.reason}};
}

json encodeBody(const DomainAvailabilityRecord &availability)
{
    return json{{"type", availability.out ? "domain_out" : "domain_in"},
                {"domain", availability.domain},
                {"base", availability.baseRevision}};
}

RecordBody decodeBody(const json &source)
{
    const std::string type = source.at("type").get<std::string>();
    if (type == "publish") {
        PublishRecord publish;
        source.at("changes").get_to(publish.changes);
        source.at("removals").get_to(publish.removals);
        source.at("plan").get_to(publish.plan);
        return publish;
    }
    if (type == "domain_out" || type == "domain_in")
        return DomainAvailabilityRecord{.domain = source.at("domain").get<std::string>(),
                                        .out = type == "domain_out",
                                        .baseRevision = source.at("base").get<std::uint64_t>()};
    const std::string release = source.at("release").get<std::string>();
    if (type == "release_step")
        return ReleaseStepRecord{.release = release,
                                 .stage = source.at("stage").get<std::uint32_t>()};
    if (type == "release_finish")
        return ReleaseFinishRecord{.release = release};
    if (type == "release_close")
        return ReleaseCloseRecord{.release = release};
    if (type == "release_withdraw")
        return ReleaseWithdrawRecord{.release = release,
                                     .reason = source.at("reason").get<std::string>()};
    throw json::other_error::create(501, "unknown record type '" + type + "'", &source);
}

} // namespace

std::string ConfigCodec::encodeRecord(const ConfigRecord &record)
{
    json object = std::visit([](const auto &body) { return encodeBody(body); }, record.body);
    object["header"] = record.header;
    return object.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<ConfigRecord> ConfigCodec::decodeRecord(const std::string &text)
{
    if (text.size() > MaxRecordBytes)
        return absl::InvalidArgumentError(joinText(
                "the record has ", text.size(), " bytes, more than the limit of ", MaxRecordBytes));
    try {
        const json source = json::parse(text);
        ConfigRecord record;
        source.at("header").get_to(record.header);
        if (record.header.format > RecordFormat)
            return absl::InvalidArgumentError(
                    joinText("the record has format ", record.header.format,
                             "; this program understands formats up to ", RecordFormat));
        if (record.header.id.empty())
            return absl::InvalidArgumentError("the record has no id");
        record.body = decodeBody(source);
        return record;
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(joinText("the record is malformed: ", error.what()));
    }
}

std::string ConfigCodec::encodeSnapshot(const ConfigState &state)
{
    const json content = json{{"version", state.m_version},   {"chain", state.m_chainHash},
                              {"services", state.m_services}, {"releases", state.m_releases},
                              {"domains", state.m_domains},   {"outcomes", state.m_outcomes}};
    const std::string text = content.dump(-1, ' ', false, json::error_handler_t::replace);
    return joinText(R"({"format":1,"hash":")", formatHash(stableHash(text)), R"(","state":)", text,
                    "}");
}

absl::StatusOr<ConfigState> ConfigCodec::decodeSnapshot(const std::string &text)
{
    if (text.size() > MaxSnapshotBytes)
        return absl::InvalidArgumentError("the snapshot exceeds the size limit");
    try {
        const json source = json::parse(text);
        if (source.at("format").get<int>() > RecordFormat)
            return absl::InvalidArgumentError("the snapshot has a newer format");
        const json &content = source.at("state");
        if (formatHash(stableHash(content.dump())) != source.at("hash").get<std::string>())
            return absl::DataLossError("the snapshot does not match its hash");
        ConfigState state;
        content.at("version").get_to(state.m_version);
        content.at("chain").get_to(state.m_chainHash);
        content.at("services").get_to(state.m_services);
        content.at("releases").get_to(state.m_releases);
        content.at("domains").get_to(state.m_domains);
        content.at("outcomes").get_to(state.m_outcomes);
        for (const RecordOutcome &outcome : state.m_outcomes)
            state.m_outcomeOffsets[outcome.id] = outcome.offset;
        return state;
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(joinText("the snapshot is malformed: ", error.what()));
    }
}

} // namespace jacinthshift
