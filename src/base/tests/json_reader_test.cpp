#include "base/json_reader.h"
#include "base/tests/odd_json.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    struct sample {
        std::string name;
        int count = 1;
        endpoint address;
    };

    result<sample> parseSample(std::string_view text)
    {
        BOOST_OUTCOME_TRY(document, parseJson(text, error_code::invalid_settings));
        json_reader reader(document, "", error_code::invalid_settings);
        sample value;
        reader.readString("name", value.name);
        reader.readInteger("count", value.count, { 1, 10 }, json_reader::presence::optional);
        reader.readEndpoint("address", value.address);
        BOOST_OUTCOME_TRY(reader.finish());
        return value;
    }

    struct bad_document {
        const char* text;
        const char* message;
    };

    // Guards against a settings error that is accepted silently or does not name its field.
    TEST(JsonReader, NamesTheFieldOfEachError)
    {
        const bad_document cases[] = {
            { R"({"name":"a","address":"127.0.0.1:1","extra":1})", "extra: unknown field" },
            { R"({"address":"127.0.0.1:1"})", "name: missing" },
            { R"({"name":1,"address":"127.0.0.1:1"})", "name: expected a string" },
            { R"({"name":"a","count":11,"address":"127.0.0.1:1"})", "count: expected an integer from 1 to 10" },
            { R"({"name":"a","count":18446744073709551615,"address":"127.0.0.1:1"})",
                "count: expected an integer from 1 to 10" },
            { R"({"name":"a","count":1.5,"address":"127.0.0.1:1"})", "count: expected an integer" },
            { R"({"name":"a","address":"localhost:1"})",
                "address: expected an IP address and port such as 127.0.0.1:8080" },
            { R"({"name":"a","address":"127.0.0.1:0"})",
                "address: expected an IP address and port such as 127.0.0.1:8080" },
            { R"([])", "document: expected an object" },
            { R"({"name":)", "not valid JSON at byte 9" },
            // The parser keeps the last of two equal fields and throws no parse_error for 1e999.
            { R"({"a":[{"name":"a","name":"b"}]})", "field \"name\" is given twice in one object" },
            { R"({"name":1e999})", "not valid JSON: a number is out of range" },
        };
        for (const auto& entry : cases) {
            const auto outcome = parseSample(entry.text);
            ASSERT_TRUE(outcome.has_error()) << entry.text;
            EXPECT_EQ(outcome.error().message, entry.message);
        }
    }

    // Guards against documents that take many times the memory of their text, and whose copy or comparison, which
    // recurse over the levels, exceed the stack.
    TEST(JsonReader, DeepNestingIsRejected)
    {
        const auto nestedObjects = [](std::size_t depth) {
            std::string text;
            for (std::size_t i = 0; i < depth; ++i)
                text += "{\"a\":";
            return text + "1" + std::string(depth, '}');
        };
        EXPECT_TRUE(parseJson(nestedArrays(64), error_code::bad_request).has_value());
        EXPECT_TRUE(parseJson(nestedObjects(64), error_code::bad_request).has_value());
        for (const auto& text : { nestedArrays(65), nestedObjects(65), nestedArrays(1 << 19), nestedObjects(1 << 17),
                 std::string(1 << 20, '['), "{\"a\":1,\"b\":" + nestedArrays(1 << 19) + "}" }) {
            const auto got = parseJson(text, error_code::bad_request);
            ASSERT_TRUE(got.has_error()) << text.substr(0, 20);
            EXPECT_EQ(got.error().message, "objects and arrays are nested more than 64 levels deep");
        }
    }

    TEST(JsonReader, LeavesAbsentOptionalFieldsAsTheyAre)
    {
        const auto outcome = parseSample(R"({"name":"a","address":"[::1]:80"})");
        ASSERT_TRUE(outcome.has_value());
        EXPECT_EQ(outcome.value().count, 1);
        EXPECT_EQ(outcome.value().address, (endpoint { "::1", 80 }));
    }

    // Guards against an exception when a text is written as JSON: isUtf8() has to accept exactly what the library does.
    RC_GTEST_PROP(JsonText, IsUtf8AcceptsWhatCanBeWritten, ())
    {
        static const std::vector<std::string> pieces { "a", "\x7f", "\xc3\xa4", "\xe2\x82\xac", "\xf0\x9f\x98\x80",
            "\x80", "\xc0\x80", "\xc3", "\xe2\x82", "\xed\xa0\x80", "\xf4\x90\x80\x80", "\xf5", "\xff",
            std::string(1, '\0') };
        std::string text;
        const int count = *rc::gen::inRange(0, 6);
        for (int i = 0; i < count; ++i)
            text += *rc::gen::elementOf(pieces);
        bool isWritten = true;
        try {
            json(text).dump();
        } catch (const json::exception&) {
            isWritten = false;
        }
        RC_ASSERT(isUtf8(text) == isWritten);
    }

    // Guards against elements that are passed on twice, not at all, or from another array than the named one, and
    // against a failure of the function that is lost.
    TEST(JsonElements, ElementsOfTheNamedArrayArePassedOn)
    {
        std::vector<std::string> passed;
        const auto collect = [&](const json& element) -> result<void> {
            passed.push_back(element.dump());
            return outcome::success();
        };
        const auto parse = [&](std::string_view text) {
            passed.clear();
            return parseJson(text, error_code::bad_request, "list", collect);
        };
        const auto got = parse(R"({"a":[1,{"list":[2]}],"list":[3,{"list":[4,5]},[6],null],"b":{"list":[7]}})");
        ASSERT_TRUE(got.has_value());
        EXPECT_EQ(passed, (std::vector<std::string> { "3", R"({"list":[4,5]})", "[6]", "null" }));
        EXPECT_EQ(got.value().dump(), R"({"a":[1,{"list":[2]}],"b":{"list":[7]},"list":[]})");
        EXPECT_TRUE(parse(R"({"list":{"a":1}})").has_value());
        EXPECT_TRUE(parse(R"([[1]])").has_value());
        EXPECT_TRUE(parse("1").has_value());
        EXPECT_TRUE(passed.empty());
        EXPECT_EQ(parse(R"({"list":[{"a":1,"a":2}]})").error().message, "field \"a\" is given twice in one object");
        EXPECT_EQ(parse(R"({"list":[1],"list":[2]})").error().message, "field \"list\" is given twice in one object");
        const auto refuse = [](const json&) -> result<void> { return notRun(error_code::bad_request, "refused"); };
        const auto refused = parseJson(R"({"list":[1]})", error_code::bad_request, "list", refuse);
        ASSERT_TRUE(refused.has_error());
        EXPECT_EQ(refused.error().message, "refused");
    }

    // Guards against a parser that builds another document than the library does, for any text.
    RC_GTEST_PROP(JsonText, DocumentsAreThoseOfTheLibrary, ())
    {
        const auto document = json::parse(
            R"({"a":[1,-2,3.5,true,null,"\u00e4"],"b":{"c":{},"d":[],"e":[[{"f":"g"}]]},"h":18446744073709551615})");
        const auto text = mutatedText(document);
        const auto expected = json::parse(text, nullptr, false);
        const auto got = parseJson(text, error_code::bad_request);
        const std::string reason = got.has_error() ? got.error().message : "";
        if (reason.ends_with("given twice in one object") || reason.ends_with("levels deep"))
            return;
        RC_ASSERT(got.has_value() == !expected.is_discarded());
        if (got.has_value())
            RC_ASSERT(got.value() == expected);
    }

} // namespace
} // namespace heatherdrift
