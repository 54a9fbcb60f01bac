#ifndef MODULES_USAGE_USAGE_SERVICE_H
#define MODULES_USAGE_USAGE_SERVICE_H

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "modules/fleet/fleet_network.h"
#include "modules/usage/usage_collector.h"
#include "modules/usage/usage_counter.h"
#include "modules/usage/usage_duty.h"

namespace jacinthshift {

struct UsageServiceOptions
{
    UsageDutyOptions duty;
    std::chrono::milliseconds tickPeriod{200};
    std::chrono::milliseconds countsPeriod{1'000}; ///< How often changed counts are sent.
    /** How long the holder waits for a collector if another one of its domain has answered. */
    std::chrono::milliseconds answerTimeout{700};
    /** From the end of a window until its counts are taken as they are. */
    std::chrono::milliseconds collectLimit{6'000};
};

/**
 * Counts this VM's runs by workspace and takes part in reporting those of the whole mesh.
 *
 * The collectors of a failure domain, its nodes with the highest relay capacity, hold the counts of
 * its processes. One node at a time, the holder, asks them for sums and reports; the others are
 * candidates for that duty.
 */
class UsageService final : public FleetObserver, public UsageSource
{
    struct Collection
    {
        std::uint64_t window = 0;
        std::function<void(UsageCounts)> callback;
        SteadyTime startedAt;
        std::set<std::string> outstanding;           ///< Collectors that have not answered.
        std::map<std::string, UsageSumMessage> sums; ///< The greatest sum by failure domain.
        std::map<std::string, std::string> domainOf; ///< Of each collector.
    };
    using CollectorsByDomain = std::map<std::string, std::vector<std::string>>;

    UsageServiceOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    UsageCounter m_counter;
    UsageCollector m_collector;
    UsageDuty m_duty;
    std::vector<std::string> m_ownCollectors; ///< To which the counts were sent last.
    SteadyTime m_nextCounts;
    std::optional<Collection> m_collection;
    Timer m_tickTimer;

    void tick();
    CollectorsByDomain collectors() const;
    /** Returns how many nodes come before this one; nothing if it is not a collector. */
    std::optional<std::size_t> rank(const CollectorsByDomain &collectors) const;
    void sendCounts(const std::vector<std::string> &ownCollectors);
    void sumReceived(const std::string &node, const UsageSumMessage &sum);
    void askCollectors();
    void finishCollectionIfDone(const CollectorsByDomain &collectors);

public:
    UsageService(const UsageServiceOptions &options, FleetNetwork &network, TimerService &timers,
                 UsageRegister &usageRegister, UsageReceiver &receiver);

    /** Records that the backend server was handed a request; requests without a workspace are free.
     */
    void runStarted(const std::string &workspace, SteadyTime at);
    /** Records that it reported that it did not run it. */
    void runRejected(const std::string &workspace, SteadyTime startedAt);
    void logRestored() { m_duty.logRestored(); }
    bool isHolder() const { return m_duty.isHolder(); }

    void collect(std::uint64_t window, std::function<void(UsageCounts)> callback) override;
    void announce(const UsageReport &report) override;
    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &) override {}
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_SERVICE_H
