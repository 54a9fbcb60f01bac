#ifndef DRIVERS_SOUP_SOUP_HTTP_CLIENT_H
#define DRIVERS_SOUP_SOUP_HTTP_CLIENT_H

#include <memory>
#include <string>

#include "servers/http_client.h"

namespace jacinthshift {

/** Options of a libsoup client. */
struct SoupHttpClientOptions
{
    std::string localAddress;                    ///< Source IP address; empty for any.
    std::size_t maxBodyBytes = 64 * 1024 * 1024; ///< Not enforced.
};

/**
 * An HTTP client based on libsoup, for the platform's log and for operators' commands.
 *
 * Each request opens its own connection: when a persistent connection closes, libsoup would
 * otherwise resend an idempotent request automatically. Of HttpSendOptions, only the server and the
 * timeout are used.
 */
class SoupHttpClient final : public HttpClient
{
    struct State;
    std::shared_ptr<State> m_state;

public:
    explicit SoupHttpClient(const SoupHttpClientOptions &options);
    ~SoupHttpClient() override;

    HttpCallId send(const HttpSendOptions &options, const HttpRequest &request,
                    Callback callback) override;
    void cancel(HttpCallId id) override;
};

} // namespace jacinthshift

#endif // DRIVERS_SOUP_SOUP_HTTP_CLIENT_H
