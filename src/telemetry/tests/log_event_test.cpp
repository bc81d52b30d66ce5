#include "telemetry/internal/event_history.h"
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

    // Guards against a history that grows without bound, and against sequences that start again when it is full.
    TEST(LogEvents, HistoryKeepsTheNewestEvents)
    {
        event_history history(3);
        for (const char* value : { "a", "b", "c", "d", "e" })
            history.add(log_event::partition_moved, { { "partition", value } });
        const auto all = history.after(0);
        ASSERT_EQ(all.events.size(), 3u);
        EXPECT_EQ(all.last, 5u);
        EXPECT_EQ(all.events.front().sequence, 3u);
        EXPECT_EQ(all.events.front().fields.front().second, "c");
        EXPECT_EQ(history.after(4).events.size(), 1u);
        EXPECT_TRUE(history.after(5).events.empty());
    }

    // Guards against a flood of one event that pushes all others out of the history, and against events that a higher
    // log level hides from operators.
    TEST(LogEvents, HistoryHasTheSameLimitAsTheLog)
    {
        const auto before = recordedEvents(0).last;
        for (int i = 0; i < 5 * logBurst; ++i)
            logEvent(log_event::foreign_answer_dropped);
        const auto recorded = recordedEvents(before);
        ASSERT_GE(recorded.events.size(), std::size_t(logBurst));
        EXPECT_LT(recorded.events.size(), std::size_t(3 * logBurst));
    }

} // namespace
} // namespace heatherdrift
