#ifndef MODULES_RELEASE_CONFIG_CHANGE_LOGGER_H
#define MODULES_RELEASE_CONFIG_CHANGE_LOGGER_H

#include <map>
#include <set>
#include <string>

#include "modules/config/config_state.h"

namespace jacinthshift {

/** Logs status changes of releases and failure domains when they take effect on this node. */
class ConfigChangeLogger
{
    /** The state of a release that was last logged. */
    struct LoggedState
    {
        ReleaseStatus status = ReleaseStatus::Open;
        std::uint32_t stage = 0;
    };

    std::map<std::string, LoggedState> m_releases; ///< By release id.
    std::set<std::string> m_domainsOut;            ///< Failure domains logged as taken out.

    void logReleaseChanges(const Release &release);

public:
    /** Logs the differences between the state and the one of the last call. */
    void configurationChanged(const ConfigState &state);
};

} // namespace jacinthshift

#endif // MODULES_RELEASE_CONFIG_CHANGE_LOGGER_H
