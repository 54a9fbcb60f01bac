#ifndef MODULES_ROUTING_INSTANCE_DIRECTORY_H
#define MODULES_ROUTING_INSTANCE_DIRECTORY_H

#include <chrono>
#include <map>
#include <string>
#include <vector>

#include "modules/membership/member_table.h"
#include "modules/routing/key_homes.h"
#include "servers/timer_service.h"

namespace jacinthshift {

/**
 * Index of the members by the service that their backend server belongs to.
 *
 * It also keeps instances that were lost, as they may have run requests with idempotency keys.
 */
class InstanceDirectory
{
    struct LostInstance
    {
        MemberRecord record;
        SteadyTime lostAt;
    };

    TimerService &m_timers;
    std::chrono::milliseconds m_lostRetention;
    /** Instances by service and node. */
    std::map<std::string, std::map<std::string, MemberRecord>> m_instances;
    std::map<std::string, std::string> m_serviceOfNode;
    /** Lost instances by service and node. */
    std::map<std::string, std::map<std::string, LostInstance>> m_lostInstances;

    void memberChanged(const MemberRecord &record);
    /** Moves the instance on a node, if there is one, to the lost instances. */
    void moveToLost(const std::string &node);

public:
    /**
     * lostRetention is how long lost instances are kept, and how long nodes store an idempotency
     * key.
     */
    InstanceDirectory(MemberTable &members, TimerService &timers,
                      std::chrono::milliseconds lostRetention);

    /** Returns the members whose backend server belongs to a service, in any state. */
    std::vector<MemberRecord> instances(const std::string &service) const;

    /** Returns the version label of a service's backend server on a node, or an empty string. */
    std::string versionAt(const std::string &service, const std::string &node) const;

    /** Returns the present and former homes of an idempotency key of a service. */
    KeyHomes homesOf(const std::string &service, const std::string &key) const;
};

} // namespace jacinthshift

#endif // MODULES_ROUTING_INSTANCE_DIRECTORY_H
