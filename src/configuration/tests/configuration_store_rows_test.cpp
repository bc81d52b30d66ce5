#include "configuration/configuration_store_rows.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    /// Rows with compare-and-set, without delays or faults.
    class fake_row_store {
    public:
        std::optional<stored_row> read(const row_key& key) const
        {
            const auto found = m_rows.find(key);
            return found == m_rows.end() ? std::nullopt : std::optional(found->second);
        }

        result<void> commit(const store_transaction& transaction)
        {
            for (const auto& write : transaction.writes) {
                const auto row = read(write.key);
                if ((row ? row->version : 0) != write.expected)
                    return notRun(error_code::conflict, write.key.key);
            }
            for (const auto& write : transaction.writes)
                m_rows[write.key] = { write.key, ++m_lastVersion, write.value };
            return outcome::success();
        }

    private:
        std::map<row_key, stored_row> m_rows;
        row_version m_lastVersion = 0;
    };

    configuration withVersion(std::int64_t version)
    {
        configuration value;
        value.version = version;
        value.pools = { { "records", {} } };
        return value;
    }

    /// What happens to the first commit of a change.
    enum class fate {
        answered,
        answer_lost, ///< It takes effect; the operator's node does not learn it.
        dropped, ///< It is lost before it takes effect.
        delayed, ///< It arrives after everything else, or in the property at any later time.
    };

    /// A change on its way through an operator's node.
    struct change {
        store_transaction transaction;
        std::int64_t version = 0;
        std::optional<apply_outcome> outcome;
    };

    std::int64_t currentVersion(const fake_row_store& store)
    {
        const auto row = store.read(currentConfigurationKey());
        return row ? parseConfigurationRow(row->value).value().value.version : 0;
    }

    change prepare(const fake_row_store& store, const std::string& operationId)
    {
        const auto next = currentVersion(store) + 1;
        const auto current = store.read(currentConfigurationKey());
        return { makeApplyTransaction(current, withVersion(next), operationId).value(), next, {} };
    }

    void submit(fake_row_store& store, change& entry, fate how, std::vector<store_transaction>& delayed)
    {
        if (how == fate::delayed)
            delayed.push_back(entry.transaction);
        else if (how != fate::dropped && store.commit(entry.transaction).has_value() && how == fate::answered)
            entry.outcome = apply_outcome::applied;
    }

    /// Reads back; commits again if the outcome is open.
    void settle(fake_row_store& store, change& entry)
    {
        const auto key = configurationVersionKey(entry.version);
        const auto& operationId = entry.transaction.operationId;
        if (!entry.outcome && resolveApply(store.read(key), operationId).value() == apply_outcome::unknown)
            (void)store.commit(entry.transaction);
        if (!entry.outcome)
            entry.outcome = resolveApply(store.read(key), operationId).value();
    }

    // Guards against two winners, no winner, or a late copy of a commit that reverts an accepted version.
    TEST(ConfigurationRows, OneOfTwoRacingOperatorsWins)
    {
        // By the fate of the first operator's commit (row) and the second's (column).
        constexpr bool firstWins[4][4] = {
            { true, true, true, true }, // answered
            { true, true, true, true }, // answer lost
            { false, false, true, true }, // dropped
            { false, false, true, true }, // delayed
        };
        for (int race = 0; race < 16; ++race) {
            SCOPED_TRACE(race);
            const bool isFirst = firstWins[race / 4][race % 4];
            fake_row_store store;
            ASSERT_TRUE(store.commit(prepare(store, "op-0").transaction).has_value());
            auto first = prepare(store, "op-1");
            auto second = prepare(store, "op-2");
            std::vector<store_transaction> delayed;
            submit(store, first, static_cast<fate>(race / 4), delayed);
            submit(store, second, static_cast<fate>(race % 4), delayed);
            settle(store, first);
            settle(store, second);
            for (const auto& transaction : delayed)
                EXPECT_TRUE(store.commit(transaction).has_error());
            EXPECT_EQ(first.outcome, isFirst ? apply_outcome::applied : apply_outcome::not_applied);
            EXPECT_EQ(second.outcome, isFirst ? apply_outcome::not_applied : apply_outcome::applied);
            const auto current = store.read(currentConfigurationKey());
            EXPECT_EQ(current->value, store.read(configurationVersionKey(2))->value);
            EXPECT_EQ(parseConfigurationRow(current->value).value(),
                (configuration_row { withVersion(2), isFirst ? "op-1" : "op-2" }));
            const auto late = makeApplyTransaction(current, withVersion(2), "op-3");
            ASSERT_TRUE(late.has_error());
            EXPECT_EQ(late.error(),
                notRun(
                    error_code::conflict, "the change does not follow the current configuration; look at version 2"));
        }
    }

    // Guards against a version that shrinks, changes after it was accepted, or is reported to the wrong operator.
    RC_GTEST_PROP(ConfigurationRows, AcceptedVersionsNeverRevert, ())
    {
        fake_row_store store;
        std::vector<change> changes;
        std::vector<store_transaction> delayed;
        std::map<std::int64_t, std::string> accepted;
        for (int step = 0; step < 60; ++step) {
            const auto action = *rc::gen::inRange(0, 4);
            if (action == 0 || changes.empty())
                changes.push_back(prepare(store, "op-" + std::to_string(changes.size())));
            auto& chosen = changes[*rc::gen::inRange<std::size_t>(0, changes.size())];
            if (action == 1)
                submit(store, chosen, static_cast<fate>(*rc::gen::inRange(0, 4)), delayed);
            else if (action == 2)
                settle(store, chosen);
            else if (action == 3 && !delayed.empty())
                (void)store.commit(delayed[*rc::gen::inRange<std::size_t>(0, delayed.size())]);
            const auto version = currentVersion(store);
            RC_ASSERT(version == static_cast<std::int64_t>(accepted.size())
                || version == static_cast<std::int64_t>(accepted.size()) + 1);
            if (version > 0) {
                const auto text = store.read(currentConfigurationKey())->value;
                RC_ASSERT(accepted.emplace(version, text).first->second == text);
            }
            for (const auto& [number, text] : accepted)
                RC_ASSERT(store.read(configurationVersionKey(number))->value == text);
        }
        for (auto& entry : changes) {
            settle(store, entry);
            const auto row = parseConfigurationRow(store.read(configurationVersionKey(entry.version))->value).value();
            RC_ASSERT((entry.outcome == apply_outcome::applied) == (row.operationId == entry.transaction.operationId));
        }
    }

    // Guards against a key in two partitions while some nodes still count them the old way.
    TEST(ConfigurationRows, PartitionsOfAPoolCannotChange)
    {
        const stored_row current { currentConfigurationKey(), 7, toJsonText({ withVersion(1), "op" }) };
        auto next = withVersion(2);
        next.pools[0].partitions = 128;
        const auto transaction = makeApplyTransaction(current, next, "op-2");
        ASSERT_TRUE(transaction.has_error());
        EXPECT_EQ(transaction.error(),
            notRun(error_code::invalid_configuration,
                "pools[0].partitions: cannot change from 64; add a pool with another name instead"));
    }

    // Guards against a stored configuration that every node rejects, and against one that cannot be replaced.
    TEST(ConfigurationRows, OnlyValidConfigurationsReplaceAnyReadableRow)
    {
        const stored_row odd { currentConfigurationKey(), 7,
            R"({"version":4,"operation_id":"op","configuration":{"of_another_release":true}})" };
        EXPECT_EQ(
            parseConfigurationRow(odd.value).error(), notRun(error_code::internal, "configuration.pools: missing"));
        EXPECT_EQ(makeApplyTransaction(odd, withVersion(5), "op-2").value().writes[0].expected, 7);
        auto invalid = withVersion(5);
        invalid.pools.push_back(invalid.pools[0]);
        EXPECT_EQ(makeApplyTransaction(odd, invalid, "op-2").error().code, error_code::invalid_configuration);
        EXPECT_EQ(makeApplyTransaction({}, withVersion(2), "op-2").error().message,
            "there is no configuration yet; the first has version 1");
        const stored_row broken { configurationVersionKey(1), 7, "{}" };
        EXPECT_EQ(makeApplyTransaction(broken, withVersion(1), "op").error(),
            notRun(error_code::internal, "row configuration/v1 cannot be read: version: missing"));
        EXPECT_EQ(resolveApply(broken, "op").error().outcome, verdict::may_have_run);
    }

} // namespace
} // namespace heatherdrift
