#include "base/json_reader.h"

#include <boost/locale/utf.hpp>

namespace heatherdrift {

namespace {

    /// Parser callback that finds a field given twice in one object. The parser would keep the last one silently, so
    /// that an operator's change could be lost without an error.
    class duplicate_finder {
    public:
        bool operator()(int, json::parse_event_t event, const json& parsed)
        {
            if (event == json::parse_event_t::object_start)
                m_open.emplace_back();
            else if (event == json::parse_event_t::object_end)
                m_open.pop_back();
            else if (event == json::parse_event_t::key && !m_name && !m_open.back().insert(parsed).second)
                m_name = parsed.get<std::string>();
            return true;
        }

        const std::optional<std::string>& name() const { return m_name; }

    private:
        std::vector<std::set<std::string>> m_open;
        std::optional<std::string> m_name;
    };

} // namespace

json_reader::json_reader(const json& value, std::string path, error_code code)
    : m_value(value)
    , m_path(std::move(path))
    , m_code(code)
{
    if (!m_value.is_object())
        fail((m_path.empty() ? "document" : m_path) + ": expected an object");
}

void json_reader::readString(const char* name, std::string& target, presence when)
{
    const auto* field = find(name, when);
    if (!field)
        return;
    if (!field->is_string())
        return reject(name, "expected a string");
    target = field->get<std::string>();
}

void json_reader::readBool(const char* name, bool& target, presence when)
{
    const auto* field = find(name, when);
    if (!field)
        return;
    if (!field->is_boolean())
        return reject(name, "expected true or false");
    target = field->get<bool>();
}

bool json_reader::readIntegerValue(const char* name, std::int64_t& value, integer_range range, presence when)
{
    const auto* field = find(name, when);
    if (!field)
        return false;
    if (!field->is_number_integer()) {
        reject(name, "expected an integer");
        return false;
    }
    const bool isTooLarge
        = field->is_number_unsigned() && field->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX);
    value = isTooLarge ? 0 : field->get<std::int64_t>();
    if (isTooLarge || value < range.least || value > range.most) {
        reject(name, "expected an integer from " + std::to_string(range.least) + " to " + std::to_string(range.most));
        return false;
    }
    return true;
}

void json_reader::readNumber(const char* name, double& target, double least, double most, presence when)
{
    const auto* field = find(name, when);
    if (!field)
        return;
    if (!field->is_number())
        return reject(name, "expected a number");
    const auto value = field->get<double>();
    if (!(value >= least && value <= most))
        return reject(name, "expected a number from " + std::to_string(least) + " to " + std::to_string(most));
    target = value;
}

void json_reader::readMilliseconds(const char* name, duration& target, integer_range range, presence when)
{
    std::int64_t value = 0;
    if (readIntegerValue(name, value, range, when))
        target = std::chrono::milliseconds(value);
}

void json_reader::readEndpoint(const char* name, endpoint& target, presence when)
{
    std::string text;
    if (!find(name, when))
        return;
    readString(name, text, when);
    const auto value = parseEndpoint(text);
    if (!value)
        return reject(name, "expected an IP address and port such as 127.0.0.1:8080");
    target = *value;
}

void json_reader::readValue(
    const char* name, const std::function<result<void>(const json&, const std::string& path)>& read, presence when)
{
    const auto* field = find(name, when);
    if (!field || m_failure)
        return;
    if (const auto outcome = read(*field, pathOf(name)); outcome.has_error())
        m_failure = outcome.error();
}

void json_reader::readArray(
    const char* name, const std::function<result<void>(const json&, const std::string& path)>& read, presence when)
{
    const auto* field = find(name, when);
    if (!field)
        return;
    if (!field->is_array())
        return reject(name, "expected an array");
    for (std::size_t i = 0; i < field->size() && !m_failure; ++i) {
        if (const auto outcome = read((*field)[i], pathOf(name) + "[" + std::to_string(i) + "]"); outcome.has_error())
            m_failure = outcome.error();
    }
}

void json_reader::readMembers(const char* name,
    const std::function<result<void>(const std::string& key, const json&, const std::string& path)>& read,
    presence when)
{
    const auto* field = find(name, when);
    if (!field)
        return;
    if (!field->is_object())
        return reject(name, "expected an object");
    for (const auto& [key, value] : field->items()) {
        if (m_failure)
            return;
        if (const auto outcome = read(key, value, pathOf(name) + "." + key); outcome.has_error())
            m_failure = outcome.error();
    }
}

void json_reader::reject(const char* name, std::string_view reason) { fail(pathOf(name) + ": " + std::string(reason)); }

result<void> json_reader::finish()
{
    if (!m_failure) {
        for (const auto& [key, value] : m_value.items()) {
            if (!m_known.contains(key)) {
                fail(pathOf(key) + ": unknown field");
                break;
            }
        }
    }
    if (m_failure)
        return *m_failure;
    return outcome::success();
}

const json* json_reader::find(const char* name, presence when)
{
    m_known.insert(name);
    if (m_failure)
        return nullptr;
    const auto found = m_value.find(name);
    if (found != m_value.end())
        return &*found;
    if (when == presence::required)
        reject(name, "missing");
    return nullptr;
}

std::string json_reader::pathOf(std::string_view name) const
{
    return m_path.empty() ? std::string(name) : m_path + "." + std::string(name);
}

void json_reader::fail(std::string message)
{
    if (!m_failure)
        m_failure = notRun(m_code, std::move(message));
}

bool isUtf8(std::string_view text)
{
    const auto* at = text.data();
    const auto* end = at + text.size();
    while (at != end) {
        if (!boost::locale::utf::is_valid_codepoint(boost::locale::utf::utf_traits<char>::decode(at, end)))
            return false;
    }
    return true;
}

result<json> parseJson(std::string_view text, error_code code)
{
    duplicate_finder duplicates;
    try {
        auto document = json::parse(text, std::ref(duplicates));
        if (duplicates.name())
            return notRun(code, "field \"" + *duplicates.name() + "\" is given twice in one object");
        return document;
    } catch (const json::parse_error& error) {
        return notRun(code, "not valid JSON at byte " + std::to_string(error.byte));
    } catch (const json::exception&) {
        // A number beyond the range of a double is reported as another exception, which has no byte offset.
        return notRun(code, "not valid JSON: a number is out of range");
    }
}

} // namespace heatherdrift
