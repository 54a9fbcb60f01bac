#include "cli/operator_session.h"

#include <optional>
#include <random>

#include <glib.h>
#include <nlohmann/json.hpp>

#include "core/duration.h"
#include "core/text.h"
#include "drivers/glib/glib_timer_service.h"
#include "drivers/http_log/http_log_client.h"
#include "drivers/soup/soup_http_client.h"
#include "modules/config/config_codec.h"
#include "modules/config/config_json.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr const char *ConfigStream = "config";
constexpr std::chrono::milliseconds PollPeriod{50};
constexpr int StatusNotFound = 404;
constexpr int StatusOk = 200;

DomainReport parseDomainReport(const json &source)
{
    return DomainReport{.domain = source.at("domain").get<std::string>(),
                        .takenOut = source.at("out").get<bool>(),
                        .memberCount = source.at("members").get<std::uint32_t>(),
                        .reportedNodes = source.at("reported").get<std::uint32_t>(),
                        .oldestVersion = source.at("oldest").get<std::uint64_t>(),
                        .lateNodes = source.at("late").get<std::vector<std::string>>()};
}

MeshReport parseMeshReport(const std::string &text)
{
    const json source = json::parse(text);
    MeshReport report{.node = source.at("node").get<std::string>(),
                      .version = source.at("version").get<std::uint64_t>(),
                      .hash = source.at("hash").get<std::string>(),
                      .serving = source.at("serving").get<bool>(),
                      .json = text};
    for (const json &domain : source.at("domains"))
        report.domains.push_back(parseDomainReport(domain));
    for (const json &release : source.at("releases"))
        report.releases.push_back(ReleaseReport{.release = release.get<Release>(),
                                                .share = release.at("share").get<std::uint32_t>(),
                                                .braked = release.at("braked").get<bool>()});
    return report;
}

} // namespace

struct OperatorSession::State
{
    OperatorSessionOptions options;
    GlibTimerService timers;
    SoupHttpClient http{SoupHttpClientOptions{}};
    HttpLogClient log;

    explicit State(const OperatorSessionOptions &sessionOptions)
        : options(sessionOptions)
        , log(HttpLogClientOptions{.server = options.log, .timeout = options.timeout}, http)
    {
    }
};

OperatorSession::OperatorSession(const OperatorSessionOptions &options)
    : m_state(std::make_unique<State>(options))
{
}

OperatorSession::~OperatorSession() = default;

const ReleaseReport *MeshReport::findRelease(const std::string &id) const
{
    for (const ReleaseReport &release : releases) {
        if (release.release.id == id)
            return &release;
    }
    return nullptr;
}

void OperatorSession::pause(std::chrono::milliseconds time)
{
    bool elapsed = false;
    const Timer timer(m_state->timers,
                      m_state->timers.startOnce(time, [&elapsed] { elapsed = true; }));
    while (!elapsed)
        g_main_context_iteration(nullptr, TRUE);
}

absl::StatusOr<std::string> OperatorSession::get(const std::string &target)
{
    std::optional<HttpResult> result;
    m_state->http.send(
            HttpSendOptions{.server = m_state->options.node, .timeout = m_state->options.timeout},
            HttpRequest{.target = target},
            [&result](HttpResult answer) { result = std::move(answer); });
    while (!result.has_value())
        g_main_context_iteration(nullptr, TRUE);
    if (result->verdict != Verdict::Done)
        return absl::UnavailableError(
                joinText("the node at ", m_state->options.node.text(), " does not answer"));
    if (result->response.status == StatusNotFound)
        return absl::NotFoundError(result->response.body.string());
    if (result->response.status != StatusOk)
        return absl::InternalError(
                joinText("the node answered with status ", result->response.status));
    return result->response.body;
}

absl::StatusOr<ConfigState> OperatorSession::configuration()
{
    const absl::StatusOr<std::string> text = get("/config");
    if (!text.ok())
        return text.status();
    return ConfigCodec::decodeSnapshot(*text);
}

absl::StatusOr<MeshReport> OperatorSession::report()
{
    const absl::StatusOr<std::string> text = get("/status");
    if (!text.ok())
        return text.status();
    try {
        return parseMeshReport(*text);
    } catch (const json::exception &error) {
        return absl::InternalError(joinText("cannot parse the node's report: ", error.what()));
    }
}

absl::StatusOr<RecordOutcome> OperatorSession::outcome(const std::string &recordId)
{
    const absl::StatusOr<std::string> text = get("/outcome?id=" + recordId);
    if (!text.ok())
        return text.status();
    try {
        return json::parse(*text).get<RecordOutcome>();
    } catch (const json::exception &error) {
        return absl::InternalError(joinText("cannot parse the node's answer: ", error.what()));
    }
}

absl::StatusOr<RecordOutcome> OperatorSession::submit(const ConfigRecord &record,
                                                      std::chrono::milliseconds within)
{
    std::optional<absl::StatusOr<std::uint64_t>> appended;
    m_state->log.append(
            ConfigStream, ConfigCodec::encodeRecord(record),
            [&appended](absl::StatusOr<std::uint64_t> offset) { appended = std::move(offset); });
    while (!appended.has_value())
        g_main_context_iteration(nullptr, TRUE);
    if (absl::IsUnavailable(appended->status()))
        return appended->status();
    const SteadyTime deadline = m_state->timers.now() + within;
    while (m_state->timers.now() < deadline) {
        absl::StatusOr<RecordOutcome> found = outcome(record.header.id);
        if (found.ok())
            return found;
        pause(PollPeriod);
    }
    if (appended->ok())
        return absl::DeadlineExceededError(
                joinText("the record is at offset ", **appended, " of the log, but the node at ",
                         m_state->options.node.text(), " has not applied it yet"));
    return absl::UnknownError(joinText("the log did not confirm the append of record ",
                                       record.header.id,
                                       "; it may or may not be in the log. Run the command again: "
                                       "it does nothing if the record took effect"));
}

std::string newRecordId(const std::string &author)
{
    std::random_device device;
    return joinText(author, "-", unixMilliseconds(std::chrono::system_clock::now()), "-",
                    device() % 1'000'000);
}

} // namespace jacinthshift
