#include "drivers/soup/soup_http_server.h"

#include <utility>

#include <libsoup/soup.h>

#include "drivers/glib/gobject_pointer.h"

namespace jacinthshift {

namespace {

constexpr const char *OversizeKey = "jacinthshift-oversize";

/** Sends the response of one libsoup message. */
class SoupHttpResponder final : public HttpResponder
{
    SoupServerMessage *m_message; // Null once responded to or finished.
    std::function<void()> m_callerGone;
    gulong m_finishedHandler = 0;
    std::shared_ptr<std::size_t> m_undelivered; ///< Counts responses that are being sent.

    static void responseSent(SoupServerMessage *, gpointer data)
    {
        --**static_cast<std::shared_ptr<std::size_t> *>(data);
    }

    static void deleteCount(gpointer data, GClosure *)
    {
        delete static_cast<std::shared_ptr<std::size_t> *>(data);
    }

    static void messageFinished(SoupServerMessage *, gpointer data)
    {
        SoupHttpResponder *self = static_cast<SoupHttpResponder *>(data);
        self->releaseMessage();
        if (self->m_callerGone)
            std::exchange(self->m_callerGone, nullptr)();
    }

    void releaseMessage()
    {
        SoupServerMessage *message = std::exchange(m_message, nullptr);
        if (message == nullptr)
            return;
        g_signal_handler_disconnect(message, m_finishedHandler);
        g_object_unref(message);
    }

public:
    SoupHttpResponder(SoupServerMessage *message, std::shared_ptr<std::size_t> undelivered)
        : m_message(SOUP_SERVER_MESSAGE(g_object_ref(message)))
        , m_undelivered(std::move(undelivered))
    {
        m_finishedHandler =
                g_signal_connect(message, "finished", G_CALLBACK(messageFinished), this);
    }
    ~SoupHttpResponder() override
    {
        if (m_message != nullptr)
            respond(HttpResponse{.status = SOUP_STATUS_INTERNAL_SERVER_ERROR});
    }
    SoupHttpResponder(const SoupHttpResponder &) = delete;
    SoupHttpResponder &operator=(const SoupHttpResponder &) = delete;

    void onCallerGone(std::function<void()> callback) override
    {
        m_callerGone = std::move(callback);
    }

    void respond(const HttpResponse &response) override
    {
        if (m_message == nullptr)
            return;
        SoupMessageHeaders *headers = soup_server_message_get_response_headers(m_message);
        for (const HttpHeader &header : response.headers) {
            if (!isHopByHopHeader(header.name))
                soup_message_headers_append(headers, header.name.c_str(), header.value.c_str());
        }
        soup_server_message_set_status(m_message, static_cast<guint>(response.status), nullptr);
        SoupMessageBody *body = soup_server_message_get_response_body(m_message);
        soup_message_body_append(body, SOUP_MEMORY_COPY, response.body.data(),
                                 response.body.size());
        m_callerGone = nullptr;
        ++*m_undelivered;
        g_signal_connect_data(m_message, "finished", G_CALLBACK(responseSent),
                              new std::shared_ptr<std::size_t>(m_undelivered), deleteCount,
                              static_cast<GConnectFlags>(0));
        soup_server_message_unpause(m_message);
        releaseMessage();
    }
};

HttpRequest readRequest(SoupServerMessage *message)
{
    HttpRequest request;
    request.method = soup_server_message_get_method(message);
    GUri *uri = soup_server_message_get_uri(message);
    request.target = g_uri_get_path(uri);
    if (const char *query = g_uri_get_query(uri))
        request.target += std::string("?") + query;
    SoupMessageHeadersIter iter;
    const char *name = nullptr;
    const char *value = nullptr;
    soup_message_headers_iter_init(&iter, soup_server_message_get_request_headers(message));
    while (soup_message_headers_iter_next(&iter, &name, &value))
        request.headers.push_back(HttpHeader{.name = name, .value = value});
    SoupMessageBody *body = soup_server_message_get_request_body(message);
    GBytes *bytes = soup_message_body_flatten(body);
    gsize size = 0;
    const void *data = g_bytes_get_data(bytes, &size);
    if (size > 0)
        request.body = std::string(static_cast<const char *>(data), size);
    g_bytes_unref(bytes);
    return request;
}

} // namespace

struct SoupHttpServer::State
{
    HttpServerOptions options;
    GObjectPointer<SoupServer> server;
    Handler handler;
    std::shared_ptr<std::size_t> undelivered = std::make_shared<std::size_t>(0);

    static bool isOversize(SoupServerMessage *message)
    {
        return g_object_get_data(G_OBJECT(message), OversizeKey) != nullptr;
    }

    /** Marks a message as too large and discards its body. */
    static void markOversize(SoupServerMessage *message)
    {
        g_object_set_data(G_OBJECT(message), OversizeKey, GINT_TO_POINTER(1));
        soup_message_body_truncate(soup_server_message_get_request_body(message));
        soup_message_body_set_accumulate(soup_server_message_get_request_body(message), FALSE);
    }

    static void chunkArrived(SoupServerMessage *message, GBytes *, gpointer data)
    {
        const State *self = static_cast<State *>(data);
        const SoupMessageBody *body = soup_server_message_get_request_body(message);
        if (static_cast<std::size_t>(body->length) > self->options.maxBodyBytes)
            markOversize(message);
    }

    static void headersArrived(SoupServerMessage *message, gpointer data)
    {
        const State *self = static_cast<State *>(data);
        SoupMessageHeaders *headers = soup_server_message_get_request_headers(message);
        const goffset length = soup_message_headers_get_content_length(headers);
        if (length > 0 && static_cast<std::size_t>(length) > self->options.maxBodyBytes)
            markOversize(message);
    }

    static void requestStarted(SoupServer *, SoupServerMessage *message, gpointer data)
    {
        g_signal_connect(message, "got-headers", G_CALLBACK(headersArrived), data);
        g_signal_connect(message, "got-chunk", G_CALLBACK(chunkArrived), data);
    }

    static void requestRead(SoupServer *, SoupServerMessage *message, const char *, GHashTable *,
                            gpointer data)
    {
        const State *self = static_cast<State *>(data);
        std::shared_ptr<HttpResponder> responder =
                std::make_shared<SoupHttpResponder>(message, self->undelivered);
        soup_server_message_pause(message);
        if (isOversize(message)) {
            responder->respond(HttpResponse{
                    .status = SOUP_STATUS_REQUEST_ENTITY_TOO_LARGE,
                    .headers = {{.name = "Jacinthshift-Verdict", .value = "not-run"}},
                    .body = "the request body is over the limit of "
                            + std::to_string(self->options.maxBodyBytes) + " bytes\n"});
            return;
        }
        self->handler(readRequest(message), std::move(responder));
    }
};

SoupHttpServer::SoupHttpServer(const HttpServerOptions &options) : m_state(new State)
{
    m_state->options = options;
    m_state->server.reset(soup_server_new("raw-paths", TRUE, nullptr));
    g_signal_connect(m_state->server.get(), "request-started", G_CALLBACK(State::requestStarted),
                     m_state.get());
    soup_server_add_handler(m_state->server.get(), nullptr, State::requestRead, m_state.get(),
                            nullptr);
}

SoupHttpServer::~SoupHttpServer()
{
    soup_server_disconnect(m_state->server.get());
}

absl::Status SoupHttpServer::listen(const Endpoint &endpoint, Handler handler)
{
    m_state->handler = std::move(handler);
    const GObjectPointer<GSocketAddress> address(
            g_inet_socket_address_new_from_string(endpoint.address.c_str(), endpoint.port));
    if (address == nullptr)
        return absl::InvalidArgumentError("invalid listen address " + endpoint.text());
    GError *error = nullptr;
    if (soup_server_listen(m_state->server.get(), address.get(),
                           static_cast<SoupServerListenOptions>(0), &error))
        return absl::OkStatus();
    const GErrorPointer owned(error);
    return absl::UnavailableError("cannot listen on " + endpoint.text() + ": " + owned->message);
}

UndeliveredResponses SoupHttpServer::undeliveredResponses() const
{
    return {.connections = *m_state->undelivered};
}

void SoupHttpServer::stopListening()
{
    // soup_server_disconnect() would also abort requests in flight, so close only the listeners.
    GSList *listeners = soup_server_get_listeners(m_state->server.get());
    for (GSList *item = listeners; item != nullptr; item = item->next)
        g_socket_close(G_SOCKET(item->data), nullptr);
    g_slist_free(listeners);
}

} // namespace jacinthshift
