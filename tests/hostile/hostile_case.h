#ifndef TESTS_HOSTILE_HOSTILE_CASE_H
#define TESTS_HOSTILE_HOSTILE_CASE_H

#include <chrono>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace jacinthshift {

/** The listener of the attacked node. */
enum class HostileTarget { Callers, Control, Links, Readiness, Metrics };

/** The limits of the nodes of a case, and where the backend server runs. */
struct HostileSetup
{
    std::size_t maxFiles = 400; ///< Limit of each process and max_files of its settings.
    std::size_t maxBodyBytes = 1024 * 1024;
    std::size_t backendNode = 0; ///< The attacked node is 0.
    double linkMegabits = 1'000.0;
};

/** What one crowd of hostile clients does. */
struct HostileCase
{
    std::string name; ///< The CTest test is called "hostile_" and this.
    HostileTarget target = HostileTarget::Callers;
    std::size_t clients = 0;
    // CounterText is replaced by another number in each opening and in each repetition.
    std::string opening;            ///< Sent once on each connection.
    std::string repeated;           ///< Sent again and again after the opening.
    std::size_t maxBytes = 0;       ///< What one client sends over all of its connections.
    std::size_t writeBytes = 65536; ///< What one client sends at most every 5 ms.
    std::size_t readBytes = 65536;  ///< What one client reads at most every 5 ms; 0 for nothing.
    std::size_t reconnects = 0;     ///< New connections of a client after the node closed one.
    std::size_t startSteps = 0;     ///< Periods of 5 ms from the start of one client to the next.
    bool resets = false;            ///< A client that has sent its opening resets the connection.
    /** How long the crowd continues after it has sent everything. */
    std::chrono::seconds holdTime{0};
    std::vector<HostileCase> beside; ///< Further crowds at the same time.
    HostileSetup setup;
};

constexpr std::string_view CounterText = "########";

/** Returns all cases. Their crowds are fixed and do not depend on the machine. */
std::vector<HostileCase> hostileCases();

} // namespace jacinthshift

#endif // TESTS_HOSTILE_HOSTILE_CASE_H
