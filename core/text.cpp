#include "core/text.h"

#include <algorithm>

namespace jacinthshift {

namespace {

char lowerCase(char c)
{
    return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c;
}

} // namespace

bool equalsIgnoreCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                      [](char a, char b) { return lowerCase(a) == lowerCase(b); });
}

void reserveExactly(std::string &text, std::size_t capacity)
{
    if (text.capacity() >= capacity)
        return;
    std::string larger;
    larger.reserve(capacity);
    larger.append(text);
    text.swap(larger);
}

} // namespace jacinthshift
