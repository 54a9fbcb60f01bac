#ifndef CORE_CBOR_WRITER_H
#define CORE_CBOR_WRITER_H

#include <cstdint>
#include <string>
#include <string_view>

namespace jacinthshift {

/**
 * Writes CBOR items (RFC 8949) one after another into a string, without an intermediate tree.
 *
 * Lengths and numbers take the fewest bytes, as those that nlohmann::json::to_cbor() writes, so
 * that both produce the same bytes.
 */
class CborWriter
{
    std::string m_bytes;

public:
    /** Begins an array; the next `count` items are its elements. */
    void beginArray(std::uint64_t count);
    void writeUnsigned(std::uint64_t value);
    void writeInteger(std::int64_t value);
    void writeBool(bool value);
    /** Writes single precision where that preserves the value. */
    void writeDouble(double value);
    void writeText(std::string_view text);
    void writeBytes(std::string_view bytes);

    /** Reserves memory for the items to come. */
    void reserve(std::size_t bytes) { m_bytes.reserve(bytes); }
    /** Returns the bytes of all items and leaves the writer empty. */
    std::string take();
};

} // namespace jacinthshift

#endif // CORE_CBOR_WRITER_H
