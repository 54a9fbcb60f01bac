#include "core/cbor_nesting.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace jacinthshift {

namespace {

enum class MajorType { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

struct ItemHead
{
    MajorType type = MajorType::Unsigned;
    std::uint64_t argument = 0; ///< Length of a string, number of elements, or the value.
};

/** Reads an item's head and removes it from the data; nullopt if it is malformed or indefinite. */
std::optional<ItemHead> takeHead(std::string_view &data)
{
    constexpr unsigned FirstArgumentSize = 24; // 24 to 27: the argument takes 1, 2, 4 or 8 bytes.
    constexpr unsigned LastArgumentSize = 27;
    if (data.empty())
        return std::nullopt;
    const unsigned initial = static_cast<unsigned char>(data.front());
    data.remove_prefix(1);
    const unsigned info = initial & 0x1FU;
    ItemHead head{.type = static_cast<MajorType>(initial >> 5U), .argument = info};
    if (info < FirstArgumentSize)
        return head;
    if (info > LastArgumentSize)
        return std::nullopt;
    const std::size_t size = std::size_t(1) << (info - FirstArgumentSize);
    if (data.size() < size)
        return std::nullopt;
    head.argument = 0;
    for (std::size_t i = 0; i < size; ++i)
        head.argument = (head.argument << 8U) | static_cast<unsigned char>(data[i]);
    data.remove_prefix(size);
    return head;
}

} // namespace

bool isBoundedCbor(std::string_view data, std::size_t maxDepth)
{
    std::vector<std::uint64_t> missingElements; // Of each open array or map, the innermost last.
    do {
        const std::optional<ItemHead> head = takeHead(data);
        if (!head || head->type == MajorType::Tag)
            return false;
        const bool isString = head->type == MajorType::Bytes || head->type == MajorType::Text;
        const bool isContainer = head->type == MajorType::Array || head->type == MajorType::Map;
        // Every element takes at least a byte.
        if ((isString || isContainer) && head->argument > data.size())
            return false;
        if (isString)
            data.remove_prefix(head->argument);
        if (isContainer) {
            if (missingElements.size() == maxDepth)
                return false;
            missingElements.push_back(head->type == MajorType::Map ? head->argument * 2
                                                                   : head->argument);
        } else if (!missingElements.empty()) {
            --missingElements.back();
        }
        while (!missingElements.empty() && missingElements.back() == 0) {
            missingElements.pop_back();
            if (!missingElements.empty())
                --missingElements.back();
        }
    } while (!missingElements.empty());
    return true;
}

} // namespace jacinthshift
