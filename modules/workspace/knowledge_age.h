#ifndef MODULES_WORKSPACE_KNOWLEDGE_AGE_H
#define MODULES_WORKSPACE_KNOWLEDGE_AGE_H

#include <chrono>
#include <cstdint>
#include <optional>

#include "servers/boot_clock.h"

namespace jacinthshift {

/**
 * Tracks the latest time at which the installed configuration is known to have been the newest in
 * the store. It is the time at which a question was sent, never that of its answer, since an answer
 * may be delayed by any time.
 */
class KnowledgeAge
{
    struct ReportedVersion
    {
        std::uint64_t version = 0;
        BootTime at;
    };

    std::optional<BootTime> m_confirmedAt;
    std::optional<BootTime> m_heldRead;          ///< Counts once the pending one is installed.
    std::optional<ReportedVersion> m_heldReport; ///< Counts once this version is installed.
    std::uint64_t m_installedVersion = 0;
    bool m_isInstallationPending = false;

    void confirm(BootTime at);

public:
    /** This node's copy of the table contains all that the store had acknowledged by a time. */
    void tableRead(BootTime sentAt);
    /** Another node reports the newest configuration in the store as of a time. */
    void newestReported(std::uint64_t version, BootTime at);
    /** This node's copy of the table contains a configuration that is not installed. */
    void installationPending() { m_isInstallationPending = true; }
    /** The newest configuration in this node's copy was installed, or ignored for good. */
    void installed(std::uint64_t versionInForce);

    std::uint64_t installedVersion() const { return m_installedVersion; }
    /** Returns the time since the installed configuration was known to be the newest, if ever. */
    std::optional<std::chrono::milliseconds> age(BootTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_WORKSPACE_KNOWLEDGE_AGE_H
