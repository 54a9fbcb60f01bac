#include "modules/fleet/part_sender.h"

#include <algorithm>
#include <cmath>

namespace jacinthshift {

PartSender::PartSender(const PartSenderOptions &options, FleetNetwork &network,
                       TimerService &timers)
    : m_options(options)
    , m_network(network)
    , m_timers(timers)
    , m_tokens(static_cast<double>(options.burstBytes))
    , m_tokensUpdatedAt(timers.now())
{
}

void PartSender::send(const CallKey &call, std::shared_ptr<const std::string> body)
{
    cancel(call);
    m_queuedBytes += body->size();
    m_transfers.push_back(Transfer{.call = call, .body = std::move(body)});
    if (!m_timer.isActive())
        sendDueParts();
}

void PartSender::cancel(const CallKey &call)
{
    const auto found =
            std::find_if(m_transfers.begin(), m_transfers.end(),
                         [&call](const Transfer &transfer) { return transfer.call == call; });
    if (found != m_transfers.end())
        remove(found);
}

PartSender::Transfers::iterator PartSender::remove(Transfers::iterator transfer)
{
    m_queuedBytes -= transfer->remaining();
    return m_transfers.erase(transfer);
}

void PartSender::refillTokens()
{
    const SteadyTime now = m_timers.now();
    const double elapsed = std::chrono::duration<double>(now - m_tokensUpdatedAt).count();
    m_tokensUpdatedAt = now;
    m_tokens = std::min(static_cast<double>(m_options.burstBytes),
                        m_tokens + elapsed * m_options.bytesPerSecond);
}

void PartSender::sendDueParts()
{
    m_timer.stop();
    refillTokens();
    for (auto transfer = m_transfers.begin(); transfer != m_transfers.end();)
        transfer = sendParts(*transfer) ? remove(transfer) : std::next(transfer);
    if (!m_transfers.empty())
        scheduleNext();
}

bool PartSender::sendParts(Transfer &transfer)
{
    const bool limited = m_options.bytesPerSecond > 0.0;
    while (transfer.remaining() > 0) {
        const std::size_t size = std::min(m_options.partBytes, transfer.remaining());
        if ((limited && m_tokens < static_cast<double>(size))
            || m_network.queuedBytes(transfer.call.node) > m_options.maxQueuedBytesPerLink)
            return false;
        // A lost link ends the transfer: the calling node requests the result over the next one.
        if (!m_network.sendUncompressed(
                    transfer.call.node,
                    ResponsePartMessage{.callerProcess = transfer.call.process,
                                        .call = transfer.call.number,
                                        .offset = transfer.sent,
                                        .bytes = transfer.body->substr(transfer.sent, size)}))
            return true;
        transfer.sent += size;
        m_queuedBytes -= size;
        m_tokens -= static_cast<double>(size);
    }
    return true;
}

void PartSender::scheduleNext()
{
    std::chrono::milliseconds delay = m_options.blockedLinkPeriod;
    const double missing = static_cast<double>(m_options.partBytes) - m_tokens;
    if (m_options.bytesPerSecond > 0.0 && missing > 0.0) {
        delay = std::chrono::milliseconds(
                std::max(1L, std::lround(missing * 1'000.0 / m_options.bytesPerSecond)));
    }
    m_timer = Timer(m_timers, m_timers.startOnce(delay, [this] { sendDueParts(); }));
}

} // namespace jacinthshift
