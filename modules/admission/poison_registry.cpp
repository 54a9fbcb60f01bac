#include "modules/admission/poison_registry.h"

#include <algorithm>
#include <functional>
#include <utility>

#include "core/hash.h"

namespace jacinthshift {

std::uint64_t requestFingerprint(const std::string &service, const HttpRequest &request)
{
    std::uint64_t hash = stableHash(service);
    hash = combineHash(hash, stableHash(request.method));
    hash = combineHash(hash, stableHash(request.target));
    return combineHash(hash, stableHash(request.body));
}

bool PoisonRegistry::recordCrash(std::uint64_t fingerprint, const std::string &backend,
                                 SteadyTime now)
{
    expire(now);
    if (!m_suspects.contains(fingerprint) && m_suspects.size() >= m_options.maxSuspects)
        return false;
    Suspect &entry = m_suspects[fingerprint];
    entry.until = now + m_options.retention;
    return entry.backends.insert(backend).second;
}

bool PoisonRegistry::isRefused(std::uint64_t fingerprint, SteadyTime now) const
{
    const auto found = m_suspects.find(fingerprint);
    return found != m_suspects.end() && found->second.until > now
           && found->second.backends.size() >= m_options.crashesToRefuse;
}

std::vector<RecordedCrash> PoisonRegistry::newestCrashes(std::size_t limit) const
{
    std::vector<std::pair<SteadyTime, std::uint64_t>> newestFirst;
    newestFirst.reserve(m_suspects.size());
    for (const auto &[fingerprint, suspect] : m_suspects)
        newestFirst.emplace_back(suspect.until, fingerprint);
    std::sort(newestFirst.begin(), newestFirst.end(), std::greater<>());
    std::vector<RecordedCrash> crashes;
    for (const auto &[until, fingerprint] : newestFirst) {
        for (const std::string &backend : m_suspects.at(fingerprint).backends) {
            if (crashes.size() == limit)
                return crashes;
            crashes.push_back(RecordedCrash{.fingerprint = fingerprint, .backend = backend});
        }
    }
    return crashes;
}

void PoisonRegistry::expire(SteadyTime now)
{
    std::erase_if(m_suspects, [now](const auto &pair) { return pair.second.until <= now; });
}

} // namespace jacinthshift
