#ifndef MODULES_USAGE_TESTS_USAGE_WORLD_H
#define MODULES_USAGE_TESTS_USAGE_WORLD_H

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "modules/usage/usage_duty.h"
#include "tests/support/manual_timer_service.h"

namespace jacinthshift {

/** What goes wrong with one call to the register or the receiver, or at its time. */
enum class UsageFault {
    None,
    LoseResponse,
    Drop,
    TakeEffectLate,
    FreezeNode,
    KillNode,
    RestoreRegister
};

/** The calls at which faults happen, counted over all nodes. */
using UsageFaultPlan = std::map<std::size_t, UsageFault>;

/** A report that the receiver has accepted. */
struct AcceptedReport
{
    std::size_t node = 0;
    UsageReport report;
    SteadyTime at;
};

/**
 * A register, a receiver and three candidates that are restarted when they are killed. Each
 * gathering of counts has other counts, so that a window that is gathered twice shows if both are
 * reported.
 */
class UsageWorld
{
    struct Candidate;
    class NodeRegister;
    class NodeReceiver;
    class NodeSource;
    using Change = std::function<void(UsageRegisterState &)>;

    UsageFaultPlan m_plan;
    std::size_t m_calls = 0;
    UsageRegisterState m_register;
    std::vector<Change> m_changes; ///< Of the register, to restore older copies.
    std::uint64_t m_highestToken = 0;
    std::uint64_t m_gathered = 0;

public:
    ManualTimerService timers;
    std::vector<AcceptedReport> accepted;
    std::set<std::pair<std::uint64_t, std::size_t>> tokens; ///< With the nodes that used them.

private:
    std::vector<std::unique_ptr<Candidate>> m_candidates;

    UsageFault nextFault(std::size_t node);
    void restoreRegister();
    absl::Status tryChange(std::uint64_t expectedEnd, const Change &change);
    ReportOutcome receive(std::size_t node, const UsageHolder &holder, const UsageReport &report);
    void write(std::size_t node, std::uint64_t expectedEnd, const Change &change,
               const UsageRegister::WriteCallback &callback);
    void read(std::size_t node, const UsageRegister::ReadCallback &callback);
    void report(std::size_t node, const UsageHolder &holder, const UsageReport &report,
                const std::function<void(ReportOutcome)> &callback);
    void announce(std::size_t node, const UsageReport &report);
    /** Runs a callback unless the node's process has ended; later if it is frozen. */
    void respond(std::size_t node, std::chrono::milliseconds delay,
                 const std::function<void()> &callback);

public:
    explicit UsageWorld(const UsageFaultPlan &plan);
    ~UsageWorld();
    UsageWorld(const UsageWorld &) = delete;
    UsageWorld &operator=(const UsageWorld &) = delete;

    void run(std::chrono::milliseconds time);
    /** Returns which rule the accepted reports break; empty if none. */
    std::string violation() const;
    std::set<std::uint64_t> reportedWindows() const;
};

} // namespace jacinthshift

#endif // MODULES_USAGE_TESTS_USAGE_WORLD_H
