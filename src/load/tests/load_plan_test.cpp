#include "load/load_plan.h"

#include <gtest/gtest.h>
#include <map>

namespace heatherdrift {
namespace {

    std::string planWith(const std::string& fields)
    {
        return R"({"length_ms":1000,"kinds":[{"name":"a","labels":{"kind":"a"})" + fields + "}]}";
    }

    const std::string rate = R"(,"rate":[{"at_ms":0,"per_s":10}])";

    struct bad_plan {
        std::string text;
        const char* message;
    };

    // Guards against a plan error that is accepted silently or does not name its field.
    TEST(LoadPlan, NamesTheFieldOfEachError)
    {
        const bad_plan cases[] = {
            { "{", "not valid JSON at byte 2" },
            { R"({"kinds":[]})", "length_ms: missing" },
            { R"({"length_ms":1000,"kinds":[]})", "kinds: expected at least one kind" },
            { R"({"length_ms":1000,"kinds":[1]})", "kinds[0]: expected an object" },
            { planWith(""), "kinds[0].rate: missing" },
            { planWith(R"(,"rate":[])"), "kinds[0].rate: expected at least one step" },
            { planWith(R"(,"rate":[{"at_ms":0,"per_s":-1}])"),
                "kinds[0].rate[0].per_s: expected a number from 0.000000 to 1000000.000000" },
            { planWith(R"(,"rate":[{"at_ms":0,"per_s":1},{"at_ms":0,"per_s":1}])"),
                "kinds[0].rate[1].at_ms: not after the step before" },
            { planWith(rate + R"(,"speed":1)"), "kinds[0].speed: unknown field" },
            { planWith(rate + R"(,"method":"TRACE")"), "kinds[0].method: expected GET, DELETE, POST, PUT or PATCH" },
            { planWith(rate + R"(,"body_bytes":3)"), "kinds[0].body_bytes: not possible with this method" },
            { planWith(rate + R"(,"target":"x")"), "kinds[0].target: expected a path" },
            { planWith(rate + R"(,"arrivals":"burst")"), "kinds[0].arrivals: expected poisson or regular" },
            { planWith(rate + R"(,"timeout_ms":0)"), "kinds[0].timeout_ms: expected an integer from 1 to 3600000" },
            { planWith(rate + R"(,"keys":{})"), "kinds[0].keys.uniform: missing, as are hot and cycle" },
            { planWith(rate + R"(,"keys":{"uniform":0})"),
                "kinds[0].keys.uniform: expected an integer from 1 to 9223372036854775807" },
            { planWith(rate + R"(,"keys":{"hot":[{"key":"k","share":0.5}]})"),
                "kinds[0].keys.hot: the shares add up to less than 1 and there are no uniform keys" },
            { planWith(rate + R"(,"keys":{"hot":[{"key":"k","share":0.7},{"key":"l","share":0.7}]})"),
                "kinds[0].keys.hot: the shares add up to more than 1" },
            { planWith(rate + R"(,"keys":{"cycle":["k"],"uniform":3})"),
                "kinds[0].keys.cycle: cannot be combined with hot or uniform" },
            { planWith(rate + R"(,"keys":{"cycle":[""]})"),
                "kinds[0].keys.cycle[0]: expected a string that is not empty" },
        };
        for (const auto& entry : cases) {
            const auto plan = parseLoadPlan(entry.text);
            ASSERT_TRUE(plan.has_error()) << entry.text;
            EXPECT_EQ(plan.error().message, entry.message);
            EXPECT_EQ(plan.error().code, error_code::invalid_settings);
        }
    }

    // Guards against a share of requests to a hot key that is not the one of the plan.
    TEST(KeyChooser, KeepsTheSharesOfHotKeys)
    {
        key_chooser chooser({ { { "hot", 0.25 } }, 10, {} }, 20261204);
        std::map<std::string, int> counts;
        for (int i = 0; i < 40000; ++i)
            ++counts[chooser.next()];
        EXPECT_NEAR(counts["hot"], 10000, 450);
        EXPECT_EQ(counts.size(), 11u);
        EXPECT_NEAR(counts["key-3"], 3000, 280);
    }

    // Guards against probes that do not reach every key equally often.
    TEST(KeyChooser, UsesACycleInTurn)
    {
        key_chooser chooser({ {}, 0, { "a", "b" } }, 1);
        EXPECT_EQ(chooser.next() + chooser.next() + chooser.next(), "aba");
    }

} // namespace
} // namespace heatherdrift
