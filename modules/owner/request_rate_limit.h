#ifndef MODULES_OWNER_REQUEST_RATE_LIMIT_H
#define MODULES_OWNER_REQUEST_RATE_LIMIT_H

#include <chrono>
#include <optional>
#include <string_view>

#include "servers/timer_service.h"

namespace jacinthshift {

struct RequestRateLimitOptions
{
    /**
     * An answer without a limit ends it only this long after the last answer with one, since
     * answers that were written earlier may arrive later.
     */
    std::chrono::milliseconds retention{1'000};
    /** Lower bound in requests per second: without any request nobody would see the limit end. */
    double minRate = 0.25;
};

/** The request rate that one backend server has asked for in its answers, from all callers. */
class RequestRateLimit
{
    RequestRateLimitOptions m_options;
    double m_perSecond = 0.0;
    SteadyTime m_namedAt; ///< When the last answer with a limit arrived.

public:
    explicit RequestRateLimit(const RequestRateLimitOptions &options) : m_options(options) {}

    /**
     * Records an answer and the limit in it, in requests per second, if it names one. Returns
     * whether the limit changed.
     */
    bool recordAnswer(std::optional<double> named, SteadyTime now);
    /** Ends the limit, for a new lifetime of the backend server. */
    void reset() { m_perSecond = 0.0; }

    /** Returns the limit in requests per second; zero for none. */
    double perSecond() const { return m_perSecond; }
};

/** Parses a rate, a decimal number of at least zero. */
std::optional<double> parseRequestRate(std::string_view text);

} // namespace jacinthshift

#endif // MODULES_OWNER_REQUEST_RATE_LIMIT_H
