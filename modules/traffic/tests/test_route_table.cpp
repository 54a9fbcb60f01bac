#include <catch2/catch.hpp>

#include <map>

#include "modules/traffic/route_table.h"

namespace jacinthshift {

namespace {

TrafficRoute route(const std::string &name, const std::string &prefix,
                   std::vector<SplitPart> parts = {{.service = "s", .weight = 1}})
{
    return TrafficRoute{
            .name = name, .host = "shop.example", .prefix = prefix, .parts = std::move(parts)};
}

std::string nameOf(const ActiveRoute *found)
{
    return found == nullptr ? "" : found->settings().name;
}

} // namespace

TEST_CASE("find returns the route with the longest matching prefix of the host")
{
    RouteTable table(TrafficConfig{.routes = {route("all", "/"), route("orders", "/orders/"),
                                              route("old", "/orders/old/")}},
                     1);
    CHECK(nameOf(table.find("shop.example", "/orders/7")) == "orders");
    CHECK(nameOf(table.find("shop.example", "/orders/old/7?x=/y/")) == "old");
    CHECK(nameOf(table.find("shop.example", "/orders")) == "all");
    CHECK(nameOf(table.find("SHOP.example:8080", "/x")) == "all");
    CHECK(table.find("other.example", "/orders/7") == nullptr);
    CHECK(table.find("shop.example", "no-slash") == nullptr);
    CHECK(table.size() == 3);
}

TEST_CASE("a split gives each part its share, to within one request per round")
{
    const std::uint64_t seed = GENERATE(1, 2, 3, 4, 5);
    RouteTable table(TrafficConfig{.routes = {route("r", "/",
                                                    {{.service = "a", .weight = 90},
                                                     {.service = "b", .weight = 10},
                                                     {.service = "off", .weight = 0}})}},
                     seed);
    std::map<std::string, int> counts;
    for (int i = 0; i < 200; ++i)
        ++counts[table.find("shop.example", "/")->nextService()];
    CHECK(counts["a"] >= 178);
    CHECK(counts["a"] <= 182);
    CHECK(counts["off"] == 0);
}

TEST_CASE("nodes with different seeds do not all start with the same part of a split")
{
    std::map<std::string, int> firstChoices;
    for (std::uint64_t seed = 0; seed < 200; ++seed) {
        RouteTable table(TrafficConfig{.routes = {route("r", "/",
                                                        {{.service = "a", .weight = 1},
                                                         {.service = "b", .weight = 1}})}},
                         seed);
        ++firstChoices[table.find("shop.example", "/")->nextService()];
    }
    CHECK(firstChoices["a"] > 50);
    CHECK(firstChoices["b"] > 50);
}

} // namespace jacinthshift
