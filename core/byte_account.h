#ifndef CORE_BYTE_ACCOUNT_H
#define CORE_BYTE_ACCOUNT_H

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <unordered_map>

namespace jacinthshift {

/** Something that holds bytes for a peer, such as a connection with a response that is not read. */
class ByteHolder
{
public:
    virtual ~ByteHolder() = default;

    /**
     * Gives up what it holds, and then releases itself. Called by functions of the account, so it
     * must only schedule that. The account does not count its own bytes any more.
     */
    virtual void evict() = 0;
};

/** What a holder holds. */
struct HeldBytes
{
    std::size_t bytes = 0;       ///< Counted for the holder itself.
    std::size_t leasedBytes = 0; ///< Counted by leases that end with the holder.
    std::size_t progress = 0;    ///< Bytes that the peer has taken or sent since the holder began.
    std::chrono::steady_clock::time_point since;
};

struct ByteAccountOptions
{
    std::size_t limit = 64 * 1024 * 1024; ///< Of all holders and leases together.
    /** The rate of progress by which holders are compared, see ByteAccount. */
    double expectedBytesPerSecond = 64.0 * 1024.0;
    /** A holder without progress for longer is behind by all that it should have taken since. */
    std::chrono::milliseconds stallTime{500};
    /** A larger lease leaves reservedShare of the limit to smaller ones. */
    std::size_t smallLeaseBytes = 64 * 1024;
    double reservedShare = 0.125;
};

class ByteLease;

/** Whether a lease could be extended. */
enum class LeaseResult {
    Granted,
    Evicting, ///< Holders were evicted for it; to be tried again once these are gone.
    Refused,
};

/**
 * The bytes that a process holds for its peers, with a limit. Above it, the holder that is furthest
 * behind the expected rate is evicted, and of those that are equally far the one that holds most.
 * A peer that reads at the expected rate is evicted only when all others are ahead of it.
 *
 * Holders can be evicted at any time. Bytes that cannot be given up by themselves, such as those of
 * a request that runs, are leased: room for them is taken before they are read.
 */
class ByteAccount : public std::enable_shared_from_this<ByteAccount>
{
    using SteadyTime = std::chrono::steady_clock::time_point;

    struct Holding
    {
        HeldBytes held;
        SteadyTime progressAt; ///< When the progress last changed.
    };

    ByteAccountOptions m_options;
    std::unordered_map<ByteHolder *, Holding> m_holders;
    /** The leased bytes of holders that were evicted and have not been released. */
    std::unordered_map<ByteHolder *, std::size_t> m_evicted;
    std::size_t m_bytes = 0;
    std::size_t m_evictedBytes = 0; ///< Sum of m_evicted.
    std::uint64_t m_evictions = 0;
    std::uint64_t m_refusals = 0;

    /** Returns by how many bytes a holder is behind the expected rate; negative if it is ahead. */
    double lag(const HeldBytes &held, SteadyTime progressAt, SteadyTime now) const;
    ByteHolder *worstHolder(SteadyTime now) const;
    void evict(ByteHolder &holder);
    /** Returns the bytes that remain when all evicted holders are gone. */
    std::size_t remainingBytes() const
    {
        return m_bytes > m_evictedBytes ? m_bytes - m_evictedBytes : 0;
    }
    std::size_t limitFor(std::size_t leaseBytes) const;

    friend class ByteLease;

public:
    explicit ByteAccount(const ByteAccountOptions &options) : m_options(options) {}
    ByteAccount(const ByteAccount &) = delete;
    ByteAccount &operator=(const ByteAccount &) = delete;

    /** Sets what a holder holds, then evicts holders, possibly this one, down to the limit. */
    void hold(ByteHolder &holder, const HeldBytes &held, SteadyTime now);
    /** Removes a holder; it must not be destroyed before. */
    void release(ByteHolder &holder);

    /**
     * Extends a lease to a number of bytes. If there is no room, holders that are further behind
     * than the requester are evicted. The account must be owned by a shared pointer.
     */
    LeaseResult extend(ByteLease &lease, std::size_t bytes, const HeldBytes &requester,
                       SteadyTime now);
    /** Returns whether a lease of this size can ever be granted. */
    bool canGrant(std::size_t bytes) const { return bytes <= limitFor(bytes); }

    void setLimit(std::size_t limit) { m_options.limit = limit; }
    std::size_t limit() const { return m_options.limit; }
    std::size_t bytes() const { return m_bytes; }
    std::uint64_t evictions() const { return m_evictions; }
    /** Returns the number of leases that were refused. */
    std::uint64_t refusals() const { return m_refusals; }
};

/** Room in a ByteAccount, which is given back with the lease. */
class ByteLease
{
    std::shared_ptr<ByteAccount> m_account;
    std::size_t m_bytes = 0;

    friend class ByteAccount;

public:
    ByteLease() = default;
    ~ByteLease() { reset(); }
    ByteLease(const ByteLease &) = delete;
    ByteLease &operator=(const ByteLease &) = delete;

    std::size_t bytes() const { return m_bytes; }
    void reset();
};

} // namespace jacinthshift

#endif // CORE_BYTE_ACCOUNT_H
