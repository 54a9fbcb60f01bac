#include "core/cbor_writer.h"

#include <array>
#include <limits>
#include <utility>

#include <cbor.h>

namespace jacinthshift {

namespace {

bool fitsSinglePrecision(double value)
{
    return value >= static_cast<double>(std::numeric_limits<float>::lowest())
           && value <= static_cast<double>(std::numeric_limits<float>::max())
           && static_cast<double>(static_cast<float>(value)) == value;
}

/** Appends what one of libcbor's encoding functions writes: the head of an item, or a number. */
template <typename Value>
void append(std::string &bytes, std::size_t (*encode)(Value, unsigned char *, std::size_t),
            Value value)
{
    constexpr std::size_t MaxHeadBytes = 9;
    std::array<unsigned char, MaxHeadBytes> head{};
    const std::size_t size = encode(value, head.data(), head.size());
    bytes.append(reinterpret_cast<const char *>(head.data()), size);
}

} // namespace

void CborWriter::beginArray(std::uint64_t count)
{
    append<std::size_t>(m_bytes, cbor_encode_array_start, count);
}

void CborWriter::writeUnsigned(std::uint64_t value)
{
    append(m_bytes, cbor_encode_uint, value);
}

void CborWriter::writeInteger(std::int64_t value)
{
    // A negative number n is stored as -1 - n, which is its complement.
    const auto bits = static_cast<std::uint64_t>(value);
    if (value >= 0)
        append(m_bytes, cbor_encode_uint, bits);
    else
        append(m_bytes, cbor_encode_negint, ~bits);
}

void CborWriter::writeBool(bool value)
{
    append(m_bytes, cbor_encode_bool, value);
}

void CborWriter::writeDouble(double value)
{
    if (fitsSinglePrecision(value))
        append(m_bytes, cbor_encode_single, static_cast<float>(value));
    else
        append(m_bytes, cbor_encode_double, value);
}

void CborWriter::writeText(std::string_view text)
{
    append(m_bytes, cbor_encode_string_start, text.size());
    m_bytes.append(text);
}

void CborWriter::writeBytes(std::string_view bytes)
{
    append(m_bytes, cbor_encode_bytestring_start, bytes.size());
    m_bytes.append(bytes);
}

std::string CborWriter::take()
{
    return std::exchange(m_bytes, std::string());
}

} // namespace jacinthshift
