#include "drivers/soup/soup_http_client.h"

#include <unordered_map>

#include <libsoup/soup.h>

#include "drivers/glib/glib_source.h"
#include "drivers/glib/gobject_pointer.h"

namespace jacinthshift {

namespace {

constexpr int MaxConnections = 256;

/** A request that is in flight. */
struct Exchange
{
    Exchange() = default;
    Exchange(const Exchange &) = delete;
    Exchange &operator=(const Exchange &) = delete;

    HttpCallId id = HttpCallId::None;
    HttpClient::Callback callback;
    GObjectPointer<SoupMessage> message;
    GObjectPointer<GCancellable> cancellable;
    GlibSource timeout;
    bool headersWritten = false;
    bool timedOut = false;

    ~Exchange()
    {
        if (message != nullptr)
            g_signal_handlers_disconnect_by_data(message.get(), this);
    }
};

} // namespace

struct SoupHttpClient::State
{
    SoupHttpClientOptions options;
    GObjectPointer<SoupSession> session;
    std::unordered_map<HttpCallId, std::unique_ptr<Exchange>> exchanges;
    std::uint64_t lastId = 0;

    void finish(HttpCallId id, HttpResult result)
    {
        const auto found = exchanges.find(id);
        if (found == exchanges.end())
            return;
        const std::unique_ptr<Exchange> exchange = std::move(found->second);
        exchanges.erase(found);
        exchange->callback(std::move(result));
    }
};

namespace {

/** The user data of libsoup's completion callback, which may run after the client is destroyed. */
struct Completion
{
    std::function<void(GBytes *, const GError *)> done;
};

void sendCompleted(GObject *session, GAsyncResult *result, gpointer data)
{
    const std::unique_ptr<Completion> completion(static_cast<Completion *>(data));
    GError *error = nullptr;
    GBytes *body = soup_session_send_and_read_finish(SOUP_SESSION(session), result, &error);
    completion->done(body, error);
    if (body != nullptr)
        g_bytes_unref(body);
    if (error != nullptr)
        g_error_free(error);
}

HttpResult failedResult(const Exchange &exchange, const GError *error)
{
    HttpResult result;
    result.verdict = exchange.headersWritten ? Verdict::MayHaveRun : Verdict::NotRun;
    result.failure =
            exchange.headersWritten ? HttpFailure::ConnectionLost : HttpFailure::ConnectFailed;
    if (exchange.timedOut)
        result.failure = HttpFailure::TimedOut;
    else if (g_error_matches(error, G_IO_ERROR, G_IO_ERROR_CANCELLED))
        result.failure = HttpFailure::Cancelled;
    return result;
}

HttpResult completedResult(SoupMessage *message, GBytes *bytes)
{
    HttpResult result;
    result.verdict = Verdict::Done;
    result.response.status = static_cast<int>(soup_message_get_status(message));
    gsize size = 0;
    const void *data = g_bytes_get_data(bytes, &size);
    if (size > 0)
        result.response.body = std::string(static_cast<const char *>(data), size);
    SoupMessageHeadersIter iter;
    const char *name = nullptr;
    const char *value = nullptr;
    soup_message_headers_iter_init(&iter, soup_message_get_response_headers(message));
    while (soup_message_headers_iter_next(&iter, &name, &value))
        result.response.headers.push_back(HttpHeader{.name = name, .value = value});
    return result;
}

GObjectPointer<SoupMessage> makeMessage(const Endpoint &server, const HttpRequest &request)
{
    const std::string uri = "http://" + server.text() + request.target;
    GObjectPointer<SoupMessage> message(soup_message_new(request.method.c_str(), uri.c_str()));
    if (message == nullptr)
        return message;
    soup_message_add_flags(
            message.get(),
            static_cast<SoupMessageFlags>(SOUP_MESSAGE_NEW_CONNECTION | SOUP_MESSAGE_NO_REDIRECT));
    SoupMessageHeaders *headers = soup_message_get_request_headers(message.get());
    for (const HttpHeader &header : request.headers)
        soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
    soup_message_headers_replace(headers, "Connection", "close");
    if (!request.body.empty()) {
        GBytes *bytes = g_bytes_new(request.body.data(), request.body.size());
        const std::string type(findHeader(request.headers, "Content-Type"));
        soup_message_set_request_body_from_bytes(
                message.get(), type.empty() ? "application/json" : type.c_str(), bytes);
        g_bytes_unref(bytes);
    }
    return message;
}

} // namespace

SoupHttpClient::SoupHttpClient(const SoupHttpClientOptions &options) : m_state(new State)
{
    m_state->options = options;
    GObjectPointer<GSocketAddress> local;
    if (!options.localAddress.empty())
        local.reset(g_inet_socket_address_new_from_string(options.localAddress.c_str(), 0));
    m_state->session.reset(soup_session_new_with_options(
            "max-conns", MaxConnections, "max-conns-per-host", MaxConnections, "proxy-resolver",
            nullptr, "local-address", local.get(), nullptr));
}

SoupHttpClient::~SoupHttpClient()
{
    // Completion callbacks that run later have no effect.
    for (auto &[id, exchange] : m_state->exchanges)
        g_cancellable_cancel(exchange->cancellable.get());
    m_state->exchanges.clear();
}

HttpCallId SoupHttpClient::send(const HttpSendOptions &options, const HttpRequest &request,
                                Callback callback)
{
    const HttpCallId id = static_cast<HttpCallId>(++m_state->lastId);
    std::unique_ptr<Exchange> owned = std::make_unique<Exchange>();
    Exchange *exchange = owned.get();
    exchange->id = id;
    exchange->callback = std::move(callback);
    exchange->message = makeMessage(options.server, request);
    exchange->cancellable.reset(g_cancellable_new());
    m_state->exchanges.emplace(id, std::move(owned));
    // A request with an invalid URI goes to port 1 of the loopback address instead, so that it
    // fails through the callback.
    if (exchange->message == nullptr)
        exchange->message.reset(soup_message_new("GET", "http://127.0.0.1:1/"));
    g_signal_connect(exchange->message.get(), "wrote-headers",
                     G_CALLBACK(+[](SoupMessage *, gpointer data) {
                         static_cast<Exchange *>(data)->headersWritten = true;
                     }),
                     exchange);
    GSource *timeout = g_timeout_source_new(static_cast<guint>(options.timeout.count()));
    g_source_set_callback(
            timeout,
            [](gpointer data) -> gboolean {
                Exchange *expired = static_cast<Exchange *>(data);
                expired->timedOut = true;
                g_cancellable_cancel(expired->cancellable.get());
                return G_SOURCE_REMOVE;
            },
            exchange, nullptr);
    exchange->timeout = GlibSource(timeout);
    std::unique_ptr<Completion> completion = std::make_unique<Completion>();
    completion->done = [state = std::weak_ptr<State>(m_state), id](GBytes *body,
                                                                   const GError *error) {
        const std::shared_ptr<State> alive = state.lock();
        if (alive == nullptr)
            return;
        const auto found = alive->exchanges.find(id);
        if (found == alive->exchanges.end())
            return;
        const Exchange &finished = *found->second;
        alive->finish(id, body == nullptr ? failedResult(finished, error)
                                          : completedResult(finished.message.get(), body));
    };
    soup_session_send_and_read_async(m_state->session.get(), exchange->message.get(),
                                     G_PRIORITY_DEFAULT, exchange->cancellable.get(), sendCompleted,
                                     completion.release());
    return id;
}

void SoupHttpClient::cancel(HttpCallId id)
{
    const auto found = m_state->exchanges.find(id);
    if (found != m_state->exchanges.end())
        g_cancellable_cancel(found->second->cancellable.get());
}

} // namespace jacinthshift
