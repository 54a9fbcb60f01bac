#include "modules/admission/poison_registry.h"

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

void PoisonRegistry::expire(SteadyTime now)
{
    std::erase_if(m_suspects, [now](const auto &pair) { return pair.second.until <= now; });
}

} // namespace jacinthshift
