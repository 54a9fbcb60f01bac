#ifndef MODULES_OWNER_DEPARTURE_REGISTER_H
#define MODULES_OWNER_DEPARTURE_REGISTER_H

#include <functional>

#include <absl/status/status.h>

#include "modules/fleet/messages.h"

namespace jacinthshift {

/** Keeps which backend servers have left, for processes that start later. */
class DepartureRegister
{
public:
    using WriteCallback = std::function<void(absl::Status)>;

    virtual ~DepartureRegister() = default;

    /**
     * Writes that a lifetime of this node's backend server gets no more requests. Writing it again
     * changes nothing. Fails with Unavailable or Unknown, as KeyedLog::write() does.
     */
    virtual void write(const BackendLifetime &backend, WriteCallback callback) = 0;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_DEPARTURE_REGISTER_H
