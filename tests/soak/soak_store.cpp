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

std::string parameter(const std::string &target, const std::string &name)
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

std::uint64_t numberParameter(const std::string &target, const std::string &name)
{
    std::uint64_t number = 0;
    parseNumber(parameter(target, name), number);
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
    return m_server.listen(endpoint, [this](const HttpRequest &request,
                                            const ResponderPointer &responder) {
        if (m_down) {
            responder->respond(HttpResponse{.status = StatusUnavailable});
            return;
        }
        if (m_delay.count() == 0) {
            serve(request, responder);
            return;
        }
        m_delayed.emplace_back(m_timers, m_timers.startOnce(m_delay, [this, request, responder] {
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
    else if (request.target.starts_with(wire::NewestPath))
        newest(request, responder);
    else
        responder->respond(HttpResponse{.status = StatusNotFound});
}

void SoakStore::add(Table &table, const std::string &key, const std::string &value)
{
    if (value.empty())
        table.newest.erase(key);
    else
        table.newest[key] = Newest{.value = value, .offset = table.end()};
    table.records.push_back(Record{.key = key, .value = value});
}

void SoakStore::append(const HttpRequest &request, const ResponderPointer &responder)
{
    Table &table = m_tables[parameter(request.target, "topic")];
    const std::string expected = parameter(request.target, "at");
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
        add(table, std::string(content.substr(1, keyBytes)),
            std::string(content.substr(1 + keyBytes)));
        body.remove_prefix(content.size());
    }
    if (m_loseAnswers)
        m_lost.push_back(responder);
    else
        responder->respond(
                HttpResponse{.body = json{{"offset", offset}, {"end", table.end()}}.dump()});
    wakeReaders();
}

bool SoakStore::answerReader(const Reader &reader, bool atOnce)
{
    const Table &table = m_tables[reader.table];
    if (reader.from < table.first) {
        reader.responder->respond(
                HttpResponse{.status = StatusGone, .body = json{{"first", table.first}}.dump()});
        return true;
    }
    if (reader.from >= table.end() && !atOnce)
        return false;
    std::string body = bigEndian(table.end(), OffsetBytes) + bigEndian(table.first, OffsetBytes);
    for (std::uint64_t offset = reader.from; offset < table.end(); ++offset) {
        const Record &record = table.records[offset - table.first];
        body += bigEndian(1 + record.key.size() + record.value.size(), LengthBytes);
        body.push_back(static_cast<char>(record.key.size()));
        body += record.key + record.value;
    }
    reader.responder->respond(HttpResponse{.body = body});
    return true;
}

void SoakStore::read(const HttpRequest &request, const ResponderPointer &responder)
{
    const std::shared_ptr<Reader> reader = std::make_shared<Reader>();
    reader->table = parameter(request.target, "topic");
    reader->from = numberParameter(request.target, "from");
    reader->responder = responder;
    const std::chrono::milliseconds wait(numberParameter(request.target, "waitMs"));
    if (answerReader(*reader, wait.count() == 0))
        return;
    const std::weak_ptr<Reader> weak = reader;
    reader->limit = Timer(m_timers, m_timers.startOnce(wait, [this, weak] {
        const std::shared_ptr<Reader> late = weak.lock();
        answerReader(*late, true);
        std::erase(m_readers, late);
    }));
    m_readers.push_back(reader);
}

void SoakStore::wakeReaders()
{
    std::erase_if(m_readers, [this](const auto &reader) { return answerReader(*reader, false); });
}

void SoakStore::newest(const HttpRequest &request, const ResponderPointer &responder)
{
    const Table &table = m_tables[parameter(request.target, "topic")];
    json items = json::array();
    for (const auto &[key, record] : table.newest)
        items.push_back(
                json{{"key", key}, {"value", base64(record.value)}, {"offset", record.offset}});
    const json page{{"items", items}, {"more", false}, {"end", table.end()}};
    responder->respond(HttpResponse{.body = page.dump()});
}

void SoakStore::put(const std::string &table, const std::string &key, const std::string &value)
{
    add(m_tables[table], key, value);
    wakeReaders();
}

std::string SoakStore::value(const std::string &table, const std::string &key) const
{
    const auto foundTable = m_tables.find(table);
    if (foundTable == m_tables.end())
        return {};
    const auto found = foundTable->second.newest.find(key);
    return found == foundTable->second.newest.end() ? "" : found->second.value;
}

void SoakStore::forgetHistory()
{
    for (auto &[name, table] : m_tables) {
        table.first = table.end();
        table.records.clear();
    }
}

} // namespace jacinthshift
