#include "settings/mesh_settings.h"

#include <fstream>
#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <regex>
#include <sstream>

namespace heatherdrift {
namespace {

    const char* const valid = R"({
        "instance": "n1", "availability_zone": "z1", "service": "s", "backend_server": "10.0.0.1:80",
        "store": "10.0.0.2:81",
        "listen": { "entry": "10.0.0.1:1", "forward": "10.0.0.1:2", "readiness": "10.0.0.1:3",
                    "announcements": "10.0.0.1:4", "metrics": "10.0.0.1:5" },
        "first_start": true, "heartbeat_ms": 870, "drain_ms": 2000, "longest_hold_ms": 10000, "stop_s": 6,
        "retry_share": 0.2, "link_mbps": 16 })";

    TEST(MeshSettings, FieldsAreRead)
    {
        const auto settings = parseMeshSettings(valid);
        ASSERT_TRUE(settings.has_value());
        const auto& out = settings.value();
        EXPECT_EQ(out.node, "n1");
        EXPECT_EQ(out.announcements, (endpoint { "10.0.0.1", 4 }));
        EXPECT_TRUE(out.isFirstStart);
        EXPECT_EQ(out.drainTime, std::chrono::milliseconds(2000));
        EXPECT_EQ(out.stopTime, std::chrono::seconds(6));
        EXPECT_EQ(out.linkBytesPerSecond, 2e6);
        EXPECT_EQ(out.logLines, 200);
    }

    TEST(MeshSettings, MemoryIsRead)
    {
        auto document = nlohmann::json::parse(valid);
        EXPECT_EQ(parseMeshSettings(document.dump()).value().memoryBytes, 256u << 20);
        document["memory_mb"] = 160;
        EXPECT_EQ(parseMeshSettings(document.dump()).value().memoryBytes, 160u << 20);
        document["memory_mb"] = 0;
        EXPECT_TRUE(parseMeshSettings(document.dump()).has_error());
    }

    // Guards against a decision that a deployment has not asked for.
    TEST(MeshSettings, SchedulingIsOffUnlessAskedFor)
    {
        auto document = nlohmann::json::parse(valid);
        EXPECT_EQ(parseMeshSettings(document.dump()).value().scheduling, scheduling_settings());
        document["scheduling"] = { { "rank_by_caller", true }, { "limit_calls", true }, { "completion_time", true },
            { "return_times", true }, { "hedge_share", 0.05 }, { "evacuation_ms", 5000 } };
        const scheduling_settings all { true, true, true, true, 0.05, std::chrono::seconds(5) };
        EXPECT_EQ(parseMeshSettings(document.dump()).value().scheduling, all);
    }

    // Guards against limits out of range that are cut to others, and misspelt ones that are ignored.
    TEST(MeshSettings, SchedulingIsChecked)
    {
        const std::pair<const char*, nlohmann::json> changes[]
            = { { "hedge_share", 0.21 }, { "hedge_share", -0.01 }, { "hedge_share", "0.02" }, { "evacuation_ms", -1 },
                  { "evacuation_ms", 1e18 }, { "rank_by_caller", 1 }, { "return_time", true } };
        for (const auto& [name, value] : changes) {
            auto document = nlohmann::json::parse(valid);
            document["scheduling"][name] = value;
            const auto got = parseMeshSettings(document.dump());
            ASSERT_TRUE(got.has_error()) << name;
            EXPECT_NE(got.error().message.find(name), std::string::npos) << got.error().message;
        }
    }

    // Guards against a node that starts with a default in place of a field that was left out or misspelt.
    TEST(MeshSettings, EveryFieldIsCheckedByName)
    {
        const auto document = nlohmann::json::parse(valid);
        for (const auto& [name, value] : document.items()) {
            auto changed = document;
            changed.erase(name);
            const auto missing = parseMeshSettings(changed.dump());
            ASSERT_TRUE(missing.has_error()) << name;
            EXPECT_NE(missing.error().message.find(name), std::string::npos) << missing.error().message;
            changed[name] = nlohmann::json::array();
            EXPECT_TRUE(parseMeshSettings(changed.dump()).has_error()) << name;
        }
        auto unknown = document;
        unknown["heartbeat"] = 1;
        EXPECT_TRUE(parseMeshSettings(unknown.dump()).has_error());
        EXPECT_TRUE(parseMeshSettings("{").has_error());
    }

    // Guards against a template of the deployment that renders other fields than the node reads.
    TEST(MeshSettings, TemplateNamesTheSameFields)
    {
        std::ifstream file(std::string(HEATHERDRIFT_SOURCE_DIR) + "/deploy/node.json.template");
        std::stringstream text;
        text << file.rdbuf();
        ASSERT_FALSE(text.str().empty());
        const std::string plain = std::regex_replace(text.str(), std::regex(R"(\{\{[^}]*\}\})"), "0");
        auto rendered = nlohmann::json::parse(plain);
        const auto document = nlohmann::json::parse(valid);
        auto withScheduling = document;
        withScheduling["scheduling"] = rendered["scheduling"];
        const auto accepted = parseMeshSettings(withScheduling.dump());
        EXPECT_TRUE(accepted.has_value()) << accepted.error().message;
        rendered.erase("scheduling");
        for (const auto& [name, value] : document.items())
            EXPECT_TRUE(rendered.contains(name)) << name;
        EXPECT_EQ(rendered.size(), document.size());
        EXPECT_EQ(rendered["listen"].size(), document["listen"].size());
    }

} // namespace
} // namespace heatherdrift
