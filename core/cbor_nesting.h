#ifndef CORE_CBOR_NESTING_H
#define CORE_CBOR_NESTING_H

#include <cstddef>
#include <string_view>

namespace jacinthshift {

/**
 * Returns whether a CBOR item is complete, nested at most maxDepth arrays and maps deep, and free
 * of tags and of items of indefinite length, which this project does not write.
 *
 * To be called before a decoder that recurses: 100,000 bytes that each open an array would overflow
 * its stack and end the process.
 */
bool isBoundedCbor(std::string_view data, std::size_t maxDepth);

} // namespace jacinthshift

#endif // CORE_CBOR_NESTING_H
