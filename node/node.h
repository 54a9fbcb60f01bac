#ifndef NODE_NODE_H
#define NODE_NODE_H

#include <memory>

#include <absl/status/status.h>

#include "node/node_settings.h"

namespace jacinthshift {

/**
 * The node process on a backend server's VM: it proxies requests, controls admission to the backend
 * server, relays configuration to other nodes and is a member of the mesh.
 *
 * It reads the configuration through HttpLogClient. MeshNode is the node process for the users'
 * platform.
 */
class Node
{
    struct Components;
    std::unique_ptr<Components> m_components;

public:
    explicit Node(const NodeSettings &settings);
    ~Node();

    /** Opens the listeners and starts all components. Fails if a listener cannot be opened. */
    absl::Status start();
    /** Runs until a graceful shutdown, requested by SIGTERM or SIGINT, has ended. */
    void run();
};

} // namespace jacinthshift

#endif // NODE_NODE_H
