#include "drivers/beast/connection_responder.h"

#include "drivers/beast/beast_server_connection.h"

namespace jacinthshift {

void ConnectionResponder::respond(const HttpResponse &response)
{
    if (const std::shared_ptr<BeastServerConnection> connection = m_connection.lock())
        connection->respond(m_requestNumber, response);
}

void ConnectionResponder::onCallerGone(std::function<void()> callback)
{
    if (const std::shared_ptr<BeastServerConnection> connection = m_connection.lock())
        connection->setCallerGone(m_requestNumber, std::move(callback));
}

} // namespace jacinthshift
