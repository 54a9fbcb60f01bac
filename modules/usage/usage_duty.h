#ifndef MODULES_USAGE_USAGE_DUTY_H
#define MODULES_USAGE_USAGE_DUTY_H

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "modules/usage/usage_receiver.h"
#include "modules/usage/usage_register.h"
#include "modules/usage/usage_source.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct UsageDutyOptions
{
    std::string node;
    std::chrono::milliseconds windowLength{5'000};
    /** From the end of a window until the holder gathers its counts: late ones arrive by then. */
    std::chrono::milliseconds collectDelay{1'500};
    /** From the end of a window until the first candidate takes over from a holder. */
    std::chrono::milliseconds takeOverDelay{3'500};
    std::chrono::milliseconds rankDelay{1'000}; ///< Added for each candidate that ranks before.
    /** From the end of a window until its report is given up. */
    std::chrono::milliseconds giveUpDelay{20'000};
    /**
     * A node that has lost the duty does not take it again for the lease and the time after which a
     * call without a response may still take effect.
     */
    std::chrono::milliseconds takeAgainDelay{15'000};
    std::chrono::milliseconds initialRetryDelay{500};
    std::chrono::milliseconds maxRetryDelay{2'000};
};

/**
 * Reports the usage of each window, while this node holds that duty, and takes the duty over when
 * reports are missing.
 *
 * A report is sealed in the register before it is sent, so that whoever sends it sends the same
 * counts. Each write to the register is conditional on no other write since, so a node that has
 * been replaced as holder cannot seal anything, however late it notices. The condition is an
 * offset, which a restored register may reach again; therefore each write is confirmed by a read.
 */
class UsageDuty
{
    enum class Step { Idle, Reading, Taking, Confirming, Collecting, Sealing };

    struct SealedReport
    {
        UsageReport report;
        bool sent = false; ///< This node has sent it, and it was accepted.
        bool inFlight = false;
        bool registered = true; ///< The register held it when it was last read.
        bool announced = false; ///< The other candidates were told by this node.
        SteadyTime nextSendAt;
        std::chrono::milliseconds retryDelay{0};
    };

    UsageDutyOptions m_options;
    TimerService &m_timers;
    UsageRegister &m_register;
    UsageReceiver &m_receiver;
    UsageSource &m_source;
    std::uint64_t m_firstWindow; ///< Earlier ones ended before this process started.
    Step m_step = Step::Idle;
    bool m_isHolder = false;
    std::uint64_t m_token = 0;
    TablePosition m_end; ///< Of the register, after this node's last read or write.
    std::map<std::uint64_t, SealedReport> m_sealed;
    /** A report whose seal may have taken effect; it is not gathered again. */
    std::optional<UsageReport> m_pendingSeal;
    SteadyTime m_nextStepAt;
    SteadyTime m_mayTakeAt; ///< When the duty may be taken again after it was lost.

    WallTime endOf(std::uint64_t window) const;
    /** Returns the oldest window whose report is not sealed a while after its end. */
    std::optional<std::uint64_t> missingReport(std::chrono::milliseconds delay) const;
    void dropOldReports();
    void sendDueReports();
    void send(std::uint64_t window);
    void readAndTake(std::size_t rank);
    void take(const UsageRegisterState &state);
    /** Reads the register to see whether this node holds the duty. */
    void confirm();
    void confirmed(const UsageRegisterState &state);
    void addSealed(const UsageRegisterState &state);
    /** Tells the other candidates what is sealed, so that they know it if the register loses it. */
    void announceSealed();
    void sealNext();
    void seal(const UsageReport &report);
    void lose(const std::string &reason);
    void retryLater();
    std::chrono::milliseconds takeOverDelay(std::size_t rank) const;

public:
    UsageDuty(const UsageDutyOptions &options, TimerService &timers, UsageRegister &usageRegister,
              UsageReceiver &receiver, UsageSource &source);

    /** Makes the next step that is due. A node without a rank does not take the duty over. */
    void tick(std::optional<std::size_t> rank);
    /** Records a report that another node has sealed. */
    void sealedElsewhere(const UsageReport &report);
    /** Takes the duty again with a token of the new era, if this node has it. */
    void logRestored();
    bool isHolder() const { return m_isHolder; }
    std::uint64_t token() const { return m_token; }
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_DUTY_H
