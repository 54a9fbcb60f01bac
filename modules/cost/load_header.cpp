#include "modules/cost/load_header.h"

#include <array>
#include <cstddef>

#include "core/text.h"

namespace jacinthshift {

namespace {

constexpr std::size_t RequiredFigures = 3;
constexpr std::size_t PaceIndex = 3;
// A pace outside this range is a malformed header rather than the state of a machine.
constexpr std::uint32_t MinPacePercent = 5;
constexpr std::uint32_t MaxPacePercent = 5'000;

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && text.front() == ' ')
        text.remove_prefix(1);
    while (!text.empty() && text.back() == ' ')
        text.remove_suffix(1);
    return text;
}

} // namespace

std::optional<ReportedLoad> parseLoadHeader(std::string_view header)
{
    std::array<std::uint32_t, RequiredFigures + 1> figures{};
    std::size_t count = 0;
    bool more = !header.empty();
    while (more) {
        const std::size_t comma = header.find(',');
        if (count == figures.size()
            || !parseNumber(trimmed(header.substr(0, comma)), figures[count]))
            return std::nullopt;
        ++count;
        more = comma != std::string_view::npos;
        if (more)
            header.remove_prefix(comma + 1);
    }
    if (count < RequiredFigures)
        return std::nullopt;
    const bool hasPace = count > PaceIndex;
    if (hasPace && (figures[PaceIndex] < MinPacePercent || figures[PaceIndex] > MaxPacePercent))
        return std::nullopt;
    return ReportedLoad{.running = figures[0],
                        .waiting = figures[1],
                        .slots = figures[2],
                        .pacePercent = figures[PaceIndex]};
}

} // namespace jacinthshift
