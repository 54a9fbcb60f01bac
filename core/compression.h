#ifndef CORE_COMPRESSION_H
#define CORE_COMPRESSION_H

#include <cstddef>
#include <string>

#include <absl/status/statusor.h>

namespace jacinthshift {

/** Compresses with zlib. The result starts with the uncompressed size in 4 bytes, little-endian. */
std::string compressBytes(const std::string &bytes);

/**
 * Reverses compressBytes(). Fails with InvalidArgument if the input is malformed or its
 * uncompressed size is more than maxBytes.
 */
absl::StatusOr<std::string> decompressBytes(const std::string &compressed, std::size_t maxBytes);

} // namespace jacinthshift

#endif // CORE_COMPRESSION_H
