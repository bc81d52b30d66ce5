#include "load/load_plan.h"

#include "base/json_reader.h"

#include <fstream>
#include <set>
#include <sstream>

namespace heatherdrift {

namespace {

    constexpr auto code = error_code::invalid_settings;
    constexpr auto isOptional = json_reader::presence::optional;
    constexpr integer_range milliseconds { 0, 3600 * 1000 };
    constexpr double mostPerSecond = 1e6;

    result<std::string> parseText(const json& value, const std::string& path)
    {
        if (!value.is_string() || value.get<std::string>().empty())
            return notRun(code, path + ": expected a string that is not empty");
        return value.get<std::string>();
    }

    result<key_choice::hot_key> parseHotKey(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        key_choice::hot_key hot;
        reader.readString("key", hot.key);
        reader.readNumber("share", hot.share, 0, 1);
        BOOST_OUTCOME_TRYV(reader.finish());
        return hot;
    }

    result<key_choice> parseKeys(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        key_choice choice;
        double hotShare = 0;
        const auto addHot = [&](const json& entry, const std::string& entryPath) -> result<void> {
            BOOST_OUTCOME_TRY(hot, parseHotKey(entry, entryPath));
            hotShare += hot.share;
            choice.hot.push_back(std::move(hot));
            return outcome::success();
        };
        const auto addTurn = [&](const json& entry, const std::string& entryPath) -> result<void> {
            BOOST_OUTCOME_TRY(key, parseText(entry, entryPath));
            choice.cycle.push_back(std::move(key));
            return outcome::success();
        };
        reader.readArray("hot", addHot, isOptional);
        reader.readInteger("uniform", choice.uniform, { 1, INT64_MAX }, isOptional);
        reader.readArray("cycle", addTurn, isOptional);
        constexpr double rounding = 1e-9;
        if (hotShare > 1 + rounding)
            reader.reject("hot", "the shares add up to more than 1");
        if (hotShare < 1 - rounding && !choice.hot.empty() && choice.uniform == 0)
            reader.reject("hot", "the shares add up to less than 1 and there are no uniform keys");
        if (!choice.cycle.empty() && (!choice.hot.empty() || choice.uniform > 0))
            reader.reject("cycle", "cannot be combined with hot or uniform");
        if (choice.cycle.empty() && choice.hot.empty() && choice.uniform == 0)
            reader.reject("uniform", "missing, as are hot and cycle");
        BOOST_OUTCOME_TRYV(reader.finish());
        return choice;
    }

    result<rate_step> parseStep(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        rate_step step;
        reader.readMilliseconds("at_ms", step.at, milliseconds);
        reader.readNumber("per_s", step.perSecond, 0, mostPerSecond);
        BOOST_OUTCOME_TRYV(reader.finish());
        return step;
    }

    void readRate(json_reader& reader, std::vector<rate_step>& steps)
    {
        reader.readArray("rate", [&](const json& value, const std::string& path) -> result<void> {
            BOOST_OUTCOME_TRY(step, parseStep(value, path));
            if (!steps.empty() && step.at <= steps.back().at)
                return notRun(code, path + ".at_ms: not after the step before");
            steps.push_back(step);
            return outcome::success();
        });
        if (steps.empty())
            reader.reject("rate", "expected at least one step");
    }

    void readArrivals(json_reader& reader, arrival_kind& target)
    {
        std::string name = "poisson";
        reader.readString("arrivals", name, isOptional);
        if (name == "regular")
            target = arrival_kind::regular;
        else if (name != "poisson")
            reader.reject("arrivals", "expected poisson or regular");
    }

    void readMethod(json_reader& reader, request_kind& kind)
    {
        static const std::set<std::string> withBody { "POST", "PUT", "PATCH" };
        static const std::set<std::string> withoutBody { "GET", "DELETE" };
        reader.readString("method", kind.method, isOptional);
        reader.readInteger("body_bytes", kind.bodyBytes, { 0, 16 << 20 }, isOptional);
        if (!withBody.contains(kind.method) && !withoutBody.contains(kind.method))
            reader.reject("method", "expected GET, DELETE, POST, PUT or PATCH");
        if (kind.bodyBytes > 0 && withoutBody.contains(kind.method))
            reader.reject("body_bytes", "not possible with this method");
    }

    result<request_kind> parseKind(const json& value, const std::string& path)
    {
        json_reader reader(value, path, code);
        request_kind kind;
        reader.readString("name", kind.name);
        reader.readMembers(
            "labels", [&](const std::string& name, const json& text, const std::string& labelPath) -> result<void> {
                BOOST_OUTCOME_TRY(label, parseText(text, labelPath));
                kind.labels.emplace(name, std::move(label));
                return outcome::success();
            });
        readMethod(reader, kind);
        reader.readString("target", kind.target, isOptional);
        if (!kind.target.starts_with('/'))
            reader.reject("target", "expected a path");
        reader.readString("customer", kind.customer, isOptional);
        const auto takeKeys = [&](const json& keys, const std::string& keysPath) -> result<void> {
            BOOST_OUTCOME_TRY(choice, parseKeys(keys, keysPath));
            kind.keys = std::move(choice);
            return outcome::success();
        };
        reader.readValue("keys", takeKeys, isOptional);
        readArrivals(reader, kind.arrivals);
        readRate(reader, kind.rate);
        reader.readMilliseconds("service_ms", kind.serviceTime, milliseconds, isOptional);
        reader.readInteger("response_bytes", kind.responseBytes, { 0, std::int64_t(1) << 36 }, isOptional);
        reader.readInteger("rate_bytes_per_s", kind.bytesPerSecond, { 0, std::int64_t(1) << 36 }, isOptional);
        reader.readMilliseconds("timeout_ms", kind.timeout, { 1, milliseconds.most }, isOptional);
        reader.readBool("once", kind.isOnce, isOptional);
        BOOST_OUTCOME_TRYV(reader.finish());
        return kind;
    }

} // namespace

result<load_plan> parseLoadPlan(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, code));
    json_reader reader(document, "", code);
    load_plan plan;
    reader.readMilliseconds("length_ms", plan.length, { 1, milliseconds.most });
    std::set<std::string> names;
    reader.readArray("kinds", [&](const json& value, const std::string& path) -> result<void> {
        BOOST_OUTCOME_TRY(kind, parseKind(value, path));
        if (!names.insert(kind.name).second)
            return notRun(code, path + ".name: the name is used twice");
        plan.kinds.push_back(std::move(kind));
        return outcome::success();
    });
    if (plan.kinds.empty())
        reader.reject("kinds", "expected at least one kind");
    BOOST_OUTCOME_TRYV(reader.finish());
    return plan;
}

result<load_plan> loadPlanFile(const std::string& path)
{
    std::ifstream file(path);
    std::stringstream text;
    if (!file || !(text << file.rdbuf()))
        return notRun(code, path + ": cannot be read");
    return parseLoadPlan(text.str());
}

key_chooser::key_chooser(key_choice choice, std::uint64_t seed)
    : m_choice(std::move(choice))
    , m_random(seed)
{
}

std::string key_chooser::next()
{
    if (!m_choice.cycle.empty())
        return m_choice.cycle[m_turn++ % m_choice.cycle.size()];
    if (m_choice.hot.empty() && m_choice.uniform == 0)
        return "";
    double position = m_random.unit();
    for (const auto& hot : m_choice.hot) {
        if (position < hot.share)
            return hot.key;
        position -= hot.share;
    }
    if (m_choice.uniform == 0)
        return m_choice.hot.back().key;
    return "key-" + std::to_string(m_random.below(m_choice.uniform));
}

} // namespace heatherdrift
