#include "ctl/internal/command.h"

#include <algorithm>

namespace heatherdrift {

exit_code command_context::fail(const failure& reason) const
{
    if (isJson) {
        print({ { "verdict", toString(reason.outcome) }, { "error", toString(reason.code) },
            { "message", reason.message } });
    }
    streams.err << "heatherdriftctl: " << toString(reason.code) << ": " << reason.message << "\n";
    if (reason.outcome == verdict::not_run)
        return exit_code::failed;
    streams.err << "heatherdriftctl: the outcome is unknown: it may have taken effect or may still do so\n";
    return exit_code::unknown;
}

exit_code command_context::rejectUsage(std::string_view message) const
{
    streams.err << "heatherdriftctl: " << message << "\n";
    return exit_code::usage;
}

void command_context::print(const json& document) const
{
    streams.out << document.dump(2, ' ', false, json::error_handler_t::replace) << std::endl;
}

void printTable(std::ostream& out, std::vector<std::vector<std::string>> rows)
{
    std::vector<std::size_t> widths(rows.front().size());
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i)
            widths[i] = std::max(widths[i], row[i].size());
    }
    for (const auto& row : rows) {
        std::string line;
        for (std::size_t i = 0; i < row.size(); ++i)
            line += row[i] + std::string(widths[i] - row[i].size() + 2, ' ');
        line.erase(line.find_last_not_of(' ') + 1);
        out << line << "\n";
    }
}

std::string textOf(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end() || found->is_null())
        return "";
    return found->is_string() ? found->get<std::string>() : found->dump();
}

std::optional<std::int64_t> numberOf(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_number_integer())
        return std::nullopt;
    return found->get<std::int64_t>();
}

std::map<std::string, std::string> textsOf(const json& object, const char* field)
{
    std::map<std::string, std::string> texts;
    const auto found = object.find(field);
    if (found == object.end() || !found->is_object())
        return texts;
    for (const auto& [name, value] : found->items())
        texts.emplace(name, textOf(*found, name.c_str()));
    return texts;
}

std::vector<json> listOf(const json& object, const char* field)
{
    const auto found = object.find(field);
    if (found == object.end() || !found->is_array())
        return {};
    return found->get<std::vector<json>>();
}

} // namespace heatherdrift
