#ifndef MODULES_COST_COST_MODEL_H
#define MODULES_COST_COST_MODEL_H

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>

namespace jacinthshift {

/** The work of a kind of request, in milliseconds on the backend server at its normal pace. */
struct WorkEstimate
{
    double mean = 0.0; ///< Of usual runs: a run counts with at most CostModelOptions::maxOutlier.
    double high = 0.0; ///< Work that few runs exceed.
};

struct CostModelOptions
{
    /**
     * Weight of the newest run. Runs vary by up to seven times, so that a mean over few runs says
     * more about the last long run than about the route.
     */
    double newestWeight = 0.03;
    /** A longer run counts as this multiple of the mean, so that a rare one does not distort it. */
    double maxOutlier = 3.0;
    double highQuantile = 0.95;
    double quantileStep = 0.08; ///< Step of the quantile's estimate, as a fraction of the estimate.
    std::uint32_t minRuns = 5;  ///< Runs before there is an estimate.
    /** Kinds that are distinguished by workspace; beyond that, only routes are. */
    std::size_t maxKinds = 512;
};

/** Learns how much work the requests of each route, and of each workspace on it, cause. */
class CostModel
{
    struct Learned
    {
        WorkEstimate estimate;
        std::uint32_t runs = 0;
    };

    CostModelOptions m_options;
    std::unordered_map<std::string, Learned> m_routes;
    std::unordered_map<std::string, Learned> m_kinds; ///< By route and workspace.
    Learned m_all;

    static std::string kindKey(const std::string &route, const std::string &workspace);
    void update(Learned &learned, double work) const;

public:
    explicit CostModel(const CostModelOptions &options) : m_options(options) {}

    /** Records a run that took this long while work took `pace` times as long as normal. */
    void record(const std::string &route, const std::string &workspace,
                std::chrono::microseconds serviceTime, double pace);
    /** Returns the work of a kind of request, or nothing before enough runs. */
    std::optional<WorkEstimate> estimate(const std::string &route,
                                         const std::string &workspace) const;
    /** Returns the work of all requests together, or nothing before enough runs. */
    std::optional<WorkEstimate> overall() const;
    void clear();

    /**
     * Returns the work that a run still has to do after it has done some. A run beyond the high
     * quantile is one of the few long ones, and the longer it has run, the longer it will.
     */
    static double expectedRest(const WorkEstimate &estimate, double done);
};

} // namespace jacinthshift

#endif // MODULES_COST_COST_MODEL_H
