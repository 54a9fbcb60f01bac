#ifndef CORE_DURATION_H
#define CORE_DURATION_H

#include <chrono>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace jacinthshift {

/**
 * Parses a positive duration such as "250ms", "7s", "15m" or "8h". Fails with InvalidArgument for
 * other texts and for durations of more than 400 days.
 */
absl::StatusOr<std::chrono::milliseconds> parseDuration(std::string_view text);

/** Formats a duration as a whole number of the largest possible unit. */
std::string formatDuration(std::chrono::milliseconds duration);

/** Converts a time to milliseconds since the Unix epoch. */
std::int64_t unixMilliseconds(std::chrono::system_clock::time_point time);

} // namespace jacinthshift

#endif // CORE_DURATION_H
