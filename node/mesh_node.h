#ifndef NODE_MESH_NODE_H
#define NODE_MESH_NODE_H

#include <memory>
#include <string>

#include <absl/status/status.h>

#include "node/mesh_settings.h"

namespace jacinthshift {

/** The small process of one backend server's VM on the users' platform. */
class MeshNode
{
    struct Parts;
    std::unique_ptr<Parts> m_parts;

public:
    /** The file is read again when the process is told to or the file changes. */
    MeshNode(const MeshSettings &settings, const std::string &settingsFile);
    ~MeshNode();

    /** Opens the listeners and starts all parts. */
    absl::Status start();
    /** Runs until a graceful shutdown, which SIGTERM or SIGINT asks for, has ended. */
    void run();
};

} // namespace jacinthshift

#endif // NODE_MESH_NODE_H
