#include <catch2/catch.hpp>

#include "core/compression.h"
#include "core/random.h"

namespace jacinthshift {

TEST_CASE("decompression restores the input, and repetitive text is compressed")
{
    std::string text;
    for (int i = 0; i < 1'000; ++i)
        text += "{\"name\":\"route-" + std::to_string(i) + "\"}";
    const std::string compressed = compressBytes(text);
    CHECK(compressed.size() < text.size() / 4);
    CHECK(decompressBytes(compressed, text.size()).value() == text);
    CHECK(decompressBytes(compressBytes(""), 10).value().empty());
}

TEST_CASE("decompression rejects corrupt, truncated and too large input")
{
    const std::string compressed = compressBytes(std::string(5'000, 'x'));
    CHECK_FALSE(decompressBytes(compressed, 4'999).ok());
    CHECK_FALSE(decompressBytes("abc", 100).ok());
    Random random(3);
    for (int i = 0; i < 2'000; ++i) {
        std::string damaged = compressed;
        damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        damaged.resize(random.below(damaged.size() + 1));
        const absl::StatusOr<std::string> decompressed = decompressBytes(damaged, 10'000);
        if (!decompressed.ok())
            REQUIRE(absl::IsInvalidArgument(decompressed.status()));
    }
}

} // namespace jacinthshift
