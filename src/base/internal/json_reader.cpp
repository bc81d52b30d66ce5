#include "base/json_reader.h"

#include <algorithm>
#include <boost/locale/utf.hpp>

namespace heatherdrift {

namespace {

    /// The library copies, compares and writes documents by recursion over their levels.
    constexpr std::size_t maxNesting = 64;

    /// Builds a document and finds fields given twice in one object; json::parse() would keep the last one silently, so
    /// that an operator's change could be lost without an error. Its callbacks would find them too, but it then visits
    /// all elements of an array after each object in it.
    class document_builder : public json::json_sax_t {
    public:
        document_builder() = default;
        /// Passes the elements of the array in this field of the document to the function and removes them.
        document_builder(const char* arrayName, const json_element_function& onElement)
            : m_arrayName(arrayName)
            , m_onElement(&onElement)
        {
        }

        bool null() override { return add(nullptr); }
        bool boolean(bool value) override { return add(value); }
        bool number_integer(json::number_integer_t value) override { return add(value); }
        bool number_unsigned(json::number_unsigned_t value) override { return add(value); }
        bool number_float(json::number_float_t value, const json::string_t&) override { return add(value); }
        bool string(json::string_t& value) override { return add(std::move(value)); }
        bool binary(json::binary_t&) override { return false; } // JSON text has no such values.
        bool start_object(std::size_t) override { return open(json::value_t::object); }
        bool start_array(std::size_t) override { return open(json::value_t::array); }
        bool end_object() override { return close(); }
        bool end_array() override { return close(); }

        bool key(json::string_t& name) override
        {
            auto& fields = m_open.back()->get_ref<json::object_t&>();
            const auto [field, isNew] = fields.try_emplace(std::move(name));
            m_field = &field->second;
            if (!isNew)
                m_error = "field \"" + field->first + "\" is given twice in one object";
            return isNew;
        }

        bool parse_error(std::size_t position, const std::string&, const json::exception& error) override
        {
            // A number beyond the range of a double is no syntax error.
            constexpr int numberOutOfRange = 406;
            m_error = error.id == numberOutOfRange ? "not valid JSON: a number is out of range"
                                                   : "not valid JSON at byte " + std::to_string(position);
            return false;
        }

        json& document() { return m_document; }
        failure error(error_code code) const { return m_failure.value_or(notRun(code, m_error)); }

    private:
        json* place(json&& value)
        {
            if (m_open.empty())
                return &(m_document = std::move(value));
            if (m_open.back()->is_array())
                return &m_open.back()->get_ref<json::array_t&>().emplace_back(std::move(value));
            return &(*m_field = std::move(value));
        }

        bool add(json&& value)
        {
            place(std::move(value));
            return passElement();
        }

        bool open(json::value_t type)
        {
            if (m_open.size() == maxNesting) {
                m_error = "objects and arrays are nested more than " + std::to_string(maxNesting) + " levels deep";
                return false;
            }
            m_open.push_back(place(json(type)));
            return true;
        }

        bool close()
        {
            m_open.pop_back();
            return passElement();
        }

        /// Called after each value.
        bool passElement()
        {
            constexpr std::size_t arrayLevel = 2; // The array is a field of the document.
            if (!m_onElement || m_open.size() != arrayLevel || !m_open.back()->is_array() || !isPassed(*m_open.back()))
                return true;
            auto& elements = m_open.back()->get_ref<json::array_t&>();
            const auto outcome = (*m_onElement)(elements.back());
            elements.clear();
            if (outcome.has_error())
                m_failure = outcome.error();
            return !m_failure;
        }

        bool isPassed(const json& array) const
        {
            const auto field = m_document.find(m_arrayName);
            return field != m_document.end() && &*field == &array;
        }

        json m_document;
        std::vector<json*> m_open; ///< Objects and arrays around the next value; only the innermost one still grows.
        json* m_field = nullptr; ///< Value of the last name in the innermost object.
        const char* m_arrayName = "";
        const json_element_function* m_onElement = nullptr;
        std::string m_error;
        std::optional<failure> m_failure; ///< From the function.
    };

    result<json> build(std::string_view text, error_code code, document_builder builder)
    {
        if (!json::sax_parse(text, &builder))
            return builder.error(code);
        return std::move(builder.document());
    }

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

void json_reader::readHeaderText(const char* name, std::string& target, presence when)
{
    std::string text = target;
    readString(name, text, when);
    if (!isHeaderText(text))
        return reject(name, "expected a string without control characters");
    target = std::move(text);
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

bool isHeaderText(std::string_view text)
{
    constexpr unsigned char firstPrintable = 0x20;
    constexpr unsigned char deleteCharacter = 0x7f;
    return std::ranges::all_of(text, [](unsigned char c) { return c >= firstPrintable && c != deleteCharacter; });
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

result<json> parseJson(std::string_view text, error_code code) { return build(text, code, {}); }

result<json> parseJson(
    std::string_view text, error_code code, const char* arrayName, const json_element_function& onElement)
{
    return build(text, code, { arrayName, onElement });
}

} // namespace heatherdrift
