#ifndef CORE_COMPRESSION_H
#define CORE_COMPRESSION_H

#include <cstddef>
#include <string>

#include <absl/status/statusor.h>

namespace jacinthshift {

/** Compresses bytes with zlib. */
std::string compressBytes(const std::string &bytes);

/** Undoes compressBytes(). Fails with InvalidArgument on other input or on more than maxBytes. */
absl::StatusOr<std::string> decompressBytes(const std::string &compressed, std::size_t maxBytes);

} // namespace jacinthshift

#endif // CORE_COMPRESSION_H
