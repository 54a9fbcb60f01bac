#include <catch2/catch.hpp>

#include <limits>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "core/cbor_reader.h"
#include "core/cbor_writer.h"

namespace jacinthshift {

namespace {

std::string libraryBytes(const nlohmann::json &value)
{
    std::string bytes;
    nlohmann::json::to_cbor(value, bytes);
    return bytes;
}

} // namespace

// Guards against nodes of this and the previous build that send different bytes for equal messages.
TEST_CASE("the CBOR writer writes the same bytes as the library")
{
    for (const std::uint64_t number : {0ULL, 23ULL, 24ULL, 255ULL, 256ULL, 65'535ULL, 65'536ULL,
                                       4'294'967'295ULL, 4'294'967'296ULL, ~0ULL}) {
        CborWriter writer;
        writer.writeUnsigned(number);
        CHECK(writer.take() == libraryBytes(number));
    }
    for (const std::int64_t number :
         {std::numeric_limits<std::int64_t>::min(), -4'294'967'297L, -257L, -256L, -25L, -24L, -1L,
          0L, 24L, std::numeric_limits<std::int64_t>::max()}) {
        CborWriter writer;
        writer.writeInteger(number);
        CHECK(writer.take() == libraryBytes(number));
    }
    for (const double number : {0.0, -0.0, 1.5, 0.1, -1e300, 3.4e38, 1e-310}) {
        CborWriter writer;
        writer.writeDouble(number);
        CHECK(writer.take() == libraryBytes(number));
    }
    for (const std::size_t size : {0U, 23U, 24U, 255U, 256U, 65'535U, 65'536U}) {
        CborWriter writer;
        writer.writeText(std::string(size, 't'));
        CHECK(writer.take() == libraryBytes(std::string(size, 't')));
        writer.writeBytes(std::string(size, 'b'));
        CHECK(writer.take()
              == libraryBytes(nlohmann::json::binary(std::vector<std::uint8_t>(size, 'b'))));
        writer.beginArray(size);
        for (std::size_t i = 0; i < size; ++i)
            writer.writeBool(i % 2 == 0);
        nlohmann::json array = nlohmann::json::array();
        for (std::size_t i = 0; i < size; ++i)
            array.push_back(i % 2 == 0);
        CHECK(writer.take() == libraryBytes(array));
    }
}

// Guards against values that change on the way, at the limits of each size of number.
TEST_CASE("the CBOR reader restores what the writer wrote")
{
    CborWriter writer;
    writer.beginArray(3);
    writer.writeUnsigned(~0ULL);
    writer.writeInteger(std::numeric_limits<std::int64_t>::min());
    writer.writeInteger(std::numeric_limits<std::int64_t>::max());
    writer.writeDouble(0.1);
    writer.writeDouble(-2.5);
    writer.writeBool(true);
    writer.writeText("t");
    writer.writeBytes(std::string("\0\xff", 2));
    const std::string bytes = writer.take();
    CborReader reader(bytes);
    CHECK(reader.beginArray() == 3);
    CHECK(reader.takeUnsigned() == ~0ULL);
    CHECK(reader.takeInteger() == std::numeric_limits<std::int64_t>::min());
    CHECK(reader.takeInteger() == std::numeric_limits<std::int64_t>::max());
    CHECK(reader.takeDouble() == 0.1);
    CHECK(reader.takeDouble() == -2.5);
    CHECK(reader.takeBool());
    CHECK(reader.takeText() == "t");
    CHECK(reader.takeBytes() == std::string("\0\xff", 2));
    CHECK(reader.isAtEnd());
}

// Guards against reads beyond the end of a frame, and against memory for a count that was claimed.
TEST_CASE("the CBOR reader refuses items that are incomplete or of another type")
{
    CHECK_THROWS_AS(CborReader("").takeUnsigned(), CborError);
    CHECK_THROWS_AS(CborReader("\x19\x01").takeUnsigned(), CborError);
    CHECK_THROWS_AS(CborReader("\x63xy").takeText(), CborError);
    CHECK_THROWS_AS(CborReader("\x7b\xff\xff\xff\xff\xff\xff\xff\xffxy").takeText(), CborError);
    CHECK_THROWS_AS(CborReader("\x9b\xff\xff\xff\xff\xff\xff\xff\xff\x01").beginArray(), CborError);
    CHECK_THROWS_AS(CborReader("\x9f\x01\xff").beginArray(), CborError);
    CHECK_THROWS_AS(CborReader("\x20").takeUnsigned(), CborError);
    CHECK_THROWS_AS(CborReader("\x1b\xff\xff\xff\xff\xff\xff\xff\xff").takeInteger(), CborError);
    CHECK_THROWS_AS(CborReader("\x3b\xff\xff\xff\xff\xff\xff\xff\xff").takeInteger(), CborError);
    CHECK_THROWS_AS(CborReader("\x41x").takeText(), CborError);
    CHECK_THROWS_AS(CborReader("\x61x").takeBytes(), CborError);
    CHECK_THROWS_AS(CborReader("\x01").takeBool(), CborError);
    CHECK_THROWS_AS(CborReader("\xf6").takeBool(), CborError);
    CHECK_THROWS_AS(CborReader("\x61x").takeDouble(), CborError);
}

// Guards against a frame whose unknown part overflows the stack or hides a tag.
TEST_CASE("the CBOR reader skips nested items without recursion")
{
    const std::string valid = "\x82\xa1\x61x\x82\x01\x02\x43xyz\x05";
    CborReader reader(valid);
    reader.skip();
    CHECK(reader.takeUnsigned() == 5);
    CHECK_THROWS_AS(CborReader("\xc1\x01").skip(), CborError);
    CHECK_THROWS_AS(CborReader("\x82\x01").skip(), CborError);
    const std::string deep(1'000'000, '\x81');
    CHECK_THROWS_AS(CborReader(deep).skip(), CborError);
}

} // namespace jacinthshift
