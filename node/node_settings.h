#ifndef NODE_NODE_SETTINGS_H
#define NODE_NODE_SETTINGS_H

#include <string>
#include <vector>

#include "core/endpoint.h"
#include "core/logger.h"
#include "modules/yaml/yaml_section.h"

namespace jacinthshift {

/** The settings of one node, read from its YAML file. */
struct NodeSettings
{
    std::string node;
    std::string domain;
    std::string mesh;         ///< Links to nodes of another mesh are refused.
    Endpoint callers;         ///< Accepts requests of callers.
    Endpoint links;           ///< Accepts links from other nodes.
    Endpoint local;           ///< Accepts requests of the backend server and operators on this VM.
    Endpoint advertisedLinks; ///< The link address that is announced to other nodes.
    Endpoint log;             ///< The platform's log.
    std::vector<Endpoint> seeds; ///< Link addresses of other nodes.
    std::uint32_t maxBodyBytes = 1024 * 1024;
    std::uint32_t readersPerDomain = 2; ///< Nodes of a failure domain that read the log.
    EventLevel logLevel = EventLevel::Info;
    LogFormat logFormat = LogFormat::Text;
};

/** Reads and checks a settings file; each problem names its file and line. */
NodeSettings readNodeSettings(const std::string &file, Problems &problems);

} // namespace jacinthshift

#endif // NODE_NODE_SETTINGS_H
