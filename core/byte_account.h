#ifndef CORE_BYTE_ACCOUNT_H
#define CORE_BYTE_ACCOUNT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace jacinthshift {

/** Something that holds bytes for a peer, such as a connection with a response that is not read. */
class ByteHolder
{
public:
    virtual ~ByteHolder() = default;

    /**
     * Gives up what it holds. Called by ByteAccount::hold(), so it must only schedule that. The
     * account has released its bytes already.
     */
    virtual void evict() = 0;
};

/** What a holder holds. */
struct HeldBytes
{
    std::size_t bytes = 0;
    std::size_t progress = 0; ///< Bytes that the peer has taken since the holder began to hold.
    std::chrono::steady_clock::time_point since;
};

struct ByteAccountOptions
{
    std::size_t limit = 64 * 1024 * 1024; ///< Of all holders together.
    /** The rate of progress by which holders are compared, see ByteAccount. */
    double expectedBytesPerSecond = 64.0 * 1024.0;
};

/**
 * The bytes that a process holds for its peers, with a limit. Above it, the holder that is furthest
 * behind the expected rate is evicted, and of those that are equally far the one that holds most.
 * A peer that reads at the expected rate is evicted only when all others are ahead of it.
 */
class ByteAccount
{
    using SteadyTime = std::chrono::steady_clock::time_point;

    ByteAccountOptions m_options;
    std::unordered_map<ByteHolder *, HeldBytes> m_holders;
    std::size_t m_bytes = 0;
    std::uint64_t m_evictions = 0;

    ByteHolder *worstHolder(SteadyTime now) const;

public:
    explicit ByteAccount(const ByteAccountOptions &options) : m_options(options) {}
    ByteAccount(const ByteAccount &) = delete;
    ByteAccount &operator=(const ByteAccount &) = delete;

    /** Sets what a holder holds, then evicts holders, possibly this one, down to the limit. */
    void hold(ByteHolder &holder, const HeldBytes &held, SteadyTime now);
    /** Removes a holder; it must not be destroyed before. */
    void release(ByteHolder &holder);

    void setLimit(std::size_t limit) { m_options.limit = limit; }
    std::size_t limit() const { return m_options.limit; }
    std::size_t bytes() const { return m_bytes; }
    std::uint64_t evictions() const { return m_evictions; }
};

} // namespace jacinthshift

#endif // CORE_BYTE_ACCOUNT_H
