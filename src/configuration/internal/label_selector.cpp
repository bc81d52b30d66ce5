#include "configuration/internal/label_selector.h"

#include "configuration/configuration_limits.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    using kind = label_condition::kind;

    constexpr auto code = error_code::invalid_configuration;

    result<std::string> parseValue(const json& value, const std::string& path)
    {
        if (!value.is_string())
            return notRun(code, path + ": expected a string");
        const auto& text = value.get_ref<const std::string&>();
        BOOST_OUTCOME_TRY(checkLabel("name", text, path, code));
        return text;
    }

    result<std::vector<std::string>> parseValues(const json& value, const std::string& path)
    {
        if (!value.is_array())
            return notRun(code, path + ": expected an array");
        if (value.empty() || value.size() > maximumConditionValues)
            return notRun(code, path + ": expected 1 to " + std::to_string(maximumConditionValues) + " values");
        std::vector<std::string> values;
        for (std::size_t i = 0; i < value.size(); ++i) {
            BOOST_OUTCOME_TRY(text, parseValue(value[i], path + "[" + std::to_string(i) + "]"));
            values.push_back(text);
        }
        // The order has no meaning; covers() needs it sorted.
        std::ranges::sort(values);
        const auto twice = std::ranges::adjacent_find(values);
        if (twice != values.end())
            return notRun(code, path + ": the value \"" + *twice + "\" is given twice");
        return values;
    }

    result<label_condition> parseConditionObject(const std::string& name, const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        label_condition condition { name, kind::not_in, {} };
        bool exists = true;
        reader.readValue(
            "not_in",
            [&](const json& values, const std::string& valuesPath) -> result<void> {
                BOOST_OUTCOME_TRY(parsed, parseValues(values, valuesPath));
                condition.values = parsed;
                return outcome::success();
            },
            json_reader::presence::optional);
        reader.readBool("exists", exists, json_reader::presence::optional);
        BOOST_OUTCOME_TRY(reader.finish());
        if (value.size() != 1)
            return notRun(code, path + ": expected either \"not_in\" or \"exists\"");
        if (condition.values.empty())
            condition.test = exists ? kind::exists : kind::absent;
        return condition;
    }

    result<label_condition> parseCondition(const std::string& name, const json& value, const std::string& path)
    {
        if (!isName(name))
            return notRun(code, path + ": label name: " + nameRule);
        if (value.is_object())
            return parseConditionObject(name, value, path);
        if (value.is_array()) {
            BOOST_OUTCOME_TRY(values, parseValues(value, path));
            return label_condition { name, kind::in, values };
        }
        if (!value.is_string())
            return notRun(code, path + ": expected a string, an array or an object");
        BOOST_OUTCOME_TRY(text, parseValue(value, path));
        return label_condition { name, kind::in, { text } };
    }

    bool holds(const label_condition& condition, const label_set& labels)
    {
        const auto found = labels.find(condition.name);
        const bool exists = found != labels.end();
        const auto isListed
            = [&] { return std::ranges::find(condition.values, found->second) != condition.values.end(); };
        switch (condition.test) {
        case kind::in:
            return exists && isListed();
        case kind::not_in:
            return !exists || !isListed();
        case kind::exists:
            return exists;
        case kind::absent:
            return !exists;
        }
        return false;
    }

    bool areDisjoint(const std::vector<std::string>& left, const std::vector<std::string>& right)
    {
        return std::ranges::none_of(left, [&](const auto& value) { return std::ranges::binary_search(right, value); });
    }

    // Both conditions are on the same label. The set of possible values is taken as infinite, so that no list of
    // excluded values leaves a finite one.
    bool implies(const label_condition& given, const label_condition& wanted)
    {
        switch (wanted.test) {
        case kind::in:
            return given.test == kind::in && std::ranges::includes(wanted.values, given.values);
        case kind::not_in:
            return given.test == kind::absent || (given.test == kind::in && areDisjoint(given.values, wanted.values))
                || (given.test == kind::not_in && std::ranges::includes(given.values, wanted.values));
        case kind::exists:
            return given.test == kind::exists || given.test == kind::in;
        case kind::absent:
            return given.test == kind::absent;
        }
        return false;
    }

    json toJson(const label_condition& condition)
    {
        switch (condition.test) {
        case kind::in:
            return condition.values.size() == 1 ? json(condition.values.front()) : json(condition.values);
        case kind::not_in:
            return { { "not_in", condition.values } };
        case kind::exists:
            return { { "exists", true } };
        case kind::absent:
            return { { "exists", false } };
        }
        return nullptr;
    }

} // namespace

bool label_selector::matches(const label_set& labels) const
{
    return std::ranges::all_of(conditions, [&](const auto& condition) { return holds(condition, labels); });
}

result<label_selector> parseLabelSelector(const json& value, const std::string& path)
{
    if (!value.is_object())
        return notRun(code, path + ": expected an object");
    label_selector selector;
    for (const auto& [name, condition] : value.items()) {
        BOOST_OUTCOME_TRY(parsed, parseCondition(name, condition, path + "." + name));
        selector.conditions.push_back(parsed);
    }
    return selector;
}

bool covers(const label_selector& wide, const label_selector& narrow)
{
    // Conditions on different labels are independent and each can hold, so each must be implied by one on its label.
    return std::ranges::all_of(wide.conditions, [&](const auto& wanted) {
        const auto given = std::ranges::find(narrow.conditions, wanted.name, &label_condition::name);
        return given != narrow.conditions.end() && implies(*given, wanted);
    });
}

json toJson(const label_selector& selector)
{
    auto document = json::object();
    for (const auto& condition : selector.conditions)
        document[condition.name] = toJson(condition);
    return document;
}

} // namespace heatherdrift
