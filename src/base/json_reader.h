#pragma once

#include "base/clock.h"
#include "base/enum_names.h"
#include "base/failure.h"
#include "base/identifiers.h"

#include <cstdint>
#include <functional>
#include <nlohmann/json.hpp>
#include <set>
#include <string>
#include <vector>

namespace heatherdrift {

using json = nlohmann::json;

/// Bounds of an integer field, both inclusive.
struct integer_range {
    std::int64_t least = 0;
    std::int64_t most = INT64_MAX;
};

/// Reads the fields of one JSON object and remembers the first error with the field's path ("a.b[2].c").
/// A field that was not asked for is an error at finish(). Absent optional fields leave the target as it is.
class json_reader {
public:
    enum class presence { required, optional };

    json_reader(const json& value, std::string path, error_code);

    void readString(const char* name, std::string& target, presence = presence::required);
    /// A string that may become the value of an HTTP header.
    void readHeaderText(const char* name, std::string& target, presence = presence::required);
    void readBool(const char* name, bool& target, presence = presence::required);
    template <typename Integer>
    void readInteger(const char* name, Integer& target, integer_range range, presence when = presence::required)
    {
        std::int64_t value = 0;
        if (readIntegerValue(name, value, range, when))
            target = static_cast<Integer>(value);
    }
    /// One of the names in the table.
    template <typename Enum, std::size_t size>
    void readEnum(
        const char* name, Enum& target, const name_table<Enum, size>& names, presence when = presence::required)
    {
        std::string text(nameOf(names, target));
        readString(name, text, when);
        const auto value = valueOf(names, text);
        if (!value)
            return reject(name, "expected one of " + listNames(names));
        target = *value;
    }
    void readNumber(const char* name, double& target, double least, double most, presence = presence::required);
    /// A count of milliseconds.
    void readMilliseconds(const char* name, duration& target, integer_range range, presence = presence::required);
    void readEndpoint(const char* name, endpoint& target, presence = presence::required);
    /// Calls the function with the value and its path; the function returns its own failure, if any.
    void readValue(const char* name, const std::function<result<void>(const json&, const std::string& path)>&,
        presence = presence::required);
    /// Calls the function for each element of an array.
    void readArray(const char* name, const std::function<result<void>(const json&, const std::string& path)>&,
        presence = presence::required);
    /// Calls the function for each member of an object.
    void readMembers(const char* name,
        const std::function<result<void>(const std::string& key, const json&, const std::string& path)>&,
        presence = presence::required);

    /// Records an error of the field unless there is one already.
    void reject(const char* name, std::string_view reason);

    /// The first error, or one for an unknown field, or success.
    result<void> finish();

private:
    const json* find(const char* name, presence);
    bool readIntegerValue(const char* name, std::int64_t& value, integer_range, presence);
    std::string pathOf(std::string_view name) const;
    void fail(std::string message);

    const json& m_value;
    std::string m_path;
    error_code m_code;
    std::set<std::string, std::less<>> m_known;
    std::optional<failure> m_failure;
};

/// Whether the text has no control characters, so that it may become the value of an HTTP header.
bool isHeaderText(std::string_view text);

/// Whether the text may become a JSON string; writing any other throws.
bool isUtf8(std::string_view text);

/// Parses JSON text of at most 64 levels; the failure names the byte offset or a field that one object has twice.
result<json> parseJson(std::string_view text, error_code);

/// Called with an element of an array; returns its own failure, if any.
using json_element_function = std::function<result<void>(const json&)>;

/// Passes the elements of the array in one field of the document to the function and leaves them out of the result,
/// which takes less memory and time than keeping them. Stops at the first failure of the function.
result<json> parseJson(
    std::string_view text, error_code, const char* arrayName, const json_element_function& onElement);

} // namespace heatherdrift
