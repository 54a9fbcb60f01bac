#ifndef MODULES_OWNER_CRASH_EXCHANGE_H
#define MODULES_OWNER_CRASH_EXCHANGE_H

#include <cstdint>
#include <string>

#include "modules/admission/poison_registry.h"
#include "modules/fleet/fleet_network.h"
#include "servers/timer_service.h"

namespace jacinthshift {

struct CrashExchangeOptions
{
    /** Crashes of which a peer's new process is told; each takes about 40 bytes. */
    std::size_t maxToldCrashes = 64;
};

/**
 * Keeps the registries of the nodes alike: tells the others which requests have crashed this VM's
 * backend server, and each new process what the others know.
 */
class CrashExchange final : public FleetObserver
{
    CrashExchangeOptions m_options;
    FleetNetwork &m_network;
    TimerService &m_timers;
    PoisonRegistry &m_registry;

    void suspectReceived(const CrashSuspectMessage &suspect);

public:
    CrashExchange(const CrashExchangeOptions &options, FleetNetwork &network, TimerService &timers,
                  PoisonRegistry &registry);

    /** Tells the other nodes of a request that was running when a backend server crashed. */
    void report(std::uint64_t fingerprint, const std::string &backend);
    /** Tells the other nodes that a suspected request has succeeded. */
    void reportCleared(std::uint64_t fingerprint);

    void messageReceived(const std::string &node, const FleetMessage &message) override;
    void linksChanged(const std::string &node) override;
};

} // namespace jacinthshift

#endif // MODULES_OWNER_CRASH_EXCHANGE_H
