#pragma once

#include <algorithm>
#include <array>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace heatherdrift {

/// Names of the values of an enumeration in text forms.
template <typename Enum, std::size_t size> using name_table = std::array<std::pair<Enum, std::string_view>, size>;

template <typename Enum, std::size_t size> std::string_view nameOf(const name_table<Enum, size>& table, Enum value)
{
    const auto found = std::ranges::find(table, value, &std::pair<Enum, std::string_view>::first);
    return found == table.end() ? "unknown" : found->second;
}

template <typename Enum, std::size_t size>
std::optional<Enum> valueOf(const name_table<Enum, size>& table, std::string_view name)
{
    const auto found = std::ranges::find(table, name, &std::pair<Enum, std::string_view>::second);
    if (found == table.end())
        return std::nullopt;
    return found->first;
}

/// All names, separated by ", ".
template <typename Enum, std::size_t size> std::string listNames(const name_table<Enum, size>& table)
{
    std::string names;
    for (const auto& [value, name] : table)
        names.append(names.empty() ? "" : ", ").append(name);
    return names;
}

} // namespace heatherdrift
