#include "modules/usage/usage_duty.h"

#include <algorithm>

#include "core/logger.h"

namespace jacinthshift {

namespace {

// Tokens of a later era of the register are greater than all of earlier ones, which may be lost.
constexpr unsigned EraShift = 20;
// Sealed reports that are remembered, more than may still be sent.
constexpr std::size_t MaxSealedReports = 16;

} // namespace

UsageDuty::UsageDuty(const UsageDutyOptions &options, TimerService &timers,
                     UsageRegister &usageRegister, UsageReceiver &receiver, UsageSource &source)
    : m_options(options)
    , m_timers(timers)
    , m_register(usageRegister)
    , m_receiver(receiver)
    , m_source(source)
    , m_firstWindow(windowAt(timers.wallNow(), options.windowLength))
{
}

WallTime UsageDuty::endOf(std::uint64_t window) const
{
    return windowEnd(window, m_options.windowLength);
}

std::chrono::milliseconds UsageDuty::takeOverDelay(std::size_t rank) const
{
    return m_options.takeOverDelay + m_options.rankDelay * static_cast<std::int64_t>(rank);
}

std::optional<std::uint64_t> UsageDuty::missingReport(std::chrono::milliseconds delay) const
{
    const WallTime now = m_timers.wallNow();
    const std::uint64_t oldest =
            std::max(m_firstWindow, windowAt(now - m_options.giveUpDelay, m_options.windowLength));
    for (std::uint64_t window = oldest; endOf(window) + delay <= now; ++window) {
        if (!m_sealed.contains(window))
            return window;
    }
    return std::nullopt;
}

void UsageDuty::tick(std::optional<std::size_t> rank)
{
    dropOldReports();
    if (m_isHolder)
        sendDueReports();
    if (m_step != Step::Idle || m_timers.now() < m_nextStepAt)
        return;
    if (m_isHolder)
        sealNext();
    else if (rank && m_timers.now() >= m_mayTakeAt && missingReport(takeOverDelay(*rank)))
        readAndTake(*rank);
}

void UsageDuty::dropOldReports()
{
    while (m_sealed.size() > MaxSealedReports) {
        const SealedReport &oldest = m_sealed.begin()->second;
        if (m_isHolder && !oldest.sent)
            logEvent(Event::UsageDropped, {{"window", oldest.report.window}});
        m_sealed.erase(m_sealed.begin());
    }
}

void UsageDuty::sendDueReports()
{
    const WallTime now = m_timers.wallNow();
    for (auto &[window, sealed] : m_sealed) {
        const bool isDue = sealed.registered && sealed.announced && !sealed.sent && !sealed.inFlight
                           && m_timers.now() >= sealed.nextSendAt
                           && now < endOf(window) + m_options.giveUpDelay;
        if (isDue)
            send(window);
    }
}

void UsageDuty::send(std::uint64_t window)
{
    SealedReport &sealed = m_sealed.at(window);
    sealed.inFlight = true;
    const std::uint64_t token = m_token;
    m_receiver.report(
            {.node = m_options.node, .token = token}, sealed.report,
            [this, window, token](ReportOutcome outcome) {
                const auto found = m_sealed.find(window);
                if (found == m_sealed.end())
                    return;
                SealedReport &ended = found->second;
                ended.inFlight = false;
                ended.sent = outcome == ReportOutcome::Accepted;
                if (ended.sent) {
                    logEvent(Event::UsageReported, {{"window", window},
                                                    {"token", token},
                                                    {"runs", totalRuns(ended.report.counts)}});
                    return;
                }
                if (outcome == ReportOutcome::Fenced && token == m_token) {
                    lose("a higher token was seen");
                    return;
                }
                ended.retryDelay = std::clamp(ended.retryDelay * 2, m_options.initialRetryDelay,
                                              m_options.maxRetryDelay);
                ended.nextSendAt = m_timers.now() + ended.retryDelay;
            });
}

void UsageDuty::retryLater()
{
    m_step = Step::Idle;
    m_nextStepAt = m_timers.now() + m_options.initialRetryDelay;
}

void UsageDuty::readAndTake(std::size_t rank)
{
    m_step = Step::Reading;
    m_register.read([this, rank](const absl::StatusOr<UsageRegisterState> &state) {
        if (!state.ok()) {
            retryLater();
            return;
        }
        addSealed(*state);
        m_step = Step::Idle;
        // The holder may have sealed the report without this node having been told.
        if (missingReport(takeOverDelay(rank)))
            take(*state);
    });
}

void UsageDuty::addSealed(const UsageRegisterState &state)
{
    for (auto &[window, sealed] : m_sealed)
        sealed.registered = false;
    for (const UsageReport &report : state.sealed) {
        SealedReport &sealed =
                m_sealed.try_emplace(report.window, SealedReport{.report = report}).first->second;
        // A register that was restored may hold a late write of a former holder in place of what
        // this node has been told and what may have been sent.
        sealed.registered = sealed.report == report;
        if (m_pendingSeal && m_pendingSeal->window == report.window)
            m_pendingSeal.reset();
    }
}

void UsageDuty::take(const UsageRegisterState &state)
{
    m_step = Step::Taking;
    m_end = state.end;
    const std::uint64_t former = state.holder ? state.holder->token : 0;
    m_token = std::max({former + 1, m_token + 1, (state.end.era << EraShift) + 1});
    m_register.writeHolder({.node = m_options.node, .token = m_token}, m_end.offset,
                           [this](const absl::Status &status) {
                               if (absl::IsFailedPrecondition(status)) {
                                   m_step = Step::Idle;
                                   lose("another node has taken the duty");
                               } else if (status.ok() || absl::IsUnknown(status)) {
                                   // The register may have been restored between read and write.
                                   confirm();
                               } else {
                                   retryLater();
                               }
                           });
}

void UsageDuty::confirm()
{
    m_step = Step::Confirming;
    m_register.read([this](const absl::StatusOr<UsageRegisterState> &state) {
        if (!state.ok()) {
            // Whether this node is the holder is not known, so it stops until it is.
            m_isHolder = false;
            retryLater();
            return;
        }
        m_step = Step::Idle;
        confirmed(*state);
    });
}

void UsageDuty::confirmed(const UsageRegisterState &state)
{
    addSealed(state);
    const bool isConfirmed =
            state.end.era == m_end.era
            && state.holder == UsageHolder{.node = m_options.node, .token = m_token};
    if (!isConfirmed) {
        lose(state.end.era != m_end.era ? "the register was restored"
                                        : "another node holds the duty");
        return;
    }
    m_end = state.end;
    if (!m_isHolder) {
        m_isHolder = true;
        logEvent(Event::UsageDutyTaken, {{"token", m_token}, {"sealed", state.sealed.size()}});
    }
    announceSealed();
    sendDueReports();
}

void UsageDuty::announceSealed()
{
    for (auto &[window, sealed] : m_sealed) {
        if (!sealed.registered || sealed.announced)
            continue;
        sealed.announced = true;
        logEvent(Event::UsageSealed, {{"window", window},
                                      {"token", m_token},
                                      {"runs", totalRuns(sealed.report.counts)},
                                      {"workspaces", sealed.report.counts.size()}});
        m_source.announce(sealed.report);
    }
}

void UsageDuty::sealNext()
{
    // What was sealed before the register lost it must not be reported with other counts.
    for (const auto &[window, sealed] : m_sealed) {
        if (!sealed.registered && m_timers.wallNow() < endOf(window) + m_options.giveUpDelay) {
            seal(sealed.report);
            return;
        }
    }
    if (m_pendingSeal) {
        seal(*m_pendingSeal);
        return;
    }
    const std::optional<std::uint64_t> window = missingReport(m_options.collectDelay);
    if (!window)
        return;
    m_step = Step::Collecting;
    m_source.collect(*window, [this, window](UsageCounts counts) {
        m_step = Step::Idle;
        if (m_isHolder && !m_sealed.contains(*window))
            seal(UsageReport{.window = *window, .counts = std::move(counts)});
    });
}

void UsageDuty::seal(const UsageReport &report)
{
    m_step = Step::Sealing;
    const UsageReport written = report;
    if (!m_sealed.contains(report.window))
        m_pendingSeal = report;
    m_register.seal(written, m_end.offset, [this](const absl::Status &status) {
        if (absl::IsUnavailable(status))
            retryLater();
        else
            confirm();
    });
}

void UsageDuty::sealedElsewhere(const UsageReport &report)
{
    // Also while this node believes that it is the holder: it may have been replaced, and its own
    // report may never have been sealed.
    m_sealed.try_emplace(report.window, SealedReport{.report = report});
    if (m_pendingSeal && m_pendingSeal->window == report.window)
        m_pendingSeal.reset();
}

void UsageDuty::lose(const std::string &reason)
{
    m_isHolder = false;
    m_pendingSeal.reset();
    m_mayTakeAt = m_timers.now() + m_options.takeAgainDelay;
    logEvent(Event::UsageDutyLost, {{"token", m_token}, {"reason", reason}});
}

void UsageDuty::logRestored()
{
    if (m_isHolder && m_step == Step::Idle)
        confirm();
}

} // namespace jacinthshift
