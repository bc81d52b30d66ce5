#include "configuration/labels.h"

#include "configuration/configuration_limits.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    constexpr const char* headerName = "heatherdrift-labels";

    bool isLabelValue(std::string_view value)
    {
        constexpr std::size_t longest = 255;
        const auto isAllowed = [](char c) { return c >= ' ' && c <= '~' && c != ',' && c != '='; };
        const bool hasOuterSpace = !value.empty() && (value.front() == ' ' || value.back() == ' ');
        return value.size() <= longest && !hasOuterSpace && std::ranges::all_of(value, isAllowed);
    }

    // HTTP allows optional white space around the elements of a list (RFC 9110, section 5.6.1), and proxies that join
    // header lines add it.
    std::string_view trim(std::string_view text)
    {
        const auto first = text.find_first_not_of(" \t");
        if (first == std::string_view::npos)
            return {};
        return text.substr(first, text.find_last_not_of(" \t") - first + 1);
    }

    result<void> readHeaderElement(std::string_view element, const std::string& path, label_set& labels)
    {
        const auto separator = element.find('=');
        if (separator == std::string_view::npos)
            return notRun(error_code::bad_request, path + ": expected name=value");
        const auto name = element.substr(0, separator);
        const auto value = element.substr(separator + 1);
        BOOST_OUTCOME_TRY(checkLabel(name, value, path, error_code::bad_request));
        if (!labels.emplace(name, value).second)
            return notRun(error_code::bad_request, path + ": the label is given twice");
        return outcome::success();
    }

} // namespace

result<void> checkLabel(std::string_view name, std::string_view value, const std::string& path, error_code code)
{
    if (!isName(name))
        return notRun(code, path + ": label name: " + nameRule);
    if (!isLabelValue(value)) {
        return notRun(code,
            path
                + ": label value: expected at most 255 printable ASCII bytes without comma, equals sign or outer "
                  "space");
    }
    return outcome::success();
}

result<label_set> parseLabels(const json& value, const std::string& path, error_code code)
{
    if (!value.is_object())
        return notRun(code, path + ": expected an object");
    if (value.size() > maximumInstanceLabels)
        return notRun(code, path + ": more than " + std::to_string(maximumInstanceLabels) + " labels");
    label_set labels;
    for (const auto& [name, labelValue] : value.items()) {
        const auto labelPath = path + "." + name;
        if (!labelValue.is_string())
            return notRun(code, labelPath + ": expected a string");
        const auto& text = labelValue.get_ref<const std::string&>();
        BOOST_OUTCOME_TRY(checkLabel(name, text, labelPath, code));
        labels.emplace(name, text);
    }
    return labels;
}

result<label_set> parseLabelHeader(std::string_view header)
{
    label_set labels;
    if (trim(header).empty())
        return labels;
    for (std::size_t index = 0;; ++index) {
        if (index == maximumRequestLabels) {
            return notRun(error_code::bad_request,
                std::string(headerName) + ": more than " + std::to_string(maximumRequestLabels) + " labels");
        }
        const auto comma = header.find(',');
        // The path has the position, not the text, so that no bytes of the caller end up in logs and answers.
        const auto path = std::string(headerName) + "[" + std::to_string(index) + "]";
        BOOST_OUTCOME_TRY(readHeaderElement(trim(header.substr(0, comma)), path, labels));
        if (comma == std::string_view::npos)
            return labels;
        header.remove_prefix(comma + 1);
    }
}

} // namespace heatherdrift
