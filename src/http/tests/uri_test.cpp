#include "http/uri.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    // Guards against two keys that share one path, or a key that no path can name.
    RC_GTEST_PROP(PercentCoding, EveryByteStringComesBack, ())
    {
        const auto text = *rc::gen::string<std::string>();
        const auto encoded = percentEncode(text);
        RC_ASSERT(percentDecode(encoded) == text);
        RC_ASSERT(encoded.find_first_of("/?&= ") == std::string::npos);
    }

    struct target_case {
        const char* text;
        std::optional<uri_target> expected;
    };

    TEST(UriTarget, SplitsPathAndQueryAndRefusesTheRest)
    {
        const target_case cases[] = {
            { "/", uri_target { { "" }, {} } },
            { "/a/b%2Fc", uri_target { { "a", "b/c" }, {} } },
            { "/a?x=1&y=%20", uri_target { { "a" }, { { "x", "1" }, { "y", " " } } } },
            { "", std::nullopt },
            { "a", std::nullopt },
            { "/a%2", std::nullopt },
            { "/a%zz", std::nullopt },
            { "/a%2f", std::nullopt },
            { "/a b", std::nullopt },
            { "/a?x", std::nullopt },
            { "/a?x=1&x=2", std::nullopt },
            { "/a?", std::nullopt },
        };
        for (const auto& entry : cases)
            EXPECT_EQ(parseTarget(entry.text), entry.expected) << entry.text;
    }

} // namespace
} // namespace heatherdrift
