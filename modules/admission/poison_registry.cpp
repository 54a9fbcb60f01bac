#include "modules/admission/poison_registry.h"

#include <algorithm>
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

bool PoisonRegistry::merge(const RecordedCrash &crash, SteadyTime now)
{
    expire(now);
    if (crash.at + m_options.retention <= now)
        return false;
    const auto known = m_requests.find(crash.fingerprint);
    const bool isRecorded =
            known != m_requests.end() && known->second.crashes.contains(crash.backend);
    if (isRecorded && (!crash.cleared || known->second.crashes.at(crash.backend).cleared))
        return false;
    if (!isRecorded && !hasRoom(crash))
        return false;
    Request &request = m_requests[crash.fingerprint];
    orderOf(request).erase({request.until, crash.fingerprint});
    if (isRecorded) {
        request.crashes.at(crash.backend).cleared = true;
        --request.uncleared;
    } else {
        makeRoom(request);
        request.crashes.emplace(crash.backend, Crash{.cleared = crash.cleared, .at = crash.at});
        request.uncleared += crash.cleared ? 0 : 1;
        request.until = std::max(request.until, crash.at + m_options.retention);
    }
    orderOf(request).emplace(request.until, crash.fingerprint);
    limitCleared();
    return true;
}

void PoisonRegistry::limitCleared()
{
    while (m_cleared.size() > m_options.maxCleared) {
        m_requests.erase(m_cleared.begin()->second);
        m_cleared.erase(m_cleared.begin());
    }
}

bool PoisonRegistry::hasRoom(const RecordedCrash &crash) const
{
    const auto known = m_requests.find(crash.fingerprint);
    const bool isSuspected = known != m_requests.end() && known->second.uncleared > 0;
    if (!crash.cleared && !isSuspected && m_suspects.size() >= m_options.maxSuspects)
        return false;
    if (known == m_requests.end() || known->second.crashes.size() < m_options.maxCrashesPerRequest)
        return true;
    // A cleared crash that replaced another one would let the other one be news again.
    return !crash.cleared && known->second.uncleared < known->second.crashes.size();
}

void PoisonRegistry::makeRoom(Request &request) const
{
    if (request.crashes.size() < m_options.maxCrashesPerRequest)
        return;
    const auto oldestCleared = std::min_element(
            request.crashes.begin(), request.crashes.end(), [](const auto &a, const auto &b) {
                return std::pair(!a.second.cleared, a.second.at)
                       < std::pair(!b.second.cleared, b.second.at);
            });
    request.crashes.erase(oldestCleared);
}

bool PoisonRegistry::removeSuspect(std::uint64_t fingerprint)
{
    if (!isSuspect(fingerprint))
        return false;
    Request &request = m_requests.at(fingerprint);
    for (auto &[backend, crash] : request.crashes)
        crash.cleared = true;
    request.uncleared = 0;
    m_suspects.erase({request.until, fingerprint});
    m_cleared.emplace(request.until, fingerprint);
    limitCleared();
    return true;
}

bool PoisonRegistry::forgetSuspect(std::uint64_t fingerprint)
{
    const auto found = m_requests.find(fingerprint);
    if (found == m_requests.end())
        return false;
    orderOf(found->second).erase({found->second.until, fingerprint});
    m_requests.erase(found);
    return true;
}

bool PoisonRegistry::isSuspect(std::uint64_t fingerprint) const
{
    const auto found = m_requests.find(fingerprint);
    return found != m_requests.end() && found->second.uncleared > 0;
}

bool PoisonRegistry::isRefused(std::uint64_t fingerprint, SteadyTime now) const
{
    const auto found = m_requests.find(fingerprint);
    return found != m_requests.end() && found->second.until > now
           && found->second.uncleared >= m_options.crashesToRefuse;
}

std::vector<RecordedCrash> PoisonRegistry::crashesOf(std::uint64_t fingerprint) const
{
    std::vector<RecordedCrash> crashes;
    const auto found = m_requests.find(fingerprint);
    if (found == m_requests.end())
        return crashes;
    for (const auto &[backend, crash] : found->second.crashes) {
        crashes.push_back(RecordedCrash{.fingerprint = fingerprint,
                                        .backend = backend,
                                        .cleared = crash.cleared,
                                        .at = crash.at});
    }
    return crashes;
}

std::optional<RecordedCrash> PoisonRegistry::crash(std::uint64_t fingerprint,
                                                   const std::string &backend) const
{
    const auto found = m_requests.find(fingerprint);
    if (found == m_requests.end() || !found->second.crashes.contains(backend))
        return std::nullopt;
    const Crash &crash = found->second.crashes.at(backend);
    return RecordedCrash{.fingerprint = fingerprint,
                         .backend = backend,
                         .cleared = crash.cleared,
                         .at = crash.at};
}

std::vector<RecordedCrash> PoisonRegistry::newestCrashes(std::size_t limit) const
{
    std::vector<RecordedCrash> newest;
    for (const ExpiryOrder *order : {&m_suspects, &m_cleared}) {
        for (auto entry = order->rbegin(); entry != order->rend(); ++entry) {
            for (RecordedCrash &crash : crashesOf(entry->second)) {
                if (newest.size() == limit)
                    return newest;
                newest.push_back(std::move(crash));
            }
        }
    }
    return newest;
}

void PoisonRegistry::expire(SteadyTime now)
{
    for (ExpiryOrder *order : {&m_suspects, &m_cleared}) {
        while (!order->empty() && order->begin()->first <= now) {
            m_requests.erase(order->begin()->second);
            order->erase(order->begin());
        }
    }
}

} // namespace jacinthshift
