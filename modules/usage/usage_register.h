#ifndef MODULES_USAGE_USAGE_REGISTER_H
#define MODULES_USAGE_USAGE_REGISTER_H

#include <functional>
#include <optional>
#include <vector>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "modules/usage/usage_report.h"
#include "servers/keyed_log.h"

namespace jacinthshift {

/** What the register held when it was read. */
struct UsageRegisterState
{
    TablePosition end; ///< Writes are made on condition that the register still ends there.
    std::optional<UsageHolder> holder;
    std::vector<UsageReport> sealed; ///< Reports of the last windows.
};

/**
 * Stores who reports usage and what was reported, so that a new holder repeats the reports of the
 * former one exactly. Both are in one table, so a new holder makes the writes of the former one
 * fail.
 */
class UsageRegister
{
public:
    using ReadCallback = std::function<void(absl::StatusOr<UsageRegisterState>)>;
    using WriteCallback = std::function<void(absl::Status)>;

    virtual ~UsageRegister() = default;

    virtual void read(ReadCallback callback) = 0;
    /**
     * Both writes fail with FailedPrecondition if the register does not end at an offset, and with
     * Unknown if they may have taken effect.
     */
    virtual void writeHolder(const UsageHolder &holder, std::uint64_t expectedEnd,
                             WriteCallback callback) = 0;
    virtual void seal(const UsageReport &report, std::uint64_t expectedEnd,
                      WriteCallback callback) = 0;
};

} // namespace jacinthshift

#endif // MODULES_USAGE_USAGE_REGISTER_H
