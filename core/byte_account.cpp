#include "core/byte_account.h"

#include "core/logger.h"

namespace jacinthshift {

void ByteAccount::hold(ByteHolder &holder, const HeldBytes &held, SteadyTime now)
{
    HeldBytes &entry = m_holders[&holder];
    m_bytes = m_bytes - entry.bytes + held.bytes;
    entry = held;
    while (m_bytes > m_options.limit && !m_holders.empty()) {
        ByteHolder *worst = worstHolder(now);
        const HeldBytes evicted = m_holders.at(worst);
        release(*worst);
        ++m_evictions;
        logEvent(Event::HolderEvicted, {{"bytes", evicted.bytes},
                                        {"progress", evicted.progress},
                                        {"held", m_bytes},
                                        {"limit", m_options.limit}});
        worst->evict();
    }
}

void ByteAccount::release(ByteHolder &holder)
{
    const auto found = m_holders.find(&holder);
    if (found == m_holders.end())
        return;
    m_bytes -= found->second.bytes;
    m_holders.erase(found);
}

ByteHolder *ByteAccount::worstHolder(SteadyTime now) const
{
    ByteHolder *worst = nullptr;
    double largestLag = 0.0;
    std::size_t worstBytes = 0;
    for (const auto &[holder, held] : m_holders) {
        const double age = std::chrono::duration<double>(now - held.since).count();
        const double lag =
                age * m_options.expectedBytesPerSecond - static_cast<double>(held.progress);
        const bool isWorse = worst == nullptr || lag > largestLag
                             || (lag == largestLag && held.bytes > worstBytes);
        if (!isWorse)
            continue;
        worst = holder;
        largestLag = lag;
        worstBytes = held.bytes;
    }
    return worst;
}

} // namespace jacinthshift
