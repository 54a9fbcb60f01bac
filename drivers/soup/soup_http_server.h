#ifndef DRIVERS_SOUP_SOUP_HTTP_SERVER_H
#define DRIVERS_SOUP_SOUP_HTTP_SERVER_H

#include <memory>

#include "servers/http_server.h"

namespace jacinthshift {

/**
 * An HTTP server based on libsoup. It enforces the body limit while it reads a request, before the
 * handler is called. The other limits of HttpServerOptions are not enforced.
 */
class SoupHttpServer final : public HttpServer
{
    struct State;
    std::unique_ptr<State> m_state;

public:
    explicit SoupHttpServer(const HttpServerOptions &options);
    ~SoupHttpServer() override;

    absl::Status listen(const Endpoint &endpoint, Handler handler) override;
    void stopListening() override;
    /** The bytes are not known. */
    UndeliveredResponses undeliveredResponses() const override;
};

} // namespace jacinthshift

#endif // DRIVERS_SOUP_SOUP_HTTP_SERVER_H
