#ifndef MODULES_FLEET_PART_SENDER_H
#define MODULES_FLEET_PART_SENDER_H

#include <cstddef>
#include <functional>
#include <list>
#include <memory>

#include "core/byte_account.h"
#include "core/shared_bytes.h"

#include "modules/fleet/call_key.h"
#include "modules/fleet/fleet_network.h"

namespace jacinthshift {

/** Whose bodies are sent. */
enum class BodyKind { Request, Response };

struct PartSenderOptions
{
    BodyKind kind = BodyKind::Response;
    /** Bytes of parts sent per second to all nodes together; zero for no limit. */
    double bytesPerSecond = 0.0;
    /** A part delays other messages by its transmission time: 11 ms at 12 Mbit/s. */
    std::size_t partBytes = 16 * 1024;
    /** Bytes that may be sent at once after a pause or a late timer. */
    std::size_t burstBytes = 32 * 1024;
    /** A link on which more bytes wait gets no further part: its peer reads too slowly. */
    std::size_t maxQueuedBytesPerLink = 64 * 1024;
    /** How often links with too many waiting bytes are checked. */
    std::chrono::milliseconds blockedLinkPeriod{20};
    std::shared_ptr<ByteAccount> account; ///< By which transfers are evicted; null for none.
};

/** A body that is sent in parts. */
struct PartedBody
{
    SharedBytes bytes;
    std::shared_ptr<const ByteLease> lease; ///< The room that it takes; null if not counted.
    bool waits = false;                     ///< Nothing is sent before start().
};

/**
 * Sends large bodies in parts, at a rate that the VM's link can carry. Other messages are
 * sent in between without delay, on the same link and on others, instead of behind all bodies.
 * Bodies are sent one after the other, as sending them at the same time would delay all of them to
 * the end of the last.
 */
class PartSender
{
    struct Transfer final : ByteHolder
    {
        PartSender &sender;
        CallKey call; ///< Its node is the one that receives the parts.
        PartedBody body;
        std::size_t sent = 0;
        SteadyTime since;

        Transfer(PartSender &owner, CallKey key, PartedBody parted);
        ~Transfer() override;
        Transfer(const Transfer &) = delete;
        Transfer &operator=(const Transfer &) = delete;

        std::size_t remaining() const { return body.bytes.size() - sent; }
        void updateAccount();
        void evict() override;
    };
    using Transfers = std::list<Transfer>;
    using EvictedCallback = std::function<void(const CallKey &)>;

    PartSenderOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    Transfers m_transfers;
    std::size_t m_queuedBytes = 0;
    double m_tokens = 0.0; ///< Bytes that may be sent now.
    SteadyTime m_tokensUpdatedAt;
    Timer m_timer;
    EvictedCallback m_evicted;

    Transfers::iterator find(const CallKey &call);
    void refillTokens();
    void sendDueParts();
    /**
     * Sends parts of a body while tokens and its link allow. Returns whether the transfer has
     * ended: all parts are sent, or the link is lost.
     */
    bool sendParts(Transfer &transfer);
    bool sendPart(const Transfer &transfer, std::size_t size);
    void scheduleNext();
    Transfers::iterator remove(Transfers::iterator transfer);

public:
    PartSender(const PartSenderOptions &options, FleetNetwork &network, TimerService &timers);

    /** Sets what is called after a transfer was ended because the process needs its room. */
    void setEvictedCallback(EvictedCallback evicted) { m_evicted = std::move(evicted); }
    /** Sends the body of a call, from its start if it was being sent already. */
    void send(const CallKey &call, PartedBody body);
    /** Starts a transfer that waits. */
    void start(const CallKey &call);
    /** Stops sending the body of a call. */
    void cancel(const CallKey &call);
    /** Returns whether the body of a call has not been sent as a whole. */
    bool isSending(const CallKey &call) { return find(call) != m_transfers.end(); }
    /** Returns the number of bodies that have not been sent as a whole. */
    std::size_t transferCount() const { return m_transfers.size(); }
    /** Returns the bytes that have not been sent yet, without those of transfers that wait. */
    std::size_t queuedBytes() const { return m_queuedBytes; }
};

} // namespace jacinthshift

#endif // MODULES_FLEET_PART_SENDER_H
