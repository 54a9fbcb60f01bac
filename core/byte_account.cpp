#include "core/byte_account.h"

#include <algorithm>
#include <utility>

#include "core/logger.h"

namespace jacinthshift {

void ByteAccount::hold(ByteHolder &holder, const HeldBytes &held, SteadyTime now)
{
    if (m_evicted.contains(&holder))
        return;
    const auto [entry, isNew] = m_holders.try_emplace(&holder);
    Holding &holding = entry->second;
    if (isNew || holding.held.progress != held.progress)
        holding.progressAt = now;
    m_bytes = m_bytes - holding.held.bytes + held.bytes;
    holding.held = held;
    while (remainingBytes() > m_options.limit && !m_holders.empty())
        evict(*worstHolder(now));
}

void ByteAccount::evict(ByteHolder &holder)
{
    const HeldBytes held = m_holders.at(&holder).held;
    release(holder);
    ++m_evictions;
    m_evicted.emplace(&holder, held.leasedBytes);
    m_evictedBytes += held.leasedBytes;
    logEvent(Event::HolderEvicted, {{"bytes", held.bytes + held.leasedBytes},
                                    {"progress", held.progress},
                                    {"held", m_bytes},
                                    {"limit", m_options.limit}});
    holder.evict();
}

void ByteAccount::release(ByteHolder &holder)
{
    const auto found = m_holders.find(&holder);
    if (found != m_holders.end()) {
        m_bytes -= found->second.held.bytes;
        m_holders.erase(found);
    }
    const auto evicted = m_evicted.find(&holder);
    if (evicted != m_evicted.end()) {
        m_evictedBytes -= evicted->second;
        m_evicted.erase(evicted);
    }
}

double ByteAccount::lag(const HeldBytes &held, SteadyTime progressAt, SteadyTime now) const
{
    const auto seconds = [](SteadyTime::duration time) {
        return std::chrono::duration<double>(time).count();
    };
    const double behind = seconds(now - held.since) * m_options.expectedBytesPerSecond
                          - static_cast<double>(held.progress);
    // The kernel may have taken much at once for a peer that reads nothing.
    const SteadyTime::duration stalled = now - progressAt;
    if (stalled < m_options.stallTime)
        return behind;
    return std::max(behind, seconds(stalled) * m_options.expectedBytesPerSecond);
}

ByteHolder *ByteAccount::worstHolder(SteadyTime now) const
{
    ByteHolder *worst = nullptr;
    double largestLag = 0.0;
    std::size_t worstBytes = 0;
    for (const auto &[holder, holding] : m_holders) {
        const double holderLag = lag(holding.held, holding.progressAt, now);
        const std::size_t bytes = holding.held.bytes + holding.held.leasedBytes;
        const bool isWorse = worst == nullptr || holderLag > largestLag
                             || (holderLag == largestLag && bytes > worstBytes);
        if (!isWorse)
            continue;
        worst = holder;
        largestLag = holderLag;
        worstBytes = bytes;
    }
    return worst;
}

std::size_t ByteAccount::limitFor(std::size_t leaseBytes) const
{
    if (leaseBytes <= m_options.smallLeaseBytes)
        return m_options.limit;
    return static_cast<std::size_t>(static_cast<double>(m_options.limit)
                                    * (1.0 - m_options.reservedShare));
}

LeaseResult ByteAccount::extend(ByteLease &lease, std::size_t bytes, const HeldBytes &requester,
                                SteadyTime now)
{
    if (bytes <= lease.m_bytes)
        return LeaseResult::Granted;
    const std::size_t added = bytes - lease.m_bytes;
    const std::size_t limit = limitFor(bytes);
    if (added <= limit && m_bytes <= limit - added) {
        lease.m_account = shared_from_this();
        lease.m_bytes = bytes;
        m_bytes += added;
        return LeaseResult::Granted;
    }
    const double requesterLag = lag(requester, now, now);
    while (added > limit || remainingBytes() > limit - added) {
        ByteHolder *worst = added > limit ? nullptr : worstHolder(now);
        const Holding *holding = worst == nullptr ? nullptr : &m_holders.at(worst);
        if (holding == nullptr || lag(holding->held, holding->progressAt, now) <= requesterLag) {
            ++m_refusals;
            return LeaseResult::Refused;
        }
        evict(*worst);
    }
    return LeaseResult::Evicting;
}

void ByteLease::reset()
{
    if (m_account != nullptr)
        m_account->m_bytes -= m_bytes;
    m_account = nullptr;
    m_bytes = 0;
}

} // namespace jacinthshift
