#include "core/cbor_reader.h"

#include <bit>
#include <limits>
#include <string>

namespace jacinthshift {

namespace {

constexpr unsigned UnsignedType = 0;
constexpr unsigned NegativeType = 1;
constexpr unsigned BytesType = 2;
constexpr unsigned TextType = 3;
constexpr unsigned ArrayType = 4;
constexpr unsigned MapType = 5;
constexpr unsigned TagType = 6;
constexpr unsigned SimpleType = 7;

constexpr unsigned FirstArgumentSize = 24; // 24 to 27: the argument takes 1, 2, 4 or 8 bytes.
constexpr unsigned FourByteArgument = 26;
constexpr unsigned EightByteArgument = 27;
constexpr unsigned FalseValue = 20;
constexpr unsigned TrueValue = 21;

constexpr auto MaxInteger = std::uint64_t(std::numeric_limits<std::int64_t>::max());

[[noreturn]] void fail(const char *expected)
{
    throw CborError(std::string("expected ") + expected);
}

} // namespace

CborReader::Head CborReader::takeHead()
{
    constexpr unsigned InfoMask = 0x1F;
    constexpr unsigned BitsPerByte = 8;
    if (m_rest.empty())
        fail("another item");
    const unsigned initial = static_cast<unsigned char>(m_rest.front());
    m_rest.remove_prefix(1);
    Head head{.majorType = initial >> 5U, .info = initial & InfoMask};
    head.argument = head.info;
    if (head.info < FirstArgumentSize)
        return head;
    if (head.info > EightByteArgument)
        fail("an item of definite length");
    const std::size_t size = std::size_t(1) << (head.info - FirstArgumentSize);
    if (m_rest.size() < size)
        fail("a complete item");
    head.argument = 0;
    for (std::size_t i = 0; i < size; ++i)
        head.argument = (head.argument << BitsPerByte) | static_cast<unsigned char>(m_rest[i]);
    m_rest.remove_prefix(size);
    return head;
}

std::uint64_t CborReader::takeArgument(unsigned majorType, const char *expected)
{
    const Head head = takeHead();
    if (head.majorType != majorType)
        fail(expected);
    return head.argument;
}

std::string_view CborReader::takeString(unsigned majorType, const char *expected)
{
    const std::uint64_t size = takeArgument(majorType, expected);
    if (size > m_rest.size())
        fail("a complete string");
    const std::string_view string = m_rest.substr(0, size);
    m_rest.remove_prefix(size);
    return string;
}

std::uint64_t CborReader::beginArray()
{
    const std::uint64_t count = takeArgument(ArrayType, "an array");
    // Every element takes at least a byte.
    if (count > m_rest.size())
        fail("a complete array");
    return count;
}

std::uint64_t CborReader::takeUnsigned()
{
    return takeArgument(UnsignedType, "an unsigned integer");
}

std::int64_t CborReader::takeInteger()
{
    const Head head = takeHead();
    if (head.majorType > NegativeType || head.argument > MaxInteger)
        fail("an integer");
    // A negative number n is stored as -1 - n, which is its complement.
    return static_cast<std::int64_t>(head.majorType == NegativeType ? ~head.argument
                                                                    : head.argument);
}

bool CborReader::takeBool()
{
    const Head head = takeHead();
    if (head.majorType != SimpleType || (head.info != FalseValue && head.info != TrueValue))
        fail("a boolean");
    return head.info == TrueValue;
}

double CborReader::takeDouble()
{
    const Head head = takeHead();
    if (head.majorType == UnsignedType)
        return static_cast<double>(head.argument);
    if (head.majorType == NegativeType)
        return -1.0 - static_cast<double>(head.argument);
    if (head.majorType == SimpleType && head.info == FourByteArgument)
        return std::bit_cast<float>(static_cast<std::uint32_t>(head.argument));
    if (head.majorType == SimpleType && head.info == EightByteArgument)
        return std::bit_cast<double>(head.argument);
    fail("a number");
}

std::string_view CborReader::takeText()
{
    return takeString(TextType, "a text");
}

std::string_view CborReader::takeBytes()
{
    return takeString(BytesType, "a byte string");
}

void CborReader::skip()
{
    // The sum of all elements that are missing; each takes at least a byte.
    std::uint64_t missing = 1;
    while (missing > 0) {
        const Head head = takeHead();
        --missing;
        if (head.majorType == TagType)
            fail("an item without a tag");
        if (head.majorType < BytesType || head.majorType == SimpleType)
            continue;
        if (head.argument > m_rest.size())
            fail("a complete item");
        if (head.majorType == BytesType || head.majorType == TextType)
            m_rest.remove_prefix(head.argument);
        else
            missing += head.majorType == MapType ? 2 * head.argument : head.argument;
    }
}

} // namespace jacinthshift
