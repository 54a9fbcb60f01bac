#include "node/local_api.h"

#include <nlohmann/json.hpp>

#include "core/hash.h"
#include "core/logger.h"
#include "core/text.h"
#include "modules/backend/backend_agent.h"
#include "modules/config/config_json.h"
#include "modules/distribution/config_store.h"
#include "modules/distribution/distributor.h"
#include "modules/distribution/status_collector.h"
#include "modules/mesh/peer_network.h"
#include "modules/release/release_controller.h"
#include "modules/routing/link_owner_client.h"
#include "modules/routing/router.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr int StatusBadRequest = 400;
constexpr int StatusNotFound = 404;

HttpResponse jsonResponse(int status, const json &body)
{
    return HttpResponse{.status = status,
                        .headers = {{.name = "Content-Type", .value = "application/json"}},
                        .body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse errorResponse(int status, const std::string &message)
{
    return jsonResponse(status, json{{"error", message}});
}

absl::StatusOr<BackendAnnouncement> parseAnnouncement(const std::string &body)
{
    try {
        const json source = json::parse(body);
        BackendAnnouncement announcement;
        source.at("service").get_to(announcement.service);
        source.at("version").get_to(announcement.version);
        announcement.instance = source.value("instance", "");
        announcement.slots = source.at("slots").get<std::uint32_t>();
        const absl::StatusOr<Endpoint> endpoint =
                parseEndpoint(source.at("address").get<std::string>());
        if (!endpoint.ok())
            return endpoint.status();
        announcement.endpoint = *endpoint;
        const std::string state = source.value("state", "ready");
        if (state != "ready" && state != "leaving")
            return absl::InvalidArgumentError("state must be ready or leaving");
        announcement.state = state == "ready" ? BackendState::Ready : BackendState::Leaving;
        return announcement;
    } catch (const json::exception &error) {
        return absl::InvalidArgumentError(joinText("malformed announcement: ", error.what()));
    }
}

json domainJson(const DomainStatus &status, bool takenOut)
{
    return json{{"domain", status.domain},        {"out", takenOut},
                {"members", status.members},      {"reported", status.reportedNodes},
                {"oldest", status.oldestVersion}, {"late", status.lateNodes}};
}

} // namespace

void LocalApi::handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder)
{
    static const std::string outcomePrefix = "/outcome?id=";
    const std::string &target = request.target;
    if (request.method == "POST" && target == "/announce")
        responder->respond(announce(request));
    else if (target == "/status")
        status(responder);
    else if (target == "/config")
        responder->respond(
                HttpResponse{.headers = {{.name = "Content-Type", .value = "application/json"}},
                             .body = m_components.configStore.snapshot()});
    else if (target.rfind(outcomePrefix, 0) == 0)
        responder->respond(outcome(target.substr(outcomePrefix.size())));
    else if (target == "/members")
        responder->respond(members());
    else if (target == "/metrics")
        responder->respond(metrics());
    else
        responder->respond(errorResponse(StatusNotFound, "no such resource"));
}

HttpResponse LocalApi::announce(const HttpRequest &request)
{
    const absl::StatusOr<BackendAnnouncement> announcement = parseAnnouncement(request.body);
    const absl::Status status =
            announcement.ok() ? m_components.agent.announce(*announcement) : announcement.status();
    if (status.ok())
        return jsonResponse(200, json{{"limit", m_components.agent.limit()}});
    const std::string reason(status.message());
    logEvent(Event::BackendRefused, {{"reason", reason}});
    return errorResponse(StatusBadRequest, reason);
}

HttpResponse LocalApi::outcome(const std::string &recordId) const
{
    const RecordOutcome *outcome = m_components.configStore.state().findOutcome(recordId);
    if (outcome == nullptr)
        return errorResponse(StatusNotFound, "no such record has been applied here");
    return jsonResponse(200, json(*outcome));
}

HttpResponse LocalApi::members() const
{
    json list = json::array();
    for (const MemberRecord &record : m_components.members.records()) {
        list.push_back(json{{"node", record.node},
                            {"domain", record.domain},
                            {"links", record.links.text()},
                            {"status", memberStatusName(record.status)},
                            {"backend", backendStateName(record.backend)},
                            {"service", record.service},
                            {"version", record.version},
                            {"slots", record.slots},
                            {"incarnation", record.incarnation},
                            {"sequence", record.sequence}});
    }
    return jsonResponse(200, list);
}

HttpResponse LocalApi::metrics() const
{
    const auto metricLine = [](const char *name, std::uint64_t value) {
        return joinText("jacinthshift_", name, " ", value, "\n");
    };
    std::string text;
    text += metricLine("config_version", m_components.configStore.version());
    text += metricLine("serving", m_components.configStore.mayServe() ? 1 : 0);
    text += metricLine("members", m_components.members.size());
    text += metricLine("links", m_components.network.linkCount());
    text += metricLine("link_sent_bytes_total", m_components.network.bytesSent());
    text += metricLine("link_received_bytes_total", m_components.network.bytesReceived());
    text += metricLine("link_call_bytes_total", m_components.network.callBytes());
    text += metricLine("requests_under_way", m_components.router.openRequests());
    text += metricLine("backend_in_flight", m_components.agent.inFlight());
    text += metricLine("backend_limit", m_components.agent.limit());
    text += metricLine("late_answers_total", m_components.ownerClient.lateAnswerCount());
    text += m_components.router.metrics().prometheusText();
    return HttpResponse{.headers = {{.name = "Content-Type", .value = "text/plain"}},
                        .body = std::move(text)};
}

void LocalApi::status(const std::shared_ptr<HttpResponder> &responder) const
{
    m_components.statusCollector.collect([this,
                                          responder](const std::vector<DomainStatus> &domains) {
        const ConfigState &state = m_components.configStore.state();
        json report;
        report["node"] = m_components.settings.node;
        report["domain"] = m_components.settings.domain;
        report["version"] = state.version();
        report["hash"] = formatHash(state.chainHash());
        report["floor"] = m_components.configStore.floor();
        report["serving"] = m_components.configStore.mayServe();
        report["reads_log"] = m_components.distributor.isReader();
        report["upstream"] = m_components.distributor.upstream();
        std::uint64_t backends = 0;
        for (const MemberRecord &record : m_components.members.records())
            backends += record.acceptsRequests() ? 1 : 0;
        report["backends"] = backends;
        report["domains"] = json::array();
        for (const DomainStatus &domain : domains)
            report["domains"].push_back(domainJson(domain, state.isDomainTakenOut(domain.domain)));
        report["releases"] = json::array();
        for (const auto &[id, release] : state.releases()) {
            json entry = release;
            entry["share"] = m_components.releases.candidateShare(release);
            entry["braked"] = m_components.releases.isBraked(id);
            report["releases"].push_back(entry);
        }
        responder->respond(jsonResponse(200, report));
    });
}

} // namespace jacinthshift
