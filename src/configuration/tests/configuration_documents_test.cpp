#include "base/tests/field_table.h"
#include "configuration/configuration.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    const std::string sourceDirectory = HEATHERDRIFT_SOURCE_DIR;

    configuration parseExample(const std::string& name)
    {
        std::ifstream file(sourceDirectory + "/examples/" + name + "/configuration.json");
        const std::string text(std::istreambuf_iterator<char>(file), {});
        const auto document = parseJson(text, error_code::invalid_configuration);
        const auto parsed = parseConfiguration(document.value());
        EXPECT_TRUE(parsed.has_value()) << parsed.error().message;
        return parsed.value();
    }

    // "kind pool once length priority" of each selector, as found by the label "kind".
    std::vector<std::string> describe(const configuration& value, std::initializer_list<const char*> kinds)
    {
        std::vector<std::string> lines;
        for (const std::string kind : kinds) {
            const auto* selector = value.findSelector({ { "kind", kind } });
            const auto all = toJson(value).at("selectors");
            const auto policy = all.at(selector - value.selectors.data()).at("policy");
            EXPECT_EQ(value.poolFor({ { "pool", selector->pool } }), value.findPool(selector->pool));
            lines.push_back(kind + " " + selector->pool + " " + policy.at("once").get<std::string>() + " "
                + policy.at("length").get<std::string>() + " " + policy.at("priority").dump());
        }
        return lines;
    }

    // Guards against an example that the parser rejects or that sends requests to the wrong pool.
    TEST(ConfigurationDocuments, ExamplesOfTheCustomers)
    {
        using lines = std::vector<std::string>;
        const auto indus = parseExample("indus");
        EXPECT_EQ(describe(indus, { "lookup", "sign-off", "findings", "video" }),
            (lines { "lookup records none short 7", "sign-off findings token short 9", "findings findings none short 5",
                "video media none long 3" }));
        const auto geloSeco = parseExample("gelo-seco");
        EXPECT_EQ(describe(geloSeco, { "availability", "booking", "order", "safety-sheet", "truck-slot" }),
            (lines { "availability stock none short 6", "booking orders token short 9", "order orders none short 5",
                "safety-sheet documents none long 3", "truck-slot documents none short 7" }));
        for (const auto& pool : indus.pools)
            EXPECT_EQ(std::pair(pool.slots, pool.connections), std::pair(12, 130));
        for (const auto& pool : geloSeco.pools)
            EXPECT_EQ(std::pair(pool.slots, pool.connections), std::pair(17, 90));
    }

    // Guards against a page that lacks a field or states another default. The round trip property ensures that
    // toJson() has all fields that the parser knows.
    TEST(ConfigurationDocuments, PageListsEveryField)
    {
        const auto smallest = json::parse(R"({"pools": [{"name": "a", "members": {}}],
            "selectors": [{"name": "a", "requests": {}, "pool": "a"}]})");
        const std::set<std::string> opaque { "pools[].members", "selectors[].requests", "instance_labels" };
        const auto filled = fieldsOf(toJson(parseConfiguration(smallest).value()), opaque);
        EXPECT_EQ(documentedDefaults(sourceDirectory + "/docs/configuration.md"),
            actualDefaults(fieldsOf(smallest, opaque), filled, filled));
    }

} // namespace
} // namespace heatherdrift
