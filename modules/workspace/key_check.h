#ifndef MODULES_WORKSPACE_KEY_CHECK_H
#define MODULES_WORKSPACE_KEY_CHECK_H

#include <chrono>
#include <vector>

#include "modules/workspace/knowledge_age.h"
#include "modules/workspace/workspace_directory.h"
#include "servers/header_names.h"
#include "servers/http_message.h"

namespace jacinthshift {

/** What the workspace key of a request tells about it. */
enum class KeyVerdict {
    Valid,
    NotNeeded, ///< The route is public and the request has no valid key.
    Missing,
    Unknown,
    Unverified, ///< The configuration in force may be too old to know.
};

struct KeyCheckOptions
{
    HeaderNames headers;
    /**
     * Time after the store acknowledged a configuration without a key within which the key's
     * requests end to be accepted, even without contact to the store; zero for no limit.
     */
    std::chrono::milliseconds revokeTime{0};
};

struct KeyCheckResult
{
    KeyVerdict verdict = KeyVerdict::Missing;
    /** The workspace of a valid key, until the next configuration; else null. */
    const WorkspaceEntry *workspace = nullptr;
};

/**
 * Checks the workspace keys of requests against the configuration in force. If there is a limit to
 * its age, keyed requests are neither accepted nor called invalid beyond it.
 */
class KeyCheck
{
    KeyCheckOptions m_options;
    const KnowledgeAge &m_knowledge;
    const BootClock &m_clock;
    std::optional<WorkspaceDirectory> m_directory;
    bool m_isVerified = true; ///< The last result of isVerified().

public:
    KeyCheck(const KeyCheckOptions &options, const KnowledgeAge &knowledge, const BootClock &clock);

    /** Sets the workspaces of the configuration in force; without a list, requests need no key. */
    void setWorkspaces(const std::optional<std::vector<Workspace>> &workspaces);
    /** Returns whether the configuration in force has workspaces. */
    bool isEnabled() const { return m_directory.has_value(); }
    /** Returns whether the age of the configuration in force matters. */
    bool limitsAge() const { return isEnabled() && m_options.revokeTime.count() > 0; }
    /** Returns whether keys can be checked now, and logs when that changes. */
    bool isVerified();

    /** Checks the headers of a request as its caller sent it. Requires isEnabled(). */
    KeyCheckResult check(const std::vector<HttpHeader> &headers, bool isPublicRoute);
    /**
     * Removes the key and any workspace that the caller gave, and adds the header of the workspace,
     * if there is one.
     */
    void rewriteHeaders(std::vector<HttpHeader> &headers, const WorkspaceEntry *workspace) const;
};

} // namespace jacinthshift

#endif // MODULES_WORKSPACE_KEY_CHECK_H
