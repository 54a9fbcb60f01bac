#ifndef NODE_LOCAL_API_H
#define NODE_LOCAL_API_H

#include <memory>

#include "node/node_settings.h"
#include "servers/http_server.h"

namespace jacinthshift {

class BackendAgent;
class ConfigStore;
class Distributor;
class LinkOwnerClient;
class MemberTable;
class PeerNetwork;
class ReleaseController;
class Router;
class StatusCollector;

/** The components of a node that the local interface uses. */
struct LocalApiComponents
{
    const NodeSettings &settings;
    ConfigStore &configStore;
    MemberTable &members;
    PeerNetwork &network;
    Distributor &distributor;
    StatusCollector &statusCollector;
    BackendAgent &agent;
    ReleaseController &releases;
    Router &router;
    LinkOwnerClient &ownerClient;
};

/**
 * The HTTP interface of a node for the backend server and the operators on its VM.
 *
 * POST /announce accepts an announcement of the backend server. GET /status, /config,
 * /outcome?id=ID, /members and /metrics return the node's state.
 */
class LocalApi
{
    LocalApiComponents m_components;

    HttpResponse announce(const HttpRequest &request);
    HttpResponse outcome(const std::string &recordId) const;
    HttpResponse members() const;
    HttpResponse metrics() const;
    void status(const std::shared_ptr<HttpResponder> &responder) const;

public:
    explicit LocalApi(const LocalApiComponents &components) : m_components(components) {}

    void handle(const HttpRequest &request, const std::shared_ptr<HttpResponder> &responder);
};

} // namespace jacinthshift

#endif // NODE_LOCAL_API_H
