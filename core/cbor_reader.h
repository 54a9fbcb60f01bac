#ifndef CORE_CBOR_READER_H
#define CORE_CBOR_READER_H

#include <cstdint>
#include <stdexcept>
#include <string_view>

namespace jacinthshift {

/** The input is not CBOR, or is not what the reader's user expects. */
class CborError : public std::runtime_error
{
public:
    using std::runtime_error::runtime_error;
};

/**
 * Reads CBOR items (RFC 8949) one after another from bytes that must outlive it. It reads what
 * CborWriter writes; tags and items of indefinite length are refused.
 *
 * Each function throws CborError if the next item is missing, malformed or of another type. None of
 * them recurses, so that deep nesting cannot overflow the stack.
 */
class CborReader
{
    enum class Kind {
        Unsigned,
        Negative,
        Bytes,
        Text,
        Array,
        Map,
        Number,
        Bool,
        Other,
        Refused, ///< A tag, or an item of indefinite length.
    };

    struct Item
    {
        Kind kind = Kind::Refused;
        std::uint64_t argument = 0; ///< Number of elements, or the value.
        std::string_view string;
        double number = 0.0;
    };

    struct Decoder;

    std::string_view m_rest;

    Item takeItem();
    /** Takes an item of a kind; the error names what was expected. */
    Item takeItem(Kind kind, const char *expected);

public:
    explicit CborReader(std::string_view bytes) : m_rest(bytes) {}

    /** Begins an array and returns the number of its elements, at most the number of bytes left. */
    std::uint64_t beginArray();
    std::uint64_t takeUnsigned();
    std::int64_t takeInteger();
    bool takeBool();
    /** Takes a number of any kind. */
    double takeDouble();
    std::string_view takeText();
    std::string_view takeBytes();
    /** Skips one item with everything that it contains. */
    void skip();
    bool isAtEnd() const { return m_rest.empty(); }
};

} // namespace jacinthshift

#endif // CORE_CBOR_READER_H
