#include "modules/release/config_change_logger.h"

#include "core/logger.h"

namespace jacinthshift {

void ConfigChangeLogger::logReleaseChanges(const Release &release)
{
    const auto found = m_releases.find(release.id);
    if (found == m_releases.end())
        logEvent(Event::ReleaseStarted, {{"release", release.id}, {"share", release.share()}});
    LoggedState &logged = m_releases[release.id];
    if (logged.stage != release.stage)
        logEvent(Event::ReleaseAdvanced,
                 {{"release", release.id}, {"stage", release.stage}, {"share", release.share()}});
    if (logged.status != release.status && release.status == ReleaseStatus::Finished)
        logEvent(Event::ReleaseCompleted, {{"release", release.id}});
    if (logged.status != release.status && release.status == ReleaseStatus::Withdrawn)
        logEvent(Event::ReleaseWithdrawn, {{"release", release.id}, {"reason", release.reason}});
    logged = LoggedState{.status = release.status, .stage = release.stage};
}

void ConfigChangeLogger::configurationChanged(const ConfigState &state)
{
    for (const auto &[id, release] : state.releases())
        logReleaseChanges(release);
    std::erase_if(m_releases,
                  [&state](const auto &pair) { return state.findRelease(pair.first) == nullptr; });
    for (const auto &[domain, entry] : state.domains()) {
        const bool wasOut = m_domainsOut.contains(domain);
        if (entry.out == wasOut)
            continue;
        logEvent(entry.out ? Event::DomainTakenOut : Event::DomainBroughtBack,
                 {{"taken_domain", domain}, {"by", entry.changedBy}});
        if (entry.out)
            m_domainsOut.insert(domain);
        else
            m_domainsOut.erase(domain);
    }
}

} // namespace jacinthshift
