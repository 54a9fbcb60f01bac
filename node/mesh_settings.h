#ifndef NODE_MESH_SETTINGS_H
#define NODE_MESH_SETTINGS_H

#include <chrono>
#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/logger.h"
#include "modules/yaml/yaml_section.h"

namespace jacinthshift {

/** When and where usage is reported. */
struct UsageSettings
{
    Endpoint platform; ///< Invalid if usage is not reported.
    std::chrono::milliseconds window{5'000};
    std::chrono::milliseconds late{10'000}; ///< From the end of a window until its report is due.
    std::chrono::milliseconds lease{3'000}; ///< Within this time the duty does not come back.
};

/** The settings of a node on the users' platform, read from its YAML file. */
struct MeshSettings
{
    std::string node;
    std::string domain;
    std::string service;      ///< The service of this VM's backend server.
    Endpoint callers;         ///< Accepts requests of callers and of this VM's backend server.
    Endpoint readiness;       ///< Answers the platform's readiness checks.
    Endpoint control;         ///< Accepts the backend server's heartbeats.
    Endpoint links;           ///< Accepts links from other nodes.
    Endpoint advertisedLinks; ///< The link address that is announced to other nodes.
    Endpoint metrics;
    Endpoint store;                         ///< The platform's store, which holds the keyed log.
    std::vector<Endpoint> seeds;            ///< Link addresses of other nodes; may be stale.
    std::chrono::milliseconds grace{6'000}; ///< From SIGTERM until the process is killed.
    double retryRatio = 0.2;                ///< Retries allowed to a service, per request.
    double retrySlack = 60.0; ///< Further retries allowed to all nodes together, per retryWindow.
    /** The window of retrySlack. The node's own retry budgets do not depend on it. */
    std::chrono::milliseconds retryWindow{10'000};
    double canaryShare = 0.1; ///< Largest share of requests that a possibly faulty version may get.
    /**
     * Upper bound of the load on a cold backend server, as a multiple of the coldRequestsPerSecond
     * of its service's policy.
     */
    double coldFactor = 1.0;
    /**
     * Time within which a withdrawn workspace key ends to be accepted; zero if keys are accepted
     * from a configuration of any age.
     */
    std::chrono::milliseconds revokeTime{0};
    bool strictRevoke = false; ///< revokeTime holds without contact to the store as well.
    /** What the process may hold for its peers, in MB; 0 for 5/8 of the VM's memory. */
    std::uint32_t heldMegabytes = 0;
    std::uint32_t maxFiles = 1'024; ///< File descriptors that the process may open.
    double processorShare = 1.0;    ///< Processor time that the process may use, in cores.
    double linkMegabits = 1'000.0;  ///< Bandwidth of the VM's network link in Mbit/s.
    UsageSettings usage;
    EventLevel logLevel = EventLevel::Info;
};

/** Reads and checks a settings file; each problem names its file and line. */
MeshSettings readMeshSettings(const std::string &file, Problems &problems);

} // namespace jacinthshift

#endif // NODE_MESH_SETTINGS_H
