#include "modules/workspace/key_check.h"

#include "core/text.h"

namespace jacinthshift {

void KeyCheck::setWorkspaces(const std::optional<std::vector<Workspace>> &workspaces)
{
    m_directory.reset();
    if (workspaces)
        m_directory.emplace(*workspaces);
}

KeyCheckResult KeyCheck::check(const std::vector<HttpHeader> &headers, bool isPublicRoute) const
{
    const WorkspaceEntry *workspace = nullptr;
    std::size_t keys = 0;
    for (const HttpHeader &header : headers) {
        if (!equalsIgnoreCase(header.name, m_headers.workspaceKey))
            continue;
        ++keys;
        // A list of keys is not a key, whether it is in one header or in several.
        workspace = keys == 1 ? m_directory->find(header.value) : nullptr;
    }
    if (workspace != nullptr)
        return {.verdict = KeyVerdict::Valid, .workspace = workspace};
    if (isPublicRoute)
        return {.verdict = KeyVerdict::NotNeeded};
    return {.verdict = keys == 0 ? KeyVerdict::Missing : KeyVerdict::Unknown};
}

void KeyCheck::rewriteHeaders(std::vector<HttpHeader> &headers,
                              const WorkspaceEntry *workspace) const
{
    std::erase_if(headers, [this](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, m_headers.workspaceKey)
               || equalsIgnoreCase(header.name, m_headers.workspace);
    });
    if (workspace != nullptr)
        headers.push_back({.name = m_headers.workspace, .value = workspace->name});
}

} // namespace jacinthshift
