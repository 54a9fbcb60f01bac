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

PartSender::Transfer::Transfer(PartSender &owner, CallKey key, PartedBody parted)
    : sender(owner), call(std::move(key)), body(std::move(parted)), since(owner.m_timers.now())
{
}

PartSender::Transfer::~Transfer()
{
    if (sender.m_options.account != nullptr)
        sender.m_options.account->release(*this);
}

void PartSender::Transfer::updateAccount()
{
    if (sender.m_options.account == nullptr || body.lease == nullptr)
        return;
    sender.m_options.account->hold(
            *this, {.leasedBytes = body.lease->bytes(), .progress = sent, .since = since},
            sender.m_timers.now());
}

void PartSender::Transfer::evict()
{
    sender.m_timers.startOnce(std::chrono::milliseconds(0), [&owner = sender, key = call] {
        if (!owner.isSending(key))
            return;
        owner.cancel(key);
        if (owner.m_evicted != nullptr)
            owner.m_evicted(key);
    });
}

PartSender::Transfers::iterator PartSender::find(const CallKey &call)
{
    return std::find_if(m_transfers.begin(), m_transfers.end(),
                        [&call](const Transfer &transfer) { return transfer.call == call; });
}

void PartSender::send(const CallKey &call, PartedBody body)
{
    cancel(call);
    Transfer &transfer = m_transfers.emplace_back(*this, call, std::move(body));
    transfer.updateAccount();
    if (transfer.body.waits)
        return;
    m_queuedBytes += transfer.remaining();
    if (!m_timer.isActive())
        sendDueParts();
}

void PartSender::start(const CallKey &call)
{
    const auto found = find(call);
    if (found == m_transfers.end() || !found->body.waits)
        return;
    found->body.waits = false;
    m_queuedBytes += found->remaining();
    if (!m_timer.isActive())
        sendDueParts();
}

void PartSender::cancel(const CallKey &call)
{
    const auto found = find(call);
    if (found != m_transfers.end())
        remove(found);
}

PartSender::Transfers::iterator PartSender::remove(Transfers::iterator transfer)
{
    if (!transfer->body.waits)
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
    for (auto transfer = m_transfers.begin(); transfer != m_transfers.end();) {
        const bool ended = !transfer->body.waits && sendParts(*transfer);
        transfer = ended ? remove(transfer) : std::next(transfer);
    }
    if (m_queuedBytes > 0)
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
        // A lost link ends the transfer: the call is resumed over the next one.
        if (!sendPart(transfer, size))
            return true;
        transfer.sent += size;
        m_queuedBytes -= size;
        m_tokens -= static_cast<double>(size);
        transfer.updateAccount();
    }
    return true;
}

bool PartSender::sendPart(const Transfer &transfer, std::size_t size)
{
    const CallKey &call = transfer.call;
    std::string bytes = transfer.body.bytes.string().substr(transfer.sent, size);
    if (m_options.kind == BodyKind::Request)
        return m_network.sendUncompressed(call.node,
                                          RequestPartMessage{.callerProcess = call.process,
                                                             .call = call.number,
                                                             .offset = transfer.sent,
                                                             .bytes = std::move(bytes)});
    return m_network.sendUncompressed(call.node, ResponsePartMessage{.callerProcess = call.process,
                                                                     .call = call.number,
                                                                     .offset = transfer.sent,
                                                                     .bytes = std::move(bytes)});
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
