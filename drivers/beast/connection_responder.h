#ifndef DRIVERS_BEAST_CONNECTION_RESPONDER_H
#define DRIVERS_BEAST_CONNECTION_RESPONDER_H

#include <cstdint>
#include <functional>
#include <memory>

#include "servers/http_server.h"

namespace jacinthshift {

class BeastServerConnection;

/** Responds to one request of a connection, which may have been closed in the meantime. */
class ConnectionResponder final : public HttpResponder
{
    std::weak_ptr<BeastServerConnection> m_connection;
    std::uint64_t m_requestNumber;

public:
    ConnectionResponder(std::weak_ptr<BeastServerConnection> connection,
                        std::uint64_t requestNumber)
        : m_connection(std::move(connection)), m_requestNumber(requestNumber)
    {
    }

    void respond(const HttpResponse &response) override;
    void onCallerGone(std::function<void()> callback) override;
};

} // namespace jacinthshift

#endif // DRIVERS_BEAST_CONNECTION_RESPONDER_H
