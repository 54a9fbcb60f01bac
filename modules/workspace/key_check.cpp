#include "modules/workspace/key_check.h"

#include "core/logger.h"
#include "core/text.h"

namespace jacinthshift {

namespace {

/**
 * Share of the revoke time after which keys count as unverified. A request was sent before it is
 * checked, so any share below 1 keeps the limit; the rest covers differences between the clocks of
 * VMs. As knowledge may be 0.33 of the revoke time old before contact is lost, a smaller share
 * would refuse requests within 0.6 of the revoke time after that.
 */
constexpr double VerifiedShare = 0.95;

} // namespace

KeyCheck::KeyCheck(const KeyCheckOptions &options, const KnowledgeAge &knowledge,
                   const BootClock &clock)
    : m_options(options), m_knowledge(knowledge), m_clock(clock)
{
}

void KeyCheck::setWorkspaces(const std::optional<std::vector<Workspace>> &workspaces)
{
    m_directory.reset();
    if (workspaces)
        m_directory.emplace(*workspaces);
}

KeyCheckResult KeyCheck::check(const std::vector<HttpHeader> &headers, bool isPublicRoute)
{
    const WorkspaceEntry *workspace = nullptr;
    std::size_t keys = 0;
    for (const HttpHeader &header : headers) {
        if (!equalsIgnoreCase(header.name, m_options.headers.workspaceKey))
            continue;
        ++keys;
        // A list of keys is not a key, whether it is in one header or in several.
        workspace = keys == 1 ? m_directory->find(header.value) : nullptr;
    }
    const bool isKnowable = keys == 0 || isVerified();
    if (workspace != nullptr && isKnowable)
        return {.verdict = KeyVerdict::Valid, .workspace = workspace};
    if (isPublicRoute)
        return {.verdict = KeyVerdict::NotNeeded};
    if (!isKnowable)
        return {.verdict = KeyVerdict::Unverified};
    return {.verdict = keys == 0 ? KeyVerdict::Missing : KeyVerdict::Unknown};
}

bool KeyCheck::isVerified()
{
    if (!limitsAge())
        return true;
    const std::optional<std::chrono::milliseconds> age = m_knowledge.age(m_clock.now());
    const bool verified =
            age && std::chrono::duration<double>(*age) < m_options.revokeTime * VerifiedShare;
    if (verified != m_isVerified) {
        m_isVerified = verified;
        logEvent(
                verified ? Event::KeysVerified : Event::KeysUnverified,
                {{"age_ms", age ? age->count() : -1}, {"version", m_knowledge.installedVersion()}});
    }
    return verified;
}

void KeyCheck::rewriteHeaders(std::vector<HttpHeader> &headers,
                              const WorkspaceEntry *workspace) const
{
    std::erase_if(headers, [this](const HttpHeader &header) {
        return equalsIgnoreCase(header.name, m_options.headers.workspaceKey)
               || equalsIgnoreCase(header.name, m_options.headers.workspace);
    });
    if (workspace != nullptr)
        headers.push_back({.name = m_options.headers.workspace, .value = workspace->name});
}

} // namespace jacinthshift
