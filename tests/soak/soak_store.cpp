#include "tests/soak/soak_store.h"

#include <algorithm>

#include <glib.h>
#include <nlohmann/json.hpp>

#include "core/text.h"
#include "platform/wire_names.h"

namespace jacinthshift {

namespace {

using nlohmann::json;

constexpr int StatusNotFound = 404;
constexpr int StatusGone = 410;
constexpr int StatusPreconditionFailed = 412;
constexpr int StatusUnavailable = 503;
constexpr std::size_t LengthBytes = 4;
constexpr std::size_t OffsetBytes = 8;

std::string bigEndian(std::uint64_t number, std::size_t bytes)
{
    std::string text(bytes, '\0');
    for (std::size_t i = 0; i < bytes; ++i)
        text[bytes - 1 - i] = static_cast<char>(number >> 8 * i & 0xFFU);
    return text;
}

std::string queryParameter(const std::string &target, const std::string &name)
{
    const std::size_t query = target.find('?');
    if (query == std::string::npos)
        return {};
    GHashTable *table =
            g_uri_parse_params(target.c_str() + query + 1, -1, "&", G_URI_PARAMS_NONE, nullptr);
    if (table == nullptr)
        return {};
    const char *found = static_cast<const char *>(g_hash_table_lookup(table, name.c_str()));
    std::string value = found == nullptr ? "" : found;
    g_hash_table_unref(table);
    return value;
}

std::uint64_t queryNumber(const std::string &target, const std::string &name)
{
    std::uint64_t number = 0;
    parseNumber(queryParameter(target, name), number);
    return number;
}

std::string base64(const std::string &text)
{
    gchar *encoded = g_base64_encode(reinterpret_cast<const guchar *>(text.data()), text.size());
    std::string result(encoded);
    g_free(encoded);
    return result;
}

} // namespace

absl::Status SoakStore::listen(const Endpoint &endpoint)
{
    return m_server.listen(
            endpoint, [this](const HttpRequest &request, const ResponderPointer &responder) {
                if (m_down) {
                    responder->respond(HttpResponse{.status = StatusUnavailable});
                    return;
                }
                if (m_delay.count() == 0) {
                    serve(request, responder);
                    return;
                }
                m_delayTimers.emplace_back(m_timers,
                                           m_timers.startOnce(m_delay, [this, request, responder] {
                                               serve(request, responder);
                                           }));
            });
}

void SoakStore::serve(const HttpRequest &request, const ResponderPointer &responder)
{
    if (request.target.starts_with(wire::AppendPath))
        append(request, responder);
    else if (request.target.starts_with(wire::ReadPath))
        read(request, responder);
    else if (request.target.starts_with(wire::ReadNewestPath))
        newest(request, responder);
    else
        responder->respond(HttpResponse{.status = StatusNotFound});
}

void SoakStore::addRecord(Table &table, const std::string &key, const std::string &value)
{
    if (value.empty())
        table.newest.erase(key);
    else
        table.newest[key] = NewestValue{.value = value, .offset = table.end()};
    table.records.push_back(Record{.key = key, .value = value});
}

void SoakStore::append(const HttpRequest &request, const ResponderPointer &responder)
{
    Table &table = m_tables[queryParameter(request.target, "topic")];
    const std::string expected = queryParameter(request.target, "at");
    if (!expected.empty() && expected != std::to_string(table.end())) {
        responder->respond(HttpResponse{.status = StatusPreconditionFailed,
                                        .body = json{{"end", table.end()}}.dump()});
        return;
    }
    const std::uint64_t offset = table.end();
    std::string_view body = request.body;
    while (body.size() > LengthBytes) {
        std::size_t size = 0;
        for (const char c : body.substr(0, LengthBytes))
            size = size << 8U | static_cast<unsigned char>(c);
        body.remove_prefix(LengthBytes);
        const std::string_view content = body.substr(0, size);
        const std::size_t keyBytes = static_cast<unsigned char>(content.front());
        addRecord(table, std::string(content.substr(1, keyBytes)),
                  std::string(content.substr(1 + keyBytes)));
        body.remove_prefix(content.size());
    }
    if (m_loseAnswers)
        m_unanswered.push_back(responder);
    else
        responder->respond(
                HttpResponse{.body = json{{"offset", offset}, {"end", table.end()}}.dump()});
    answerPendingReads();
}

bool SoakStore::answerRead(const PendingRead &pendingRead, bool answerIfEmpty)
{
    const Table &table = m_tables[pendingRead.table];
    if (pendingRead.from < table.firstOffset) {
        pendingRead.responder->respond(HttpResponse{
                .status = StatusGone, .body = json{{"first", table.firstOffset}}.dump()});
        return true;
    }
    if (pendingRead.from >= table.end() && !answerIfEmpty)
        return false;
    std::string body =
            bigEndian(table.end(), OffsetBytes) + bigEndian(table.firstOffset, OffsetBytes);
    for (std::uint64_t offset = pendingRead.from; offset < table.end(); ++offset) {
        const Record &record = table.records[offset - table.firstOffset];
        body += bigEndian(1 + record.key.size() + record.value.size(), LengthBytes);
        body.push_back(static_cast<char>(record.key.size()));
        body += record.key + record.value;
    }
    pendingRead.responder->respond(HttpResponse{.body = body});
    return true;
}

void SoakStore::read(const HttpRequest &request, const ResponderPointer &responder)
{
    const std::shared_ptr<PendingRead> pendingRead = std::make_shared<PendingRead>();
    pendingRead->table = queryParameter(request.target, "topic");
    pendingRead->from = queryNumber(request.target, "from");
    pendingRead->responder = responder;
    const std::chrono::milliseconds wait(queryNumber(request.target, "waitMs"));
    if (answerRead(*pendingRead, wait.count() == 0))
        return;
    const std::weak_ptr<PendingRead> weak = pendingRead;
    pendingRead->timeoutTimer = Timer(m_timers, m_timers.startOnce(wait, [this, weak] {
        const std::shared_ptr<PendingRead> expired = weak.lock();
        answerRead(*expired, true);
        std::erase(m_pendingReads, expired);
    }));
    m_pendingReads.push_back(pendingRead);
}

void SoakStore::answerPendingReads()
{
    std::erase_if(m_pendingReads,
                  [this](const auto &pendingRead) { return answerRead(*pendingRead, false); });
}

void SoakStore::newest(const HttpRequest &request, const ResponderPointer &responder)
{
    const Table &table = m_tables[queryParameter(request.target, "topic")];
    json items = json::array();
    for (const auto &[key, record] : table.newest)
        items.push_back(
                json{{"key", key}, {"value", base64(record.value)}, {"offset", record.offset}});
    const json page{{"items", items}, {"more", false}, {"end", table.end()}};
    responder->respond(HttpResponse{.body = page.dump()});
}

void SoakStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    addRecord(m_tables[table], key, value);
    answerPendingReads();
}

std::string SoakStore::value(const std::string &table, const std::string &key) const
{
    const auto foundTable = m_tables.find(table);
    if (foundTable == m_tables.end())
        return {};
    const auto found = foundTable->second.newest.find(key);
    return found == foundTable->second.newest.end() ? "" : found->second.value;
}

void SoakStore::discardHistory()
{
    for (auto &[name, table] : m_tables) {
        table.firstOffset = table.end();
        table.records.clear();
    }
}

} // namespace jacinthshift
