#include "telemetry/log_event.h"

#include <fstream>
#include <gtest/gtest.h>
#include <set>
#include <sstream>

namespace heatherdrift {
namespace {

    std::string catalogueRow(const log_event_definition& definition)
    {
        constexpr const char* levels[] = { "info", "warning", "error" };
        std::ostringstream row;
        row << "| E" << static_cast<int>(definition.event) << " | " << definition.name << " | "
            << levels[static_cast<int>(definition.level)] << " | " << definition.meaning << " |";
        return row.str();
    }

    // Guards against events that operators cannot look up: docs/events.md must list exactly the catalogue.
    TEST(LogEvents, DocumentationMatchesTheCatalogue)
    {
        std::ifstream file(HEATHERDRIFT_SOURCE_DIR "/docs/events.md");
        ASSERT_TRUE(file);
        std::vector<std::string> documented;
        for (std::string line; std::getline(file, line);) {
            if (line.starts_with("| E"))
                documented.push_back(line);
        }
        std::vector<std::string> expected;
        for (const auto& definition : logEventCatalogue())
            expected.push_back(catalogueRow(definition));
        EXPECT_EQ(documented, expected);
    }

    TEST(LogEvents, NumbersAndNamesAreUnique)
    {
        std::set<int> numbers;
        std::set<std::string_view> names;
        for (const auto& definition : logEventCatalogue()) {
            EXPECT_TRUE(numbers.insert(static_cast<int>(definition.event)).second);
            EXPECT_TRUE(names.insert(definition.name).second);
        }
    }

} // namespace
} // namespace heatherdrift
