#ifndef NODE_MESH_NODE_H
#define NODE_MESH_NODE_H

#include <memory>
#include <string>

#include <absl/status/status.h>

#include "node/mesh_settings.h"

namespace jacinthshift {

/**
 * The node process on a backend server's VM on the users' platform: it forwards requests, controls
 * admission to the backend server, rolls out new versions and passes the operators' records on to
 * other nodes.
 *
 * Unlike Node it uses the store, the header names and the heartbeats that the platform defines.
 */
class MeshNode
{
    struct Components;
    std::unique_ptr<Components> m_components;

public:
    /** The settings file is reloaded on SIGHUP and whenever it changes. */
    MeshNode(const MeshSettings &settings, const std::string &settingsFile);
    ~MeshNode();

    /** Opens the listeners and starts all components. Fails if a listener cannot be opened. */
    absl::Status start();
    /** Runs until a graceful shutdown, requested by SIGTERM or SIGINT, has ended. */
    void run();
};

} // namespace jacinthshift

#endif // NODE_MESH_NODE_H
