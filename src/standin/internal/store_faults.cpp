#include "standin/internal/store_faults.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    using presence = json_reader::presence;

    constexpr integer_range delayRange { 0, 3600 * 1000 };

    result<store_fault_rule> parseRule(const json& value, const std::string& path)
    {
        json_reader reader(value, path, error_code::bad_request);
        store_fault_rule rule;
        const auto addTable = [&](const json& name, const std::string& namePath) -> result<void> {
            if (!name.is_string())
                return notRun(error_code::bad_request, namePath + ": expected a string");
            rule.tables.insert(name.get<std::string>());
            return outcome::success();
        };
        reader.readArray("tables", addTable, presence::optional);
        reader.readMilliseconds("delay_ms", rule.delay, delayRange, presence::optional);
        reader.readMilliseconds("write_delay_ms", rule.writeDelay, delayRange, presence::optional);
        reader.readMilliseconds("effect_delay_ms", rule.effectDelay, delayRange, presence::optional);
        reader.readInteger("lose_answers", rule.loseAnswers, { 0, 1000000 }, presence::optional);
        reader.readNumber("lose_share", rule.loseShare, 0, 1, presence::optional);
        reader.readNumber("reject_share", rule.rejectShare, 0, 1, presence::optional);
        BOOST_OUTCOME_TRY(reader.finish());
        return rule;
    }

    void readOutage(json_reader& reader, store_outage& target)
    {
        std::string name = "none";
        reader.readString("outage", name, presence::optional);
        if (name == "refuse")
            target = store_outage::refuse;
        else if (name == "hang")
            target = store_outage::hang;
        else if (name != "none")
            reader.reject("outage", "expected none, refuse or hang");
    }

} // namespace

bool store_fault_rule::matches(const std::vector<std::string>& touched) const
{
    return tables.empty()
        || std::ranges::any_of(touched, [&](const std::string& table) { return tables.contains(table); });
}

result<store_faults> parseStoreFaults(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    json_reader reader(document, "", error_code::bad_request);
    store_faults faults;
    readOutage(reader, faults.outage);
    const auto addRule = [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(rule, parseRule(value, path));
        faults.rules.push_back(std::move(rule));
        return outcome::success();
    };
    reader.readArray("rules", addRule, presence::optional);
    BOOST_OUTCOME_TRY(reader.finish());
    return faults;
}

} // namespace heatherdrift
