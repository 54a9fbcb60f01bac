#include "modules/admission/idempotency_store.h"

namespace jacinthshift {

KeyState IdempotencyStore::begin(const std::string &key, SteadyTime now)
{
    expire(now);
    const auto found = m_entries.find(key);
    if (found != m_entries.end() && found->second.moved)
        return KeyState::Moved;
    if (found != m_entries.end())
        return found->second.done ? KeyState::Done : KeyState::Running;
    if (m_entries.size() >= m_options.maxKeys || m_answerBytes >= m_options.maxBytes)
        return KeyState::Full;
    m_entries.emplace(key, Entry{});
    m_expiries.push_back(Expiry{.key = key, .at = now + m_options.retention});
    return KeyState::New;
}

KeyState IdempotencyStore::handOver(const std::string &key, SteadyTime now)
{
    const KeyState state = begin(key, now);
    if (state == KeyState::New)
        m_entries[key].moved = true;
    return state;
}

void IdempotencyStore::finish(const std::string &key, const HttpResponse &response)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    found->second.done = true;
    found->second.response = response;
    m_answerBytes += response.body.size();
}

const HttpResponse &IdempotencyStore::answer(const std::string &key) const
{
    return m_entries.at(key).response;
}

void IdempotencyStore::removeKey(const std::string &key)
{
    const auto found = m_entries.find(key);
    if (found == m_entries.end())
        return;
    m_answerBytes -= found->second.response.body.size();
    m_entries.erase(found);
}

void IdempotencyStore::expire(SteadyTime now)
{
    while (!m_expiries.empty() && m_expiries.front().at <= now) {
        removeKey(m_expiries.front().key);
        m_expiries.pop_front();
    }
}

} // namespace jacinthshift
