#ifndef MODULES_ROLLOUT_ROLLOUT_REGISTER_H
#define MODULES_ROLLOUT_ROLLOUT_REGISTER_H

#include <cstdint>
#include <functional>
#include <string>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include "modules/fleet/messages.h"

namespace jacinthshift {

/** The state of one rollout as published to the operator. */
struct RolloutEntry
{
    std::string targetVersion; ///< Empty if nothing has been written for the service.
    RolloutOutcome outcome = RolloutOutcome::Open;
    std::uint64_t tableEnd = 0; ///< End offset of the register's table when it was read.
};

/** Stores the outcomes of rollouts for the operator and for nodes that start later. */
class RolloutRegister
{
public:
    using ReadCallback = std::function<void(absl::StatusOr<RolloutEntry>)>;
    using WriteCallback = std::function<void(absl::Status)>;

    virtual ~RolloutRegister() = default;

    /** Reads the entry of a service, with an empty targetVersion if there is none. */
    virtual void read(const std::string &service, ReadCallback callback) = 0;
    /** Writes an entry unless the table has grown beyond entry.tableEnd since it was read. */
    virtual void write(const std::string &service, const RolloutEntry &entry,
                       WriteCallback callback) = 0;
};

} // namespace jacinthshift

#endif // MODULES_ROLLOUT_ROLLOUT_REGISTER_H
