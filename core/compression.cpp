#include "core/compression.h"

#include <zlib.h>

namespace jacinthshift {

namespace {

// Records repeat a few names; the fastest level finds these repetitions as well.
constexpr int CompressionLevel = Z_BEST_SPEED;
constexpr std::size_t SizePrefixBytes = 4;

} // namespace

std::string compressBytes(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(SizePrefixBytes + size, '\0');
    for (std::size_t i = 0; i < SizePrefixBytes; ++i)
        compressed[i] = static_cast<char>(bytes.size() >> (8 * i) & 0xFFU);
    compress2(reinterpret_cast<Bytef *>(compressed.data() + SizePrefixBytes), &size,
              reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), CompressionLevel);
    compressed.resize(SizePrefixBytes + size);
    return compressed;
}

absl::StatusOr<std::string> decompressBytes(const std::string &compressed, std::size_t maxBytes)
{
    if (compressed.size() < SizePrefixBytes)
        return absl::InvalidArgumentError("the compressed data is truncated");
    std::size_t expectedSize = 0;
    for (std::size_t i = 0; i < SizePrefixBytes; ++i)
        expectedSize |= std::size_t(static_cast<unsigned char>(compressed[i])) << (8 * i);
    if (expectedSize > maxBytes)
        return absl::InvalidArgumentError("the uncompressed size exceeds the limit");
    std::string bytes(expectedSize, '\0');
    uLongf size = expectedSize;
    const int result =
            uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                       reinterpret_cast<const Bytef *>(compressed.data() + SizePrefixBytes),
                       compressed.size() - SizePrefixBytes);
    if (result != Z_OK || size != expectedSize)
        return absl::InvalidArgumentError("the compressed data is corrupt");
    return bytes;
}

} // namespace jacinthshift
