#ifndef MODULES_COST_LOAD_HEADER_H
#define MODULES_COST_LOAD_HEADER_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace jacinthshift {

/** What a backend server says of its load in a response. */
struct ReportedLoad
{
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    /** How long work takes at this moment, in percent of normal; zero if it was not sent. */
    std::uint32_t pacePercent = 0;
};

/** Parses "running,waiting,slots[,pace]". Returns nothing for any other text. */
std::optional<ReportedLoad> parseLoadHeader(std::string_view header);

} // namespace jacinthshift

#endif // MODULES_COST_LOAD_HEADER_H
