#ifndef MODULES_ROUTING_OWNER_CLIENT_H
#define MODULES_ROUTING_OWNER_CLIENT_H

#include <cstdint>
#include <functional>
#include <string>

#include "modules/mesh/messages.h"

namespace jacinthshift {

enum class OwnerCallId : std::uint64_t { None = 0 };

/** Sends calls to the owners of backend servers. */
class OwnerClient
{
public:
    using Callback = std::function<void(AnswerMessage)>;

    virtual ~OwnerClient() = default;

    /**
     * Calls the owner on a node. The callback runs exactly once, after this function has returned
     * and no later than the call's timeout. The id in the message is ignored.
     */
    virtual OwnerCallId call(const std::string &node, CallMessage call, Callback callback) = 0;
    /** Cancels a call; its callback does not run. */
    virtual void cancel(OwnerCallId id) = 0;
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_OWNER_CLIENT_H
