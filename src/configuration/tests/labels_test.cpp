#include "configuration/internal/label_selector.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    const std::string nameError = "label name: expected 1 to 63 of [a-z0-9._-], starting with a letter";
    const std::string valueError
        = "label value: expected at most 255 printable ASCII bytes without comma, equals sign or outer space";

    TEST(Labels, HeaderWithSpacesAndEmptyValue)
    {
        EXPECT_EQ(parseLabelHeader("kind=video, tier=,\tnote=a b").value(),
            (label_set { { "kind", "video" }, { "tier", "" }, { "note", "a b" } }));
        EXPECT_EQ(parseLabelHeader(" ").value(), label_set {});
    }

    // Guards against a malformed header that is half read, so that a request silently reaches another pool.
    TEST(Labels, RejectsMalformedHeaders)
    {
        std::string many = "a0=";
        for (int i = 1; i <= 16; ++i)
            many += ",a" + std::to_string(i) + "=";
        const std::pair<std::string, std::string> cases[] = {
            { "kind", "heatherdrift-labels[0]: expected name=value" },
            { "kind=a,", "heatherdrift-labels[1]: expected name=value" },
            { "kind=a,kind=a", "heatherdrift-labels[1]: the label is given twice" },
            { "Kind=a", "heatherdrift-labels[0]: " + nameError },
            { "=a", "heatherdrift-labels[0]: " + nameError },
            { std::string(64, 'k') + "=a", "heatherdrift-labels[0]: " + nameError },
            { "kind=a=b", "heatherdrift-labels[0]: " + valueError },
            { "kind=\x7f", "heatherdrift-labels[0]: " + valueError },
            { "kind=" + std::string(256, 'a'), "heatherdrift-labels[0]: " + valueError },
            { many, "heatherdrift-labels: more than 16 labels" },
        };
        for (const auto& [header, message] : cases) {
            const auto labels = parseLabelHeader(header);
            ASSERT_TRUE(labels.has_error()) << header;
            EXPECT_EQ(labels.error(), notRun(error_code::bad_request, message));
        }
    }

    // Guards against an announcement whose labels fill the membership row of every node.
    TEST(Labels, RejectsBadLabelObjects)
    {
        auto many = json::object();
        for (int i = 0; i <= 64; ++i)
            many["a" + std::to_string(i)] = "";
        const std::pair<json, std::string> cases[] = {
            { json::array(), "labels: expected an object" },
            { { { "pool", 1 } }, "labels.pool: expected a string" },
            { { { "Pool", "a" } }, "labels.Pool: " + nameError },
            { { { "pool", " a" } }, "labels.pool: " + valueError },
            { many, "labels: more than 64 labels" },
        };
        for (const auto& [labels, message] : cases)
            EXPECT_EQ(parseLabels(labels, "labels", error_code::bad_request).error().message, message);
    }

    TEST(Labels, EachKindOfCondition)
    {
        // Whether it matches an absent label, the value "a", the empty value.
        const std::tuple<const char*, bool, bool, bool> cases[] = {
            { R"({})", true, true, true },
            { R"({"kind":"a"})", false, true, false },
            { R"({"kind":["a","b"]})", false, true, false },
            { R"({"kind":{"not_in":["a"]}})", true, false, true },
            { R"({"kind":{"exists":true}})", false, true, true },
            { R"({"kind":{"exists":false}})", true, false, false },
        };
        for (const auto& [text, matchesAbsent, matchesA, matchesEmpty] : cases) {
            const auto selector = parseLabelSelector(json::parse(text), "").value();
            EXPECT_EQ(selector.matches({ { "tier", "a" } }), matchesAbsent) << text;
            EXPECT_EQ(selector.matches({ { "kind", "a" }, { "tier", "b" } }), matchesA) << text;
            EXPECT_EQ(selector.matches({ { "kind", "" } }), matchesEmpty) << text;
        }
    }

    label_selector arbitrarySelector()
    {
        label_selector selector;
        for (const auto* name : { "a", "b" }) {
            const auto choice = *rc::gen::inRange(0, 5);
            if (choice == 4)
                continue;
            label_condition condition { name, static_cast<label_condition::kind>(choice), {} };
            if (choice < 2)
                condition.values
                    = *rc::gen::elementOf(std::vector<std::vector<std::string>> { { "x" }, { "y" }, { "x", "y" } });
            selector.conditions.push_back(condition);
        }
        return selector;
    }

    // Guards against a selector that is rejected although it can match, or accepted although an earlier one hides it.
    RC_GTEST_PROP(Labels, CoverAgreesWithAllLabelSets, ())
    {
        const auto wide = arbitrarySelector();
        const auto narrow = arbitrarySelector();
        bool isCovered = true;
        // "z" stands for all values that no condition names, "" for an absent label.
        for (const std::string a : { "", "x", "y", "z" }) {
            for (const std::string b : { "", "x", "y", "z" }) {
                label_set labels { { "a", a }, { "b", b } };
                std::erase_if(labels, [](const auto& label) { return label.second.empty(); });
                isCovered = isCovered && (!narrow.matches(labels) || wide.matches(labels));
            }
        }
        RC_ASSERT(covers(wide, narrow) == isCovered);
    }

} // namespace
} // namespace heatherdrift
