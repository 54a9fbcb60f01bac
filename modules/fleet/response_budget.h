#ifndef MODULES_FLEET_RESPONSE_BUDGET_H
#define MODULES_FLEET_RESPONSE_BUDGET_H

#include <chrono>
#include <cstddef>
#include <string>
#include <unordered_map>

namespace jacinthshift {

struct ResponseBudgetOptions
{
    /** Bytes of large responses that the VM's link can send per second; zero for no limit. */
    double bytesPerSecond = 0.0;
    std::size_t largeResponseBytes = 8 * 1024; ///< Smaller responses are not counted.
    /**
     * Share of the target latency within which the response to a caller's first attempt must be
     * sent. The rest is left to callers that return after a refusal and have less time.
     */
    double firstAttemptShare = 0.75;
    double sampleWeight = 0.1; ///< Weight of a new response in the mean values of its route.
    std::chrono::milliseconds minRetryAfter{50};
    std::chrono::milliseconds maxRetryAfter{1'000};
};

/** A request as far as the link is concerned. */
struct ResponseOffer
{
    const std::string &route;
    bool isCallerRetry = false;
    std::chrono::milliseconds targetTimeLeft{0};
};

/**
 * Admits requests with large responses only while the VM's link can send these in time. Without
 * this, a narrow link fills with responses that all arrive late, although the backend server has
 * free slots.
 */
class ResponseBudget
{
    struct RouteMeans
    {
        double bytes = 0.0;
        double serviceMs = 0.0;
    };

    ResponseBudgetOptions m_options;
    std::unordered_map<std::string, RouteMeans> m_routes;
    std::size_t m_reservedBytes = 0;

    double transmissionMs(double bytes) const;

public:
    /** What was decided about a request. */
    struct Decision
    {
        bool admitted = true;
        std::size_t reservedBytes = 0; ///< To be given to release() when the request has ended.
        std::chrono::milliseconds retryAfter{0}; ///< Until the link is expected to have room.
    };

    explicit ResponseBudget(const ResponseBudgetOptions &options) : m_options(options) {}

    /** Decides about a request, while queuedBytes of earlier responses wait to be sent. */
    Decision offer(const ResponseOffer &offer, std::size_t queuedBytes);
    void release(std::size_t reservedBytes) { m_reservedBytes -= reservedBytes; }
    /** Records a response of a route and how long the request took until it was there. */
    void recordResponse(const std::string &route, std::size_t bytes,
                        std::chrono::milliseconds serviceTime);
    /** Returns how long the link needs for the waiting and the expected responses. */
    std::chrono::milliseconds backlog(std::size_t queuedBytes) const;
};

} // namespace jacinthshift

#endif // MODULES_FLEET_RESPONSE_BUDGET_H
