#include "modules/workspace/workspace_directory.h"

namespace jacinthshift {

WorkspaceDirectory::WorkspaceDirectory(const std::vector<Workspace> &workspaces)
{
    m_entries.reserve(workspaces.size());
    for (const Workspace &workspace : workspaces) {
        for (const std::string &key : workspace.keys)
            m_entryOfKey.emplace(key, m_entries.size());
        m_entries.push_back({.name = workspace.name, .priority = workspace.priority});
    }
}

const WorkspaceEntry *WorkspaceDirectory::find(std::string_view key) const
{
    const auto found = m_entryOfKey.find(key);
    return found == m_entryOfKey.end() ? nullptr : &m_entries[found->second];
}

} // namespace jacinthshift
