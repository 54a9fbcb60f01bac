#ifndef MODULES_USAGE_USAGE_RECEIVER_H
#define MODULES_USAGE_USAGE_RECEIVER_H

#include <functional>

#include "modules/usage/usage_report.h"

namespace jacinthshift {

enum class ReportOutcome {
    Accepted,
    Fenced, ///< A report with a higher token was seen.
    Failed, ///< It may have been accepted or not, or may still be.
};

/** Receives the usage reports. */
class UsageReceiver
{
public:
    virtual ~UsageReceiver() = default;

    virtual void report(const UsageHolder &holder, const UsageReport &report,
                        std::function<void(ReportOutcome)> callback) = 0;
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_RECEIVER_H
