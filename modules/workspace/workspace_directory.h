#ifndef MODULES_WORKSPACE_WORKSPACE_DIRECTORY_H
#define MODULES_WORKSPACE_WORKSPACE_DIRECTORY_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "modules/traffic/traffic_config.h"

namespace jacinthshift {

/** A workspace as requests refer to it. */
struct WorkspaceEntry
{
    std::string name;
    std::optional<std::uint32_t> priority; ///< In place of the route's.
};

/**
 * Finds the workspace of a key in constant time. Keys are compared only after their hashes match,
 * so the time of a lookup does not depend on how many characters of a guessed key are right.
 */
class WorkspaceDirectory
{
    struct KeyHash
    {
        using is_transparent = void;
        std::size_t operator()(std::string_view key) const
        {
            return std::hash<std::string_view>()(key);
        }
    };

    std::vector<WorkspaceEntry> m_entries;
    /** Index into m_entries by key. */
    std::unordered_map<std::string, std::size_t, KeyHash, std::equal_to<>> m_entryOfKey;

public:
    WorkspaceDirectory() = default;
    explicit WorkspaceDirectory(const std::vector<Workspace> &workspaces);

    /** Returns the workspace that a key belongs to, or null. */
    const WorkspaceEntry *find(std::string_view key) const;
    std::size_t size() const { return m_entries.size(); }
};

} // namespace jacinthshift

#endif // MODULES_WORKSPACE_WORKSPACE_DIRECTORY_H
