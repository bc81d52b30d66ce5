#pragma once

#include "base/json_reader.h"

#include <fstream>
#include <map>
#include <set>
#include <string>

namespace heatherdrift {

/// Fields of a document: path ("pools[].name", of the first element) to value. Opaque paths are not entered.
inline std::map<std::string, json> fieldsOf(
    const json& value, const std::set<std::string>& opaque = {}, const std::string& path = "")
{
    std::map<std::string, json> fields;
    const bool isObject = value.is_object() && !opaque.contains(path);
    const bool isList = value.is_array() && !value.empty() && value.front().is_object();
    if (isList)
        return fieldsOf(value.front(), opaque, path + "[]");
    if (!isObject)
        return { { path, value } };
    for (const auto& [name, member] : value.items())
        fields.merge(fieldsOf(member, opaque, path.empty() ? name : path + "." + name));
    return fields;
}

/// Field to default as documented in the rows "| `field` | type | range | default | meaning |" of a page.
inline std::map<std::string, std::string> documentedDefaults(const std::string& page)
{
    std::map<std::string, std::string> defaults;
    std::ifstream file(page);
    for (std::string line; std::getline(file, line);) {
        std::vector<std::string> cells;
        for (std::size_t from = 2, to = 0; (to = line.find(" | ", from)) != std::string::npos; from = to + 3)
            cells.push_back(line.substr(from, to - from));
        if (cells.size() >= 4 && cells[0].starts_with('`'))
            defaults[cells[0].substr(1, cells[0].size() - 2)] = cells[3];
    }
    return defaults;
}

/// Field to default as implemented: "required" if the smallest document has the field, otherwise the value that the
/// parser fills in, or "none". `full` has every field, `filled` is the smallest document once parsed.
inline std::map<std::string, std::string> actualDefaults(const std::map<std::string, json>& smallest,
    const std::map<std::string, json>& filled, const std::map<std::string, json>& full)
{
    std::map<std::string, std::string> defaults;
    for (const auto& [path, value] : full) {
        const auto found = filled.find(path);
        defaults[path] = smallest.contains(path) ? "required"
            : found == filled.end()              ? "none"
                                                 : "`" + found->second.dump() + "`";
    }
    return defaults;
}

} // namespace heatherdrift
