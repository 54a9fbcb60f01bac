#ifndef MODULES_WORKSPACE_KEY_CHECK_H
#define MODULES_WORKSPACE_KEY_CHECK_H

#include <vector>

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
};

struct KeyCheckResult
{
    KeyVerdict verdict = KeyVerdict::Missing;
    /** The workspace of a valid key, until the next configuration; else null. */
    const WorkspaceEntry *workspace = nullptr;
};

/** Checks the workspace keys of requests against the configuration in force. */
class KeyCheck
{
    HeaderNames m_headers;
    std::optional<WorkspaceDirectory> m_directory;

public:
    explicit KeyCheck(const HeaderNames &headers) : m_headers(headers) {}

    /** Sets the workspaces of the configuration in force; without any list, requests need no key.
     */
    void setWorkspaces(const std::optional<std::vector<Workspace>> &workspaces);
    /** Returns whether the configuration in force has workspaces. */
    bool isEnabled() const { return m_directory.has_value(); }

    /** Checks the headers of a request as its caller sent it. Requires isEnabled(). */
    KeyCheckResult check(const std::vector<HttpHeader> &headers, bool isPublicRoute) const;
    /**
     * Removes the key and any workspace that the caller gave, and adds the header of the workspace,
     * if there is one.
     */
    void rewriteHeaders(std::vector<HttpHeader> &headers, const WorkspaceEntry *workspace) const;
};

} // namespace jacinthshift

#endif // MODULES_WORKSPACE_KEY_CHECK_H
