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
    struct Head
    {
        unsigned majorType = 0;
        unsigned info = 0;          ///< The lower five bits of the initial byte.
        std::uint64_t argument = 0; ///< Length of a string, number of elements, or the value.
    };

    std::string_view m_rest;

    Head takeHead();
    /** Takes a head of this type; the error names what was expected. */
    std::uint64_t takeArgument(unsigned majorType, const char *expected);
    std::string_view takeString(unsigned majorType, const char *expected);

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
