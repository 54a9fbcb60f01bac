#ifndef NODE_MESH_SETTINGS_H
#define NODE_MESH_SETTINGS_H

#include <chrono>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/logger.h"
#include "modules/yaml/yaml_section.h"

namespace jacinthshift {

/** The settings of a node on the users' platform, read from its YAML file. */
struct MeshSettings
{
    std::string node;
    std::string domain;
    std::string service;      ///< Of the backend server on this VM.
    Endpoint callers;         ///< Where callers and the backend server of this VM send requests.
    Endpoint readiness;       ///< Where the platform asks whether the node is ready.
    Endpoint control;         ///< Where the backend server sends its heartbeats.
    Endpoint links;           ///< Where other nodes connect.
    Endpoint advertisedLinks; ///< What other nodes are told to connect to.
    Endpoint metrics;
    Endpoint store;                         ///< The platform's store.
    std::vector<Endpoint> seeds;            ///< Other nodes' links; may be stale.
    std::chrono::milliseconds grace{6'000}; ///< From SIGTERM until the process is killed.
    double retryRatio = 0.2;                ///< Repeats that a service bears, per request.
    double retrySlack = 60.0;               ///< Repeats that all nodes together may add.
    std::chrono::milliseconds retryWindow{10'000};
    double canaryShare = 0.1; ///< The largest share of a version that may be faulty.
    double coldFactor = 1.0;  ///< Requests a cold backend server gets, per one that it bears.
    std::uint32_t maxFiles = 1'024;
    double processorShare = 1.0;   ///< Of a core, for this process.
    double linkMegabits = 1'000.0; ///< The VM's link, a second.
    EventLevel logLevel = EventLevel::Info;
};

/** Reads and checks a settings file; problems name file and line. */
MeshSettings readMeshSettings(const std::string &file, Problems &problems);

} // namespace jacinthshift

#endif // NODE_MESH_SETTINGS_H
