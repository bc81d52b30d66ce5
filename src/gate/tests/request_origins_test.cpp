#include "gate/request_origins.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    void recordMany(request_origins& origins, const std::string& route, const std::vector<std::string>& services)
    {
        for (int i = 0; i < 100; ++i)
            origins.record(route, services[static_cast<std::size_t>(i) % services.size()]);
    }

    // Guards against requests of callers that are treated as nested because they have the address of their instance:
    // all requests of a deployment were then given precedence and waited until their deadlines.
    TEST(RequestOrigins, RouteOfOneServiceIsNestedBesideOneOfSeveral)
    {
        request_origins origins;
        recordMany(origins, "sign-off", { "records", "findings", "media" });
        recordMany(origins, "status", { "records" });
        EXPECT_FALSE(origins.isNested("sign-off"));
        EXPECT_TRUE(origins.isNested("status"));
        EXPECT_FALSE(origins.isNested("unknown"));
    }

    // Guards against a classification without evidence: no route is called from several services.
    TEST(RequestOrigins, NothingIsNestedIfAllRequestsComeFromOneService)
    {
        request_origins origins;
        recordMany(origins, "a", { "records" });
        recordMany(origins, "b", { "records" });
        EXPECT_FALSE(origins.isNested("a"));
    }

    // Guards against a route that still counts as nested after callers started to use it, and against a change of the
    // classification by a single test request of an operator.
    TEST(RequestOrigins, FollowsTheCallersOfARoute)
    {
        request_origins origins;
        recordMany(origins, "sign-off", { "records", "findings" });
        recordMany(origins, "status", { "records" });
        origins.record("status", "media");
        EXPECT_TRUE(origins.isNested("status"));
        recordMany(origins, "status", { "records", "findings", "media" });
        EXPECT_FALSE(origins.isNested("status"));
    }

} // namespace
} // namespace heatherdrift
