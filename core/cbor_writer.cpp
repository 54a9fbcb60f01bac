#include "core/cbor_writer.h"

#include <bit>
#include <limits>
#include <utility>

namespace jacinthshift {

namespace {

constexpr unsigned UnsignedType = 0;
constexpr unsigned NegativeType = 1;
constexpr unsigned BytesType = 2;
constexpr unsigned TextType = 3;
constexpr unsigned ArrayType = 4;
constexpr unsigned SimpleType = 7;

constexpr unsigned MaxInlineArgument = 23; // Larger arguments follow in 1, 2, 4 or 8 bytes.
constexpr unsigned OneByteArgument = 24;
constexpr unsigned TwoByteArgument = 25;
constexpr unsigned FourByteArgument = 26;
constexpr unsigned EightByteArgument = 27;
constexpr unsigned FalseValue = 20;
constexpr unsigned TrueValue = 21;

char initialByte(unsigned majorType, unsigned info)
{
    return static_cast<char>((majorType << 5U) | info);
}

bool fitsSinglePrecision(double value)
{
    return value >= static_cast<double>(std::numeric_limits<float>::lowest())
           && value <= static_cast<double>(std::numeric_limits<float>::max())
           && static_cast<double>(static_cast<float>(value)) == value;
}

} // namespace

void CborWriter::writeBigEndian(std::uint64_t value, unsigned size)
{
    constexpr unsigned BitsPerByte = 8;
    for (unsigned i = size; i > 0; --i)
        m_bytes.push_back(static_cast<char>(value >> (BitsPerByte * (i - 1))));
}

void CborWriter::writeHead(unsigned majorType, std::uint64_t argument)
{
    if (argument <= MaxInlineArgument) {
        m_bytes.push_back(initialByte(majorType, static_cast<unsigned>(argument)));
    } else if (argument <= std::numeric_limits<std::uint8_t>::max()) {
        m_bytes.push_back(initialByte(majorType, OneByteArgument));
        writeBigEndian(argument, 1);
    } else if (argument <= std::numeric_limits<std::uint16_t>::max()) {
        m_bytes.push_back(initialByte(majorType, TwoByteArgument));
        writeBigEndian(argument, 2);
    } else if (argument <= std::numeric_limits<std::uint32_t>::max()) {
        m_bytes.push_back(initialByte(majorType, FourByteArgument));
        writeBigEndian(argument, 4);
    } else {
        m_bytes.push_back(initialByte(majorType, EightByteArgument));
        writeBigEndian(argument, 8);
    }
}

void CborWriter::beginArray(std::uint64_t count)
{
    writeHead(ArrayType, count);
}

void CborWriter::writeUnsigned(std::uint64_t value)
{
    writeHead(UnsignedType, value);
}

void CborWriter::writeInteger(std::int64_t value)
{
    // A negative number n is stored as -1 - n, which is its complement.
    const auto bits = static_cast<std::uint64_t>(value);
    if (value >= 0)
        writeHead(UnsignedType, bits);
    else
        writeHead(NegativeType, ~bits);
}

void CborWriter::writeBool(bool value)
{
    m_bytes.push_back(initialByte(SimpleType, value ? TrueValue : FalseValue));
}

void CborWriter::writeDouble(double value)
{
    if (fitsSinglePrecision(value)) {
        m_bytes.push_back(initialByte(SimpleType, FourByteArgument));
        writeBigEndian(std::bit_cast<std::uint32_t>(static_cast<float>(value)), 4);
        return;
    }
    m_bytes.push_back(initialByte(SimpleType, EightByteArgument));
    writeBigEndian(std::bit_cast<std::uint64_t>(value), 8);
}

void CborWriter::writeText(std::string_view text)
{
    writeHead(TextType, text.size());
    m_bytes.append(text);
}

void CborWriter::writeBytes(std::string_view bytes)
{
    writeHead(BytesType, bytes.size());
    m_bytes.append(bytes);
}

std::string CborWriter::take()
{
    return std::exchange(m_bytes, std::string());
}

} // namespace jacinthshift
