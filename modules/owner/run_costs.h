#ifndef MODULES_OWNER_RUN_COSTS_H
#define MODULES_OWNER_RUN_COSTS_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "modules/cost/backend_pace.h"
#include "modules/cost/cost_model.h"
#include "modules/fleet/messages.h"
#include "modules/owner/remaining_work.h"

namespace jacinthshift {

/**
 * What an owner knows of the costs of its backend server's requests.
 *
 * It has information only after the backend server has sent its load in a response. Without that,
 * nothing is reported or estimated.
 */
class RunCosts
{
    CostModel m_model{CostModelOptions{}};
    BackendPace m_pace{BackendPaceOptions{}};
    RemainingWork m_remaining;
    bool m_hasLoad = false; ///< The backend server has sent its load.
    /** Sum of the remaining work, computed at most once per MaxSumAge. */
    mutable double m_sum = 0.0;
    mutable SteadyTime m_sumAt;

    double remainingMilliseconds(SteadyTime now) const;

public:
    /** The sum over all requests is needed with every response and changes little in this time. */
    static constexpr std::chrono::milliseconds MaxSumAge{5};

    /** Processes the load header of a response, which may be empty or malformed. */
    void recordLoad(std::string_view header, SteadyTime now);
    void recordRun(const std::string &route, const std::string &workspace,
                   std::chrono::microseconds serviceTime, SteadyTime now);
    void added(std::uint64_t id, const std::string &route, const std::string &workspace);
    void started(std::uint64_t id, SteadyTime now) { m_remaining.start(id, now); }
    void ended(std::uint64_t id) { m_remaining.remove(id); }
    /** Forgets what is known of the current backend server; a new one has registered. */
    void reset();

    /** Returns how long a run takes at the current pace, or nothing if that is not known. */
    std::optional<std::chrono::milliseconds>
    expectedTime(const std::string &route, const std::string &workspace, SteadyTime now) const;
    /** Returns how long a run of any route takes, or zero if that is not known. */
    std::chrono::milliseconds meanTime(SteadyTime now) const;
    /** Sets the fields of the status that describe costs. */
    void fill(BackendStatus &status, SteadyTime now) const;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_RUN_COSTS_H
