#include "modules/workspace/knowledge_age.h"

#include <algorithm>
#include <utility>

namespace jacinthshift {

void KnowledgeAge::confirm(BootTime at)
{
    m_confirmedAt = m_confirmedAt ? std::max(*m_confirmedAt, at) : at;
}

void KnowledgeAge::tableRead(BootTime sentAt)
{
    if (m_isInstallationPending)
        m_heldRead = m_heldRead ? std::max(*m_heldRead, sentAt) : sentAt;
    else
        confirm(sentAt);
}

void KnowledgeAge::newestReported(std::uint64_t version, BootTime at)
{
    if (version <= m_installedVersion) {
        confirm(at);
        return;
    }
    if (!m_heldReport || m_heldReport->at < at)
        m_heldReport = ReportedVersion{.version = version, .at = at};
}

void KnowledgeAge::installed(std::uint64_t versionInForce)
{
    m_installedVersion = versionInForce;
    m_isInstallationPending = false;
    if (m_heldRead)
        confirm(*std::exchange(m_heldRead, std::nullopt));
    if (m_heldReport && m_heldReport->version <= versionInForce)
        confirm(std::exchange(m_heldReport, std::nullopt)->at);
}

std::optional<std::chrono::milliseconds> KnowledgeAge::age(BootTime now) const
{
    if (!m_confirmedAt)
        return std::nullopt;
    // Rounded up, as other nodes subtract it from the time of their question.
    return std::chrono::ceil<std::chrono::milliseconds>(now - *m_confirmedAt);
}

} // namespace jacinthshift
