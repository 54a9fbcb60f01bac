#include <catch2/catch.hpp>

#include <string>

#include "core/cbor_nesting.h"

namespace jacinthshift {

TEST_CASE("CBOR is bounded up to the allowed depth")
{
    // [1, [2, "ab"]] and {"a": [1]}
    CHECK(isBoundedCbor("\x82\x01\x82\x02\x62"
                        "ab",
                        2));
    CHECK_FALSE(isBoundedCbor("\x82\x01\x82\x02\x62"
                              "ab",
                              1));
    CHECK(isBoundedCbor("\xa1\x61"
                        "a\x81\x01",
                        2));
    CHECK(isBoundedCbor("\x80", 1));
    CHECK(isBoundedCbor("\x01", 0));
}

TEST_CASE("incomplete CBOR, tags and items of indefinite length are rejected")
{
    for (const std::string &malformed :
         {std::string(), std::string("\x82\x01"),
          std::string("\x62"
                      "a"),
          std::string("\x9f\x01\xff"), std::string("\x7f\xff"), std::string("\xc1\x01"),
          std::string("\x9b\xff\xff\xff\xff\xff\xff\xff\xff"), std::string("\x19\x01")})
        CHECK_FALSE(isBoundedCbor(malformed, 8));
}

TEST_CASE("nesting of any depth is rejected without recursion")
{
    for (const char opening : {'\x81', '\x9f', '\xa1', '\x7f', '\x5f', '\xc1'})
        CHECK_FALSE(isBoundedCbor(std::string(1'000'000, opening), 8));
}

} // namespace jacinthshift
