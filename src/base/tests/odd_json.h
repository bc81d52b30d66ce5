#pragma once

#include "base/json_reader.h"

#include <rapidcheck.h>

namespace heatherdrift {

/// Arrays nested to the given depth, as text.
inline std::string nestedArrays(std::size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

/// Texts of JSON values that decoders tend to mishandle: other types, numbers beyond the integer types, negative
/// counts, odd ports, control characters and deep nesting.
inline const std::vector<std::string>& oddValues()
{
    static const std::vector<std::string> values { "null", "true", "false", "0", "-0.0", "-1", "1", "0.5", "1e300",
        "-1e300", "1e18", "65536", "2147483648", "4294967296", "-9223372036854775808", "9223372036854775807",
        "18446744073709551615", "123456789012345678901234567890", R"("")", R"("x")", R"("\u0000")", R"("r")",
        R"("r99999999999999999999")", R"("10.0.0.1:0")", R"("10.0.0.1:65536")", R"("10.0.0.1\u0000:80")",
        R"("[::1]:80")", "[]", "{}", "[[]]", "[{}]", R"({"a":1})", "[0,0,0]", nestedArrays(40) };
    return values;
}

/// Replaces a random value inside the document by an odd one, or removes it.
inline void replaceRandomValue(json& document)
{
    json* target = &document;
    while (target->is_structured() && !target->empty() && *rc::gen::inRange(0, 6) > 0) {
        auto child = target->begin();
        std::advance(child, *rc::gen::inRange<std::size_t>(0, target->size()));
        if (*rc::gen::inRange(0, 12) == 0) {
            target->erase(child);
            return;
        }
        target = &*child;
    }
    *target = json::parse(*rc::gen::elementOf(oddValues()));
}

/// Text of a document after a few random replacements; sometimes with a random byte changed or the end cut off.
inline std::string mutatedText(json document)
{
    const int replacements = *rc::gen::inRange(1, 4);
    for (int i = 0; i < replacements; ++i)
        replaceRandomValue(document);
    std::string text = document.dump();
    if (*rc::gen::inRange(0, 8) == 0)
        text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
    if (*rc::gen::inRange(0, 16) == 0)
        text.resize(*rc::gen::inRange<std::size_t>(0, text.size()));
    return text;
}

/// Calls the function with many mutations of the document, since most are rejected early.
inline void forMutations(const json& document, const std::function<void(const std::string& text)>& check)
{
    constexpr int mutations = 40;
    for (int i = 0; i < mutations; ++i)
        check(mutatedText(document));
}

} // namespace heatherdrift
