#include "mesh/internal/table_copy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    row_change row(const std::string& key, row_version version, std::optional<std::string> value = "v")
    {
        return { { "t", key }, version, std::move(value) };
    }

    // Guards against a removal that is not passed on to other nodes.
    TEST(TableCopyTest, RemovedRowsArePassedOn)
    {
        table_copy copy;
        copy.replace({ { row("a", 1), row("b", 2) }, 3 });
        copy.merge({ { row("b", 9, std::nullopt), row("removals", 9) }, 9 });
        const auto update = copy.updateAfter(2);
        EXPECT_FALSE(update.isWhole);
        EXPECT_EQ(update.rows.rows, (std::vector<row_change> { row("b", 9, std::nullopt), row("removals", 9) }));
    }

    // Guards against repeated requests for changes when only other tables of the store change.
    TEST(TableCopyTest, ChangesOfOtherTablesAreNotReported)
    {
        table_copy copy;
        copy.replace({ { row("a", 1) }, 3 });
        copy.merge({ {}, 50 });
        EXPECT_EQ(copy.version(), 50);
        EXPECT_EQ(copy.newestChange(), 1);
    }

    // Guards against a removed row that is restored by a node with an earlier copy of the table.
    TEST(TableCopyTest, NodeThatNeverSawARowRemovesItFromOthers)
    {
        table_copy reader;
        reader.replace({ { row("a", 1), row("removals", 5) }, 6 });
        table_copy behind;
        behind.replace({ { row("a", 1), row("b", 4) }, 4 });
        EXPECT_TRUE(reader.applyUpdate(behind.updateAfter(reader.newestChange())).empty());
        const auto update = reader.updateAfter(behind.newestChange());
        EXPECT_TRUE(update.isWhole);
        EXPECT_EQ(
            behind.applyUpdate(update), (std::vector<row_change> { row("removals", 5), row("b", 5, std::nullopt) }));
    }

    // Guards against a row that stays in the copy for good because its removal changed no other row and the changes of
    // that time were missed, as rows of the operator are removed.
    TEST(TableCopyTest, RemovalWithoutAnotherChangeIsFoundByARead)
    {
        table_copy copy;
        copy.replace({ { row("a", 1) }, 3 });
        copy.merge({ { row("b", 5) }, 5 });
        EXPECT_EQ(copy.replace({ { row("a", 1) }, 9 }), (std::vector<row_change> { row("b", 9, std::nullopt) }));
        table_copy behind;
        behind.replace({ { row("a", 1), row("b", 5) }, 6 });
        EXPECT_EQ(behind.applyUpdate(copy.updateAfter(behind.newestChange())).size(), 1u);
        EXPECT_EQ(behind.newestChange(), copy.newestChange());
    }

    // Guards against a row that a node takes back from another one that has missed its removal, and against requests
    // without end between the two.
    TEST(TableCopyTest, RemovalWithoutAnotherChangeIsNotUndoneByNodesBehind)
    {
        table_copy behind;
        behind.replace({ { row("a", 1) }, 3 });
        behind.merge({ { row("b", 5) }, 5 });
        table_copy reader;
        reader.replace({ { row("a", 1) }, 9 });
        EXPECT_TRUE(reader.applyUpdate(behind.updateAfter(reader.newestChange())).empty());
        const auto update = reader.updateAfter(behind.newestChange());
        EXPECT_TRUE(update.isWhole);
        EXPECT_EQ(behind.applyUpdate(update), (std::vector<row_change> { row("b", 9, std::nullopt) }));
        EXPECT_EQ(behind.newestChange(), reader.newestChange());
        table_copy later;
        later.replace({ { row("a", 1) }, 4 });
        later.applyUpdate(reader.updateAfter(later.newestChange()));
        EXPECT_EQ(later.newestChange(), reader.newestChange());
    }

    // Guards against rows that stay in the copy after the store has lost them, against content that stays because the
    // store's older one bears a lower number, and against an empty table that looks like the one before the restore.
    TEST(TableCopyTest, RestoredTableReplacesTheCopy)
    {
        table_copy copy;
        copy.replace({ { row("a", makeVersion(1, 8), "new"), row("b", makeVersion(1, 9)) }, makeVersion(1, 9) });
        EXPECT_EQ(copy.replace({ { row("a", makeVersion(2, 3), "old") }, makeVersion(2, 4) }),
            (std::vector<row_change> {
                row("a", makeVersion(2, 3), "old"), row("b", makeVersion(2, 3), std::nullopt) }));
        EXPECT_EQ(copy.replace({ {}, makeVersion(3, 1) }),
            (std::vector<row_change> { row("a", makeVersion(3, 0), std::nullopt) }));
        EXPECT_EQ(copy.version(), makeVersion(3, 1));
        EXPECT_EQ(copy.newestChange(), makeVersion(3, 0));
    }

    // Guards against a node that was stopped, frozen or cut off while the store was restored: it must not pass on its
    // rows, and has to get the restored ones, even if there are none.
    TEST(TableCopyTest, NodeThatMissedARestoreGetsTheRestoredTable)
    {
        table_copy behind;
        behind.replace({ { row("a", makeVersion(1, 8)), row("b", makeVersion(1, 9)) }, makeVersion(1, 9) });
        table_copy reader;
        reader.replace({ {}, makeVersion(2, 5) });
        EXPECT_TRUE(reader.applyUpdate(behind.updateAfter(reader.newestChange())).empty());
        EXPECT_TRUE(reader.applyUpdate(behind.updateAfter(0)).empty());
        const auto update = reader.updateAfter(behind.newestChange());
        EXPECT_TRUE(update.isWhole);
        EXPECT_EQ(behind.applyUpdate(update).size(), 2u);
        EXPECT_EQ(behind.newestChange(), reader.newestChange());
    }

    // Guards against single changes of a restored table that are added to the rows of before.
    TEST(TableCopyTest, ChangesOfALaterEraDoNotExtendTheCopy)
    {
        table_copy copy;
        copy.replace({ { row("a", makeVersion(1, 8)) }, makeVersion(1, 9) });
        EXPECT_TRUE(copy.applyUpdate({ { { row("b", makeVersion(2, 3)) }, makeVersion(2, 3) }, false }).empty());
        EXPECT_EQ(copy.newestChange(), makeVersion(1, 8));
    }

    /// The table in the store, with the row that each removal changes.
    struct table_model {
        std::map<row_key, row_change> rows;
        row_version version = 0;
        std::vector<std::map<row_key, row_change>> earlier; ///< Rows after each number of this era.

        /// Goes back by some numbers, which are given out again.
        void restore(std::size_t numbers)
        {
            const auto kept = earlier.size() - std::min(earlier.size(), numbers);
            if (kept < earlier.size())
                rows = earlier[kept];
            earlier.resize(kept);
            const auto era = eraOf(version) + 1;
            const auto number = numberOf(version) - std::min<row_version>(numberOf(version), numbers);
            for (auto& before : earlier)
                toEra(before, era);
            toEra(rows, era);
            version = makeVersion(era, number);
        }

        static void toEra(std::map<row_key, row_change>& rows, store_era era)
        {
            for (auto& [key, one] : rows)
                one.version = makeVersion(era, numberOf(one.version));
        }

        void change(int key, bool isRemoval)
        {
            const auto name = std::string(1, static_cast<char>('a' + key));
            earlier.push_back(rows);
            ++version;
            rows[row(name, 0).key] = isRemoval ? row(name, version, std::nullopt) : row(name, version);
            if (isRemoval)
                rows[row("removals", 0).key] = row("removals", version);
        }

        row_snapshot whole() const
        {
            row_snapshot out;
            out.version = version;
            for (const auto& [key, one] : rows) {
                if (one.value)
                    out.rows.push_back(one);
            }
            return out;
        }

        row_snapshot changesAfter(row_version after) const
        {
            row_snapshot out;
            out.version = version;
            for (const auto& [key, one] : rows) {
                if (one.version > after)
                    out.rows.push_back(one);
            }
            return out;
        }
    };

    std::map<row_key, row_change> liveRows(const table_copy& copy)
    {
        std::map<row_key, row_change> out;
        for (const auto& one : copy.updateAfter(0).rows.rows) {
            if (one.value)
                out[one.key] = one;
        }
        return out;
    }

    // Guards against two nodes with the same newest change but different rows, so that neither asks the other, and
    // against a row that reverts to an older version, for any sequence of updates from the store and from the other
    // node and of restores of the store.
    RC_GTEST_PROP(TableCopyProperty, EqualNewestChangesMeanEqualRows, ())
    {
        table_model table;
        table_copy nodes[2];
        for (const int step : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100))) {
            auto& node = nodes[step % 2];
            const auto& other = nodes[1 - step % 2];
            const bool isOfTablesEra = eraOf(node.version()) == eraOf(table.version);
            const auto before = node.newestChange();
            if (step < 45)
                table.change(step % 5, step % 3 == 0);
            else if (step < 50)
                table.restore(static_cast<std::size_t>(step - 45) * 2);
            else if (step < 65)
                node.replace(table.whole());
            else if (step < 80 && node.version() > 0 && isOfTablesEra)
                node.merge(table.changesAfter(node.version()));
            else if (node.version() > 0)
                node.applyUpdate(other.updateAfter(node.newestChange()));
            RC_ASSERT(node.newestChange() >= before);
            if (nodes[0].newestChange() == nodes[1].newestChange())
                RC_ASSERT(liveRows(nodes[0]) == liveRows(nodes[1]));
        }
        nodes[0].replace(table.whole());
        nodes[1].applyUpdate(nodes[0].updateAfter(nodes[1].newestChange()));
        const auto rows = table.whole().rows;
        RC_ASSERT(liveRows(nodes[1]).size() == rows.size());
        for (const auto& one : rows)
            RC_ASSERT(liveRows(nodes[1])[one.key] == one);
    }

} // namespace
} // namespace heatherdrift
