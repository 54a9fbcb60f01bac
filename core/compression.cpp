#include "core/compression.h"

#include <zlib.h>

namespace jacinthshift {

namespace {

// Records repeat the same few names, which the fastest level finds as well.
constexpr int Level = Z_BEST_SPEED;
constexpr std::size_t LengthBytes = 4;

} // namespace

std::string compressBytes(const std::string &bytes)
{
    uLongf size = compressBound(bytes.size());
    std::string compressed(LengthBytes + size, '\0');
    for (std::size_t i = 0; i < LengthBytes; ++i)
        compressed[i] = static_cast<char>(bytes.size() >> (8 * i) & 0xFFU);
    compress2(reinterpret_cast<Bytef *>(compressed.data() + LengthBytes), &size,
              reinterpret_cast<const Bytef *>(bytes.data()), bytes.size(), Level);
    compressed.resize(LengthBytes + size);
    return compressed;
}

absl::StatusOr<std::string> decompressBytes(const std::string &compressed, std::size_t maxBytes)
{
    if (compressed.size() < LengthBytes)
        return absl::InvalidArgumentError("the compressed bytes are cut short");
    std::size_t length = 0;
    for (std::size_t i = 0; i < LengthBytes; ++i)
        length |= std::size_t(static_cast<unsigned char>(compressed[i])) << (8 * i);
    if (length > maxBytes)
        return absl::InvalidArgumentError("the compressed bytes are too many");
    std::string bytes(length, '\0');
    uLongf size = length;
    const int outcome = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &size,
                                   reinterpret_cast<const Bytef *>(compressed.data() + LengthBytes),
                                   compressed.size() - LengthBytes);
    if (outcome != Z_OK || size != length)
        return absl::InvalidArgumentError("the compressed bytes are damaged");
    return bytes;
}

} // namespace jacinthshift
