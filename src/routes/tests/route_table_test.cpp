#include "routes/route_table.h"

#include <gtest/gtest.h>
#include <map>

namespace heatherdrift {
namespace {

    route makeRoute(std::string name, std::string host, std::string prefix, std::vector<service_share> services)
    {
        route out;
        out.name = std::move(name);
        out.host = std::move(host);
        out.prefix = std::move(prefix);
        out.services = std::move(services);
        return out;
    }

    route_configuration makeConfiguration(std::uint64_t version, std::vector<route> routes)
    {
        route_configuration out;
        out.version = version;
        out.routes = std::move(routes);
        return out;
    }

    // Guards against routing a request by a shorter prefix or by a route of another host.
    TEST(RouteTable, LongestPrefixOfTheHostWins)
    {
        route_table table;
        table.apply(makeConfiguration(1,
            { makeRoute("short", "a", "/x/", { { "one" } }), makeRoute("long", "a", "/x/y/", { { "two" } }),
                makeRoute("other", "b", "/x/y/z/", { { "three" } }) }));
        EXPECT_EQ(table.find("a", "/x/y/z/1")->name, "long");
        EXPECT_EQ(table.find("a", "/x/1")->name, "short");
        EXPECT_EQ(table.find("b", "/x/y/z/1")->name, "other");
        EXPECT_EQ(table.find("a", "/xy"), nullptr);
        EXPECT_EQ(table.find("c", "/x/"), nullptr);
    }

    // Guards against reverting to an older configuration when an old row is read late.
    TEST(RouteTable, OlderVersionsAreNotApplied)
    {
        route_table table;
        EXPECT_TRUE(table.apply(makeConfiguration(7, { makeRoute("new", "a", "/", { { "one" } }) })));
        EXPECT_FALSE(table.apply(makeConfiguration(7, {})));
        EXPECT_FALSE(table.apply(makeConfiguration(6, { makeRoute("old", "a", "/", { { "one" } }) })));
        EXPECT_EQ(table.find("a", "/")->name, "new");
    }

    // Guards against a split that deviates from its weights over short sequences of requests, or because it restarts
    // with each version of the configuration.
    TEST(RouteTable, SplitKeepsItsWeightsAcrossVersions)
    {
        route_table table;
        std::map<std::string, int> counts;
        for (std::uint64_t version = 1; version <= 20; ++version) {
            table.apply(makeConfiguration(version, { makeRoute("r", "a", "/", { { "big", 90 }, { "small", 10 } }) }));
            for (int i = 0; i < 5; ++i)
                ++counts[table.pickService(*table.find("a", "/"))];
        }
        EXPECT_EQ(counts["big"], 90);
        EXPECT_EQ(counts["small"], 10);
    }

} // namespace
} // namespace heatherdrift
