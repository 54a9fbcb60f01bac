#ifndef CORE_TEXT_H
#define CORE_TEXT_H

#include <charconv>
#include <concepts>
#include <string>
#include <string_view>
#include <system_error>

namespace jacinthshift {

/** An argument of joinText(): a string or an integer. */
struct TextPiece
{
    std::string text;

    TextPiece(std::string_view piece) : text(piece) {}
    TextPiece(const std::string &piece) : text(piece) {}
    TextPiece(const char *piece) : text(piece) {}
    TextPiece(std::integral auto number) : text(std::to_string(number)) {}
};

/** Concatenates strings and integers. */
template <typename... Pieces>
std::string joinText(const Pieces &...pieces)
{
    std::string joined;
    (joined.append(TextPiece(pieces).text), ...);
    return joined;
}

/**
 * Parses a decimal integer. Returns false if the text is anything else or the integer does not fit
 * into the type; the value of number is then unspecified.
 */
template <std::integral Number>
bool parseNumber(std::string_view text, Number &number)
{
    const char *end = text.data() + text.size();
    const std::from_chars_result result = std::from_chars(text.data(), end, number);
    return result.ec == std::errc() && result.ptr == end && !text.empty();
}

/** Compares two ASCII strings case-insensitively. */
bool equalsIgnoreCase(std::string_view left, std::string_view right);

/** Gives a string this capacity and not more; std::string::reserve() at least doubles it. */
void reserveExactly(std::string &text, std::size_t capacity);

} // namespace jacinthshift

#endif // CORE_TEXT_H
