#include "core/duration.h"

#include <array>

#include "core/text.h"

namespace jacinthshift {

namespace {

struct Unit
{
    std::string_view suffix;
    std::int64_t milliseconds;
};

// Largest unit first, as formatting needs it. Parsing compares the whole suffix, since "ms" begins
// with "m" and ends with "s".
constexpr std::array<Unit, 4> Units = {
        {{"h", 3'600'000}, {"m", 60'000}, {"s", 1'000}, {"ms", 1}},
};
constexpr std::int64_t MaxDurationMilliseconds = 400LL * 24 * 3'600'000;

} // namespace

absl::StatusOr<std::chrono::milliseconds> parseDuration(std::string_view text)
{
    const std::size_t digits = text.find_first_not_of("0123456789");
    std::int64_t count = 0;
    if (digits != std::string_view::npos && parseNumber(text.substr(0, digits), count)) {
        for (const Unit &unit : Units) {
            if (text.substr(digits) != unit.suffix || count <= 0)
                continue;
            if (count > MaxDurationMilliseconds / unit.milliseconds)
                return absl::InvalidArgumentError(joinText("'", text, "' is too long"));
            return std::chrono::milliseconds(count * unit.milliseconds);
        }
    }
    return absl::InvalidArgumentError(
            joinText("'", text, "' is not a duration such as 250ms, 7s, 15m or 8h"));
}

std::string formatDuration(std::chrono::milliseconds duration)
{
    for (const Unit &unit : Units) {
        if (duration.count() != 0 && duration.count() % unit.milliseconds == 0)
            return joinText(duration.count() / unit.milliseconds, unit.suffix);
    }
    return joinText(duration.count(), "ms");
}

std::int64_t unixMilliseconds(std::chrono::system_clock::time_point time)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(time.time_since_epoch()).count();
}

} // namespace jacinthshift
