#include "base/identifiers.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::string_literals;

    // Guards against an address that looks valid and is another text: a NUL byte ended the check of the IP address, so
    // that "10.0.0.1", NUL and anything else was accepted and compared unequal to the same address elsewhere.
    TEST(Endpoint, OddTextsAreRejected)
    {
        for (const auto& text : { "10.0.0.1\0:80"s, "10.0.0.1\0x:80"s, "[::1\0]:80"s, "10.0.0.1:80\0"s, "10.0.0.1:0"s,
                 "10.0.0.1:65536"s, "10.0.0.1:4294967376"s, "10.0.0.1:-1"s, "10.0.0.1:+80"s, "10.0.0.1: 80"s,
                 "10.0.0.1:80 "s, " 10.0.0.1:80"s, "10.0.0.1:"s, "10.0.0.1"s, ":80"s, ":"s, ""s, "[]:80"s, "[:80"s,
                 "::1:80"s, "[10.0.0.1]:80"s, "[::1%lo]:80"s, "10.0.0.1.2:80"s, "10.0.0.256:80"s, "host:80"s,
                 "\xff:80"s, std::string(1 << 20, '[') + ":80" })
            EXPECT_FALSE(parseEndpoint(text)) << text.substr(0, 40);
    }

    // Guards against an endpoint that is read as another one after it was written.
    RC_GTEST_PROP(Endpoint, TextsAreRejectedOrKept, ())
    {
        static const std::vector<std::string> extras { "", std::string(1, '\0'), " ", "x", ":", "]", "\xff", "1" };
        std::string text = *rc::gen::elementOf(std::vector<std::string> { "10.0.0.1", "[::1]" });
        const std::string port = *rc::gen::elementOf(std::vector<std::string> { ":80", ":65535", ":65536", ":0" });
        const auto position
            = *rc::gen::elementOf(std::vector<std::size_t> { 0, text.size(), text.size() + port.size() });
        text = (text + port).insert(position, *rc::gen::elementOf(extras));
        if (const auto parsed = parseEndpoint(text)) {
            RC_ASSERT(parseEndpoint(toString(*parsed)) == parsed);
            RC_ASSERT(parsed->port > 0);
            RC_ASSERT(parsed->ip.find('\0') == std::string::npos);
        }
    }

} // namespace
} // namespace heatherdrift
