#pragma once

#include "base/json_reader.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace heatherdrift {

/// Labels of a backend server or a request: name to value.
using label_set = std::map<std::string, std::string, std::less<>>;

/// One condition on a label. `in`: the label exists and has one of the values; `exists`; `absent`.
struct label_condition {
    enum class kind { in, not_in, exists, absent };

    std::string name;
    kind test = kind::exists;
    std::vector<std::string> values;

    bool operator==(const label_condition&) const = default;
};

/// All conditions must hold; an empty selector matches everything.
struct label_selector {
    std::vector<label_condition> conditions;

    bool matches(const label_set&) const;
    bool operator==(const label_selector&) const = default;
};

/// Label names: 1 to 63 of [a-z0-9._-], starting with a letter. Values: 0 to 255 printable ASCII bytes without commas
/// and equals signs, and without a space at either end.
result<void> checkLabel(std::string_view name, std::string_view value, const std::string& path, error_code);

/// Parses {"name": "value"}.
result<label_set> parseLabels(const json&, const std::string& path, error_code);
/// Parses {"name": "value", "other": ["a", "b"], "third": {"not_in": ["c"]}, "fourth": {"exists": true}}.
result<label_selector> parseLabelSelector(const json&, const std::string& path);
/// Parses the request header "name=value,name=value"; at most 16 labels. Fails with bad_request.
result<label_set> parseLabelHeader(std::string_view);

} // namespace heatherdrift
