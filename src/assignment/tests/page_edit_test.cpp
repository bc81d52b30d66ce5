#include "assignment/page_edit.h"

#include "assignment/planned_move.h"
#include "pool_fixture.h"

#include <gtest/gtest.h>

namespace heatherdrift::test {
namespace {

    const instance_ref a { "a", 1 };
    const instance_ref b { "b", 1 };
    const instance_ref noOwner;

    // Guards against reassigning partitions of an instance that may still hold its lease.
    TEST(PageEdit, AssignsOnlyOrphans)
    {
        struct {
            const char* name;
            instance_ref owner;
            std::optional<versioned_member> row;
            bool isAllowed;
        } cases[] = {
            { "no owner", noOwner, std::nullopt, true },
            { "fenced", a, makeMember("a", 1, member_state::fenced), true },
            { "left", a, makeMember("a", 1, member_state::left), true },
            { "newer incarnation", a, makeMember("a", 2, member_state::joining), true },
            { "row unknown", a, std::nullopt, false },
            { "row older than the owner", a, makeMember("a", 0, member_state::fenced), false },
            { "active", a, makeMember("a"), false },
            { "joining", a, makeMember("a", 1, member_state::joining), false },
            { "draining", a, makeMember("a", 1, member_state::draining), false },
            { "being fenced", a, makeMember("a", 1, member_state::fencing), false },
        };
        for (const auto& test : cases) {
            member_map members { { "b", makeMember("b") } };
            if (test.row)
                members["a"] = *test.row;
            const auto edit = assignOrphans(makePage({ test.owner }), { { 0, "b" } }, members, "x");
            ASSERT_EQ(edit.has_value(), test.isAllowed) << test.name;
            if (!edit)
                EXPECT_EQ(edit.error().code, error_code::conflict) << test.name;
            else
                EXPECT_EQ(edit.value().pages[0].row.entries[0], (page_entry { b, 2, test.owner })) << test.name;
        }
    }

    // Guards against successors that are not eligible, and against transactions with too many successors.
    TEST(PageEdit, ChecksSuccessors)
    {
        for (const auto state : { member_state::joining, member_state::draining, member_state::fencing,
                 member_state::fenced, member_state::left }) {
            const member_map members { { "b", makeMember("b", 1, state) } };
            EXPECT_FALSE(assignOrphans(makePage({ noOwner }), { { 0, "b" } }, members, "x")) << static_cast<int>(state);
        }
        const auto isAllowed = [](const std::vector<entry_assignment>& candidates) {
            return assignOrphans(makePage(std::vector<instance_ref>(9)), candidates, makeMembers(9), "x").has_value();
        };
        std::vector<entry_assignment> assignments;
        for (partition_index i = 0; i < maximumSuccessors; ++i)
            assignments.push_back({ i, idOf(i) });
        EXPECT_TRUE(isAllowed(assignments));
        assignments.push_back({ 7, idOf(7) });
        EXPECT_FALSE(isAllowed(assignments));
        EXPECT_FALSE(isAllowed({ { 0, idOf(1) }, { 0, idOf(2) } }));
        EXPECT_FALSE(isAllowed({ { 300, idOf(1) } }));
        EXPECT_FALSE(isAllowed({}));
    }

    // Guards against a transaction without the version checks that prevent assigning partitions to lost instances.
    TEST(PageEdit, TransactionChecksPageAndSuccessor)
    {
        const member_map members { { "b", makeMember("b", 1, member_state::active, 7) } };
        const auto edit = handOver(makePage({ a, b }), a, { { 0, "b" } }, members, "operation");
        ASSERT_TRUE(edit);
        const row_codec codec { [](const instance_id& id) {
                                   return row_key { "members", id };
                               },
            [](const std::string& pool, std::uint32_t page) {
                return row_key { "pages", pool + std::to_string(page) };
            },
            [](const page_row& row) { return row.operationId + toString(row.entries[0].owner); } };
        const store_transaction expected { "operation", { { { "members", "b" }, 7 } },
            { { { "pages", "pool0" }, 1, "operationb#1" } } };
        EXPECT_EQ(toTransaction(edit.value(), codec), expected);
    }

    // Guards against an instance that hands over partitions of another instance or incarnation, or to itself.
    TEST(PageEdit, OnlyOwnerHandsOver)
    {
        const member_map members { { "a", makeMember("a") }, { "b", makeMember("b") } };
        EXPECT_FALSE(handOver(makePage({ b }), a, { { 0, "b" } }, members, "x"));
        EXPECT_FALSE(handOver(makePage({ a }), { "a", 2 }, { { 0, "b" } }, members, "x"));
        EXPECT_FALSE(handOver(makePage({ a }), a, { { 0, "a" } }, members, "x"));
    }

    struct hot_pages {
        pool_configuration pool = makePool(1);
        member_map members { { "a", makeMember("a") }, { "b", makeMember("b") } };
        versioned_page ordinary = makePage({ a });
        versioned_page hot = absentPage(pool, hotPageNumber);

        result<page_edit> edit(decltype(isolateKey) change, const std::string& key, const instance_ref& self) const
        {
            return change(pool, ordinary, hot, self, key, members, "x");
        }
        result<page_edit> isolate(const std::string& key) const { return edit(isolateKey, key, a); }
        result<page_edit> returnToOrdinary(const std::string& key) const { return edit(returnKey, key, a); }
        void apply(const result<page_edit>& edit)
        {
            ASSERT_TRUE(edit);
            hot = edit.value().pages[0];
            ordinary = edit.value().pages[1];
        }
    };

    // Guards against epochs or owners of hot partitions that allow a previous owner to serve the key.
    TEST(HotKeyEdit, IsolatesAndReturns)
    {
        hot_pages pages;
        pages.ordinary.row.entries[0].number = 5;
        pages.apply(pages.isolate("k"));
        EXPECT_EQ(pages.hot.row.entries[0], (page_entry { a, 6, a }));
        EXPECT_EQ(pages.ordinary.row.isolatedKeys, (std::vector<isolated_key> { { "k", 6 } }));
        EXPECT_EQ(pages.ordinary.row.entries[0].number, 5u);
        EXPECT_FALSE(pages.isolate("k"));
        pages.hot.row.entries[0].number = 9; // As after moves to another instance and back.
        pages.apply(pages.returnToOrdinary("k"));
        EXPECT_EQ(pages.ordinary.row.entries[0], (page_entry { a, 10, a }));
        EXPECT_TRUE(pages.ordinary.row.isolatedKeys.empty());
        EXPECT_FALSE(pages.returnToOrdinary("k"));
        pages.apply(pages.isolate("other"));
        EXPECT_EQ(pages.hot.row.hotKeys, std::vector<std::string> { "other" }) << "the slot is reused";
        EXPECT_EQ(pages.hot.row.entries[0].number, 11u);
    }

    // Guards against isolation by an instance other than the owner, return while another instance owns the hot
    // partition, and rows of unbounded size.
    TEST(HotKeyEdit, RejectsInvalidEdits)
    {
        hot_pages pages;
        EXPECT_FALSE(pages.edit(isolateKey, "k", b));
        EXPECT_FALSE(pages.isolate(""));
        EXPECT_FALSE(pages.isolate(std::string(maximumHotKeyBytes + 1, 'k')));
        for (const auto& row : { makeMember("a", 2), makeMember("a", 1, member_state::fencing) }) {
            pages.members["a"] = row;
            EXPECT_FALSE(pages.isolate("k"));
        }
        pages.members["a"] = makeMember("a");
        for (std::size_t i = 0; i < maximumHotKeys; ++i)
            pages.apply(pages.isolate("k" + std::to_string(i)));
        EXPECT_FALSE(pages.isolate("k"));
        pages.hot.row.entries[0].owner = b;
        EXPECT_FALSE(pages.returnToOrdinary("k0"));
        EXPECT_TRUE(pages.returnToOrdinary("k1"));
        // An unused slot must never be assigned.
        pages.apply(pages.returnToOrdinary("k1"));
        EXPECT_FALSE(assignOrphans(pages.hot, { { hotPartitionBase + 1, "b" } }, pages.members, "x"));
    }

    // Guards against a wrong outcome of a write whose response was lost.
    TEST(PageEdit, ReadBackDeterminesOutcome)
    {
        const member_map members { { "b", makeMember("b") } };
        const auto edit = handOver(makePage({ a, a }), a, { { 0, "b" } }, members, "mine").value();
        struct {
            const char* name;
            row_version version;
            const char* operationId;
            page_entry entry;
            edit_outcome expected;
        } cases[] = {
            { "unchanged", 1, "other", { a, 1, {} }, edit_outcome::undecided },
            { "own operation", 2, "mine", { b, 2, a }, edit_outcome::applied },
            { "own operation, then another entry", 3, "other", { b, 2, a }, edit_outcome::applied },
            { "own operation, then the successor's", 3, "other", { { "c", 1 }, 3, b }, edit_outcome::applied },
            { "another entry only", 2, "other", { a, 1, {} }, edit_outcome::not_applied },
            { "another owner at this epoch", 2, "other", { { "c", 1 }, 2, a }, edit_outcome::not_applied },
        };
        for (const auto& test : cases) {
            auto row = makePage({ a, a });
            row.version = test.version;
            row.row.operationId = test.operationId;
            row.row.entries[0] = test.entry;
            EXPECT_EQ(outcomeOf(edit, row), test.expected) << test.name;
        }
    }

    struct move_fixture {
        member_map members { { "b", makeMember("b") } };
        planned_move move { "pool", a, { { 0, "b" } }, time_point(std::chrono::seconds(5)) };
        versioned_page page = makePage({ a });
        move_action first = move.onReady(page, members, "mine");
        failure lostResponse = mayHaveRun(error_code::store_unavailable, "lost");
    };

    // Guards against admitting requests for a partition whose hand-over may have taken effect.
    TEST(PlannedMove, EndsOnlyWhenOutcomeIsKnown)
    {
        move_fixture test;
        EXPECT_TRUE(test.move.isBlocking("pool", 0));
        EXPECT_FALSE(test.move.isReady(1, time_point(std::chrono::seconds(4))));
        EXPECT_TRUE(test.move.isReady(1, time_point(std::chrono::seconds(5))));
        ASSERT_TRUE(std::holds_alternative<commit_edit>(test.first));
        EXPECT_TRUE(std::holds_alternative<read_page>(test.move.onCommit(test.lostResponse)));
        EXPECT_TRUE(std::holds_alternative<read_page>(test.move.onReadBack(test.lostResponse)));
        EXPECT_TRUE(std::holds_alternative<commit_edit>(test.move.onReadBack(test.page)));
        const auto conflict = notRun(error_code::conflict, "page");
        EXPECT_TRUE(std::holds_alternative<read_page>(test.move.onCommit(conflict)));
        auto written = std::get<commit_edit>(test.first).edit.pages.front();
        written.version = 2;
        EXPECT_TRUE(std::get<end_move>(test.move.onReadBack(written)).isApplied);
    }

    // Guards against a move that never ends because its successor's membership row has changed after a lost response
    // (once found by history 1678 of AssignmentHistory).
    TEST(PlannedMove, EndsWhenSuccessorChanged)
    {
        move_fixture test;
        (void)test.move.onCommit(test.lostResponse);
        ASSERT_TRUE(std::holds_alternative<commit_edit>(test.move.onReadBack(test.page)));
        (void)test.move.onCommit(notRun(error_code::conflict, "members b"));
        EXPECT_FALSE(std::get<end_move>(test.move.onReadBack(test.page)).isApplied);
    }

} // namespace
} // namespace heatherdrift::test
