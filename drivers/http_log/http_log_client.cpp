#include "drivers/http_log/http_log_client.h"

#include <utility>

#include <nlohmann/json.hpp>

#include "core/text.h"
#include "servers/http_client.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

absl::StatusOr<std::uint64_t> parseAppendResponse(const HttpResult &result)
{
    if (result.verdict == Verdict::NotRun)
        return absl::UnavailableError("the platform's log cannot be reached");
    if (result.verdict == Verdict::MayHaveRun)
        return absl::UnknownError("no answer from the platform's log to an append");
    const int status = result.response.status;
    // With these statuses the record was certainly not appended.
    if (status == 503 || status == 429 || (status >= 400 && status < 500))
        return absl::UnavailableError(
                joinText("the platform's log refused an append with status ", status));
    const json body = json::parse(result.response.body.string(), nullptr, false);
    if (status != 200 || !body.is_object() || !body.contains("offset")
        || !body["offset"].is_number_unsigned())
        return absl::UnknownError("the platform's log sent a malformed response to an append");
    return body["offset"].get<std::uint64_t>();
}

absl::StatusOr<LogPage> parseReadResponse(const HttpResult &result)
{
    if (result.verdict != Verdict::Done)
        return absl::UnavailableError("the platform's log cannot be reached");
    if (result.response.status != 200)
        return absl::UnavailableError(
                joinText("the platform's log refused a read with status ", result.response.status));
    const json body = json::parse(result.response.body.string(), nullptr, false);
    try {
        LogPage page;
        page.firstOffset = body.at("first").get<std::uint64_t>();
        page.nextOffset = body.at("next").get<std::uint64_t>();
        for (const json &record : body.at("records")) {
            page.records.push_back(LogRecord{.offset = record.at("offset").get<std::uint64_t>(),
                                             .payload = record.at("payload").get<std::string>()});
        }
        return page;
    } catch (const json::exception &error) {
        return absl::DataLossError(
                joinText("the platform's log sent a malformed response to a read: ", error.what()));
    }
}

} // namespace

void HttpLogClient::append(const std::string &stream, const std::string &payload,
                           AppendCallback callback)
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/streams/" + stream + "/records";
    request.headers = {{.name = "Content-Type", .value = "application/octet-stream"}};
    request.body = payload;
    m_http.send(HttpSendOptions{.server = m_options.server, .timeout = m_options.timeout}, request,
                [callback = std::move(callback)](const HttpResult &result) {
                    callback(parseAppendResponse(result));
                });
}

void HttpLogClient::read(const LogReadRequest &request, ReadCallback callback)
{
    HttpRequest httpRequest;
    httpRequest.target =
            joinText("/streams/", request.stream, "/records?from=", request.fromOffset,
                     "&max=", request.maxRecords, "&wait_ms=", request.maxWait.count());
    m_http.send(HttpSendOptions{.server = m_options.server,
                                .timeout = m_options.timeout + request.maxWait},
                httpRequest, [callback = std::move(callback)](const HttpResult &result) {
                    callback(parseReadResponse(result));
                });
}

} // namespace jacinthshift
