#ifndef MODULES_FLEET_PART_SENDER_H
#define MODULES_FLEET_PART_SENDER_H

#include <cstddef>
#include <list>
#include <memory>
#include <string>

#include "modules/fleet/call_key.h"
#include "modules/fleet/fleet_network.h"

namespace jacinthshift {

struct PartSenderOptions
{
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
};

/**
 * Sends large response bodies in parts, at a rate that the VM's link can carry. Other messages are
 * sent in between without delay, on the same link and on others, instead of behind all bodies.
 * Bodies are sent one after the other, as sending them at the same time would delay all of them to
 * the end of the last.
 */
class PartSender
{
    struct Transfer
    {
        CallKey call;
        std::shared_ptr<const std::string> body;
        std::size_t sent = 0;

        std::size_t remaining() const { return body->size() - sent; }
    };
    using Transfers = std::list<Transfer>;

    PartSenderOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    Transfers m_transfers;
    std::size_t m_queuedBytes = 0;
    double m_tokens = 0.0; ///< Bytes that may be sent now.
    SteadyTime m_tokensUpdatedAt;
    Timer m_timer;

    void refillTokens();
    void sendDueParts();
    /**
     * Sends parts of a body while tokens and its link allow. Returns whether the transfer has
     * ended: all parts are sent, or the link is lost.
     */
    bool sendParts(Transfer &transfer);
    void scheduleNext();
    Transfers::iterator remove(Transfers::iterator transfer);

public:
    PartSender(const PartSenderOptions &options, FleetNetwork &network, TimerService &timers);

    /** Sends the body of a call's response, from its start if it was being sent already. */
    void send(const CallKey &call, std::shared_ptr<const std::string> body);
    /** Stops sending the body of a call's response. */
    void cancel(const CallKey &call);
    /** Returns the bytes that have not been sent yet. */
    std::size_t queuedBytes() const { return m_queuedBytes; }
};

} // namespace jacinthshift

#endif // MODULES_FLEET_PART_SENDER_H
