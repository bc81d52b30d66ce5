#include "configuration/configuration.h"
#include "configuration/configuration_limits.h"

#include <gtest/gtest.h>
#include <regex>

namespace heatherdrift {
namespace {

    json validDocument()
    {
        return json::parse(R"({
            "pools": [{"name": "records", "members": {"pool": "records"}}, {"name": "media", "members": {"pool": "media"}}],
            "selectors": [{"name": "lookup", "requests": {"kind": ["lookup", "list"]}, "pool": "records",
                "policy": {"once": "token", "ownership": "start"}},
                {"name": "rest", "requests": {}, "pool": "media"}],
            "instance_labels": {"media-1": {"pool": "media"}}})");
    }

    std::string errorOf(const json& document)
    {
        const auto parsed = parseConfiguration(document);
        return parsed.has_error() ? std::string(toString(parsed.error().code)) + " " + parsed.error().message : "valid";
    }

    // Path of the value at a JSON pointer: "/pools/0/name" is "pools[0].name".
    std::string pathOf(const std::string& pointer)
    {
        const auto indexed = std::regex_replace(pointer, std::regex("/([0-9]+)"), "[$1]");
        const auto dotted = std::regex_replace(indexed, std::regex("/"), ".");
        return dotted.empty() ? dotted : dotted.substr(1);
    }

    // Guards against an operator's mistake that takes effect, or whose error does not say where it is.
    TEST(Configuration, NamesTheFieldOfEachError)
    {
        struct bad_value {
            const char* pointer;
            const char* value; ///< Empty: the field is removed.
            std::string message; ///< After the path of the value.
        };
        const std::string badName = "expected 1 to 63 of [a-z0-9._-], starting with a letter";
        const std::string hidden = "\" has the same or a wider condition";
        const std::string eitherKind = ": expected either \"not_in\" or \"exists\"";
        const std::string needsOwnership = ": a once call needs \"start\" or \"run\"";
        const bad_value cases[] = {
            { "", "[]", "document: expected an object" },
            { "/pools", "", ": missing" },
            { "/selectors", "{}", ": expected an array" },
            { "/version", "3", ": unknown field" },
            { "/pools/0", "1", ": expected an object" },
            { "/pools/0/name", "", ": missing" },
            { "/pools/0/name", "\"Records\"", ": " + badName },
            { "/pools/1/name", "\"records\"", ": \"records\" is already the name of pools[0]" },
            { "/pools/0/size", "1", ": unknown field" },
            { "/pools/0/members", "", ": missing" },
            { "/pools/0/members", "[]", ": expected an object" },
            { "/pools/1/members", R"({"pool":"records"})", ": never matches, because the earlier \"records" + hidden },
            { "/pools/0/partitions", "48", ": expected a power of two" },
            { "/pools/0/partitions", "0", ": expected an integer from 1 to 65536" },
            { "/pools/0/partitions", "131072", ": expected an integer from 1 to 65536" },
            { "/pools/0/partitions", "64.5", ": expected an integer" },
            { "/pools/0/slots", "0", ": expected an integer from 1 to 10000" },
            { "/pools/0/connections", "10001", ": expected an integer from 1 to 10000" },
            { "/pools/0/connections", "11", ": fewer than the 12 slots" },
            { "/pools/0/short_share", "1.5", ": expected a number from 0.000000 to 1.000000" },
            { "/pools/0/short_share", "\"half\"", ": expected a number" },
            { "/pools/0/maximum_body_bytes", "67108865", ": expected an integer from 0 to 67108864" },
            { "/selectors/1/name", "\"lookup\"", ": \"lookup\" is already the name of selectors[0]" },
            { "/selectors/0/pool", "\"record\"", ": there is no pool \"record\"" },
            { "/selectors/0/requests", "", ": missing" },
            { "/selectors/1/requests", R"({"kind":"list","tier":"gold"})",
                ": never matches, because the earlier \"lookup" + hidden },
            { "/selectors/0/requests/kind", "1", ": expected a string, an array or an object" },
            { "/selectors/0/requests/kind", "[]", ": expected 1 to 256 values" },
            { "/selectors/0/requests/kind/1", "2", ": expected a string" },
            { "/selectors/0/requests/kind", R"(["a","b","a"])", ": the value \"a\" is given twice" },
            { "/selectors/0/requests/Kind", "\"a\"", ": label name: " + badName },
            { "/selectors/0/requests/kind", R"({"in":["a"]})", ".in: unknown field" },
            { "/selectors/0/requests/kind", "{}", eitherKind },
            { "/selectors/0/requests/kind", R"({"not_in":["a"],"exists":true})", eitherKind },
            { "/selectors/0/requests/kind", R"({"not_in":"a"})", ".not_in: expected an array" },
            { "/selectors/0/policy/once", "\"twice\"", ": expected one of none, token, intent_row, backend_server" },
            { "/selectors/0/policy/ownership", "", needsOwnership },
            { "/selectors/0/policy/ownership", "\"none\"", needsOwnership },
            { "/selectors/0/policy/length", "\"long\"", ": a once call must be \"short\"" },
            { "/selectors/0/policy/timeout_ms", "30001", ": a once call may take at most 30000" },
            { "/selectors/1/policy/timeout_ms", "60001", ": a short call may take at most 60000" },
            { "/selectors/1/policy", R"({"ownership":"run","timeout_ms":10001})",
                ".timeout_ms: a call with ownership \"run\" may take at most 10000" },
            { "/selectors/1/policy", R"({"length":"long","timeout_ms":999})",
                ".timeout_ms: a long call needs at least 1000" },
            { "/selectors/0/policy/timeout_ms", "0", ": expected an integer from 1 to 86400000" },
            { "/selectors/0/policy/priority", "10", ": expected an integer from 0 to 9" },
            { "/selectors/0/policy/priority", "-1", ": expected an integer from 0 to 9" },
            { "/instance_labels/M", "{}", ": instance name: " + badName },
            { "/instance_labels/media-1/drain", "\"yes\"", ": expected \"true\" or \"false\"" },
        };
        for (const auto& entry : cases) {
            auto document = validDocument();
            if (*entry.value == '\0')
                document.patch_inplace({ { { "op", "remove" }, { "path", entry.pointer } } });
            else
                document[json::json_pointer(entry.pointer)] = json::parse(entry.value);
            EXPECT_EQ(errorOf(document), "invalid_configuration " + pathOf(entry.pointer) + entry.message);
        }
        EXPECT_EQ(errorOf(validDocument()), "valid");
    }

    // Guards against long calls that no slot would ever run; 10 slots leave exactly one at a share of 0.9.
    TEST(Configuration, LongCallsNeedASlot)
    {
        auto document = validDocument();
        document["selectors"][1]["policy"]["length"] = "long";
        document["pools"][1]["slots"] = 10;
        document["pools"][1]["short_share"] = 0.9;
        EXPECT_EQ(errorOf(document), "valid");
        document["pools"][1]["short_share"] = 0.91;
        EXPECT_EQ(errorOf(document),
            "invalid_configuration selectors[1].policy.length: the pool \"media\" reserves all its slots for short "
            "calls");
    }

    // Guards against a configuration that is too large for the store and the control links.
    TEST(Configuration, LimitsItsSize)
    {
        auto document = validDocument();
        document["pools"] = json::array_t(65, document["pools"][0]);
        EXPECT_EQ(errorOf(document), "invalid_configuration pools[64]: more than 64 entries");
        document = validDocument();
        document["selectors"] = json::array_t(1025, document["selectors"][0]);
        EXPECT_EQ(errorOf(document), "invalid_configuration selectors[1024]: more than 1024 entries");

        document = toJson(parseConfiguration(validDocument()).value());
        auto& instances = document["instance_labels"] = json::object();
        for (int i = 1000; i < 2000; ++i)
            instances["i" + std::to_string(i)]["l"] = "";
        for (auto& labels : instances) {
            const auto left = maximumConfigurationBytes - document.dump().size();
            labels["l"] = std::string(std::min<std::size_t>(left, 255), 'x');
        }
        EXPECT_EQ(errorOf(document), "valid");
        instances["i1999"]["l"] = "x";
        EXPECT_EQ(errorOf(document),
            "invalid_configuration document: 262145 bytes as compact JSON, at most 262144 are allowed");
    }

    TEST(Configuration, TheFirstMatchCounts)
    {
        const auto value = parseConfiguration(validDocument()).value();
        EXPECT_EQ(value.findSelector({ { "kind", "list" } })->name, "lookup");
        EXPECT_EQ(value.findSelector({ { "kind", "video" } })->name, "rest");
        EXPECT_EQ(value.poolFor({ { "pool", "media" } })->name, "media");
        EXPECT_EQ(value.poolFor({ { "pool", "other" } }), nullptr);
        EXPECT_EQ(value.findPool("other"), nullptr);
        EXPECT_EQ(configuration {}.findSelector({}), nullptr);
    }

    // Guards against an announcement that overrides what operators decided.
    TEST(Configuration, LabelsOfOperatorsPrecedeAnnouncedOnes)
    {
        const auto value = parseConfiguration(validDocument()).value();
        const label_set announced { { "pool", "records" }, { "tier", "gold" } };
        EXPECT_EQ(value.labelsOf("media-1", announced), (label_set { { "pool", "media" }, { "tier", "gold" } }));
        EXPECT_EQ(value.labelsOf("records-1", announced), announced);
    }

} // namespace
} // namespace heatherdrift
