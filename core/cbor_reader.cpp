#include "core/cbor_reader.h"

#include <limits>
#include <string>
#include <utility>

#include <cbor.h>

namespace jacinthshift {

namespace {

constexpr auto MaxInteger = std::uint64_t(std::numeric_limits<std::int64_t>::max());

[[noreturn]] void fail(const char *expected)
{
    throw CborError(std::string("expected ") + expected);
}

} // namespace

/** The callbacks by which libcbor's decoder, which is stateless, returns one item. */
struct CborReader::Decoder
{
    static Item &item(void *context) { return *static_cast<Item *>(context); }

    template <typename Number>
    static void takeUnsigned(void *context, Number value)
    {
        item(context) = {.kind = Kind::Unsigned, .argument = value};
    }
    template <typename Number>
    static void takeNegative(void *context, Number value)
    {
        item(context) = {.kind = Kind::Negative, .argument = value};
    }
    template <Kind StringKind>
    static void takeString(void *context, cbor_data data, std::size_t size)
    {
        item(context) = {.kind = StringKind,
                         .string = {reinterpret_cast<const char *>(data), size}};
    }
    template <Kind CollectionKind>
    static void takeCollection(void *context, std::size_t size)
    {
        item(context) = {.kind = CollectionKind, .argument = size};
    }
    template <typename Number>
    static void takeNumber(void *context, Number value)
    {
        item(context) = {.kind = Kind::Number, .number = value};
    }
    static void takeBool(void *context, bool value)
    {
        item(context) = {.kind = Kind::Bool, .argument = value ? 1U : 0U};
    }
    static void takeOther(void *context) { item(context) = {.kind = Kind::Other}; }
    static void refuse(void *context) { item(context) = {.kind = Kind::Refused}; }
    static void refuseTag(void *context, std::uint64_t) { refuse(context); }

    static const cbor_callbacks &all()
    {
        static const cbor_callbacks callbacks{.uint8 = takeUnsigned<std::uint8_t>,
                                              .uint16 = takeUnsigned<std::uint16_t>,
                                              .uint32 = takeUnsigned<std::uint32_t>,
                                              .uint64 = takeUnsigned<std::uint64_t>,
                                              .negint64 = takeNegative<std::uint64_t>,
                                              .negint32 = takeNegative<std::uint32_t>,
                                              .negint16 = takeNegative<std::uint16_t>,
                                              .negint8 = takeNegative<std::uint8_t>,
                                              .byte_string_start = refuse,
                                              .byte_string = takeString<Kind::Bytes>,
                                              .string = takeString<Kind::Text>,
                                              .string_start = refuse,
                                              .indef_array_start = refuse,
                                              .array_start = takeCollection<Kind::Array>,
                                              .indef_map_start = refuse,
                                              .map_start = takeCollection<Kind::Map>,
                                              .tag = refuseTag,
                                              .float2 = takeNumber<float>,
                                              .float4 = takeNumber<float>,
                                              .float8 = takeNumber<double>,
                                              .undefined = takeOther,
                                              .null = takeOther,
                                              .boolean = takeBool,
                                              .indef_break = refuse};
        return callbacks;
    }
};

CborReader::Item CborReader::takeItem()
{
    Item item;
    const cbor_decoder_result result = cbor_stream_decode(
            reinterpret_cast<cbor_data>(m_rest.data()), m_rest.size(), &Decoder::all(), &item);
    if (result.status != CBOR_DECODER_FINISHED)
        fail("a complete item");
    if (item.kind == Kind::Refused)
        fail("an item without a tag and of definite length");
    m_rest.remove_prefix(result.read);
    return item;
}

CborReader::Item CborReader::takeItem(Kind kind, const char *expected)
{
    const Item item = takeItem();
    if (item.kind != kind)
        fail(expected);
    return item;
}

std::uint64_t CborReader::beginArray()
{
    const std::uint64_t count = takeItem(Kind::Array, "an array").argument;
    // Every element takes at least a byte.
    if (count > m_rest.size())
        fail("a complete array");
    return count;
}

std::uint64_t CborReader::takeUnsigned()
{
    return takeItem(Kind::Unsigned, "an unsigned integer").argument;
}

std::int64_t CborReader::takeInteger()
{
    const Item item = takeItem();
    const bool isNegative = item.kind == Kind::Negative;
    if ((item.kind != Kind::Unsigned && !isNegative) || item.argument > MaxInteger)
        fail("an integer");
    // A negative number n is stored as -1 - n, which is its complement.
    return static_cast<std::int64_t>(isNegative ? ~item.argument : item.argument);
}

bool CborReader::takeBool()
{
    return takeItem(Kind::Bool, "a boolean").argument != 0;
}

double CborReader::takeDouble()
{
    const Item item = takeItem();
    if (item.kind == Kind::Unsigned)
        return static_cast<double>(item.argument);
    if (item.kind == Kind::Negative)
        return -1.0 - static_cast<double>(item.argument);
    if (item.kind != Kind::Number)
        fail("a number");
    return item.number;
}

std::string_view CborReader::takeText()
{
    return takeItem(Kind::Text, "a text").string;
}

std::string_view CborReader::takeBytes()
{
    return takeItem(Kind::Bytes, "a byte string").string;
}

void CborReader::skip()
{
    // The sum of all elements that are missing; each takes at least a byte.
    std::uint64_t missing = 1;
    while (missing > 0) {
        const Item item = takeItem();
        --missing;
        if (item.kind != Kind::Array && item.kind != Kind::Map)
            continue;
        if (item.argument > m_rest.size())
            fail("a complete item");
        missing += item.kind == Kind::Map ? 2 * item.argument : item.argument;
    }
}

} // namespace jacinthshift
