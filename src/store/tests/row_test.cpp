#include "configuration/configuration_store_rows.h"
#include "store/applied_test.h"
#include "store/member_row.h"
#include "store/page_row.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>
#include <rapidcheck/gtest.h>

namespace heatherdrift {
namespace {

    using json = nlohmann::json;

    member_row sampleMember()
    {
        member_row row;
        row.self = { "lookup-3", 7 };
        row.state = member_state::draining;
        row.region = "north";
        row.availabilityZone = "north-a";
        row.entry = { "10.0.0.1", 1000 };
        row.forward = { "10.0.0.1", 1001 };
        row.control = { "10.0.0.1", 1002 };
        row.admin = { "::1", 1003 };
        row.labels = { { "pool", "lookup" }, { "kind", "" } };
        row.checksGrants = true;
        row.slots = 12;
        row.witnesses = { { "lookup-1", 2 }, { "lookup-2", 9 } };
        row.fencedBy = "lookup-1";
        row.operationId = "op-1";
        return row;
    }

    TEST(MemberRow, ComesBackFromItsText)
    {
        const auto row = sampleMember();
        const auto parsed = parseMemberRow(toJsonText(row));
        ASSERT_TRUE(parsed.has_value()) << parsed.error().message;
        EXPECT_EQ(parsed.value(), row);
        EXPECT_EQ(memberKey("lookup-3"), (row_key { "members", "lookup-3" }));
    }

    // Guards against partitions for an instance that is leaving or fenced, and a lease for a fenced one.
    TEST(MemberState, OnlyActiveInstancesGetPartitionsAndFencedOnesHoldNoLease)
    {
        struct state_case {
            member_state state;
            bool canOwnMore;
            bool canHoldLease;
        };
        const state_case cases[] = {
            { member_state::joining, false, true },
            { member_state::active, true, true },
            { member_state::draining, false, true },
            { member_state::fencing, false, true },
            { member_state::fenced, false, false },
            { member_state::left, false, false },
        };
        for (const auto& entry : cases) {
            EXPECT_EQ(canOwnMore(entry.state), entry.canOwnMore) << toString(entry.state);
            EXPECT_EQ(canHoldLease(entry.state), entry.canHoldLease) << toString(entry.state);
        }
    }

    struct bad_field {
        const char* name;
        json value; ///< Discarded: the field is missing.
        const char* message;
    };

    const json missing = json(json::value_t::discarded);

    void expectRejected(
        const std::string& text, const bad_field& field, const std::function<result<void>(std::string)>& parse)
    {
        auto document = json::parse(text);
        if (field.value.is_discarded())
            document.erase(field.name);
        else
            document[field.name] = field.value;
        const auto outcome = parse(document.dump());
        ASSERT_TRUE(outcome.has_error()) << field.name << " " << field.value.dump();
        EXPECT_EQ(outcome.error().code, error_code::internal);
        EXPECT_EQ(outcome.error().message, field.message);
    }

    // Guards against a damaged row that is used: a wrong witness set or incarnation breaks the lease.
    TEST(MemberRow, RejectsEachBadField)
    {
        const char* badInstance = "expected an instance id and an incarnation";
        const bad_field cases[] = {
            { "id", "", "id: expected 1 to 255 bytes" },
            { "incarnation", 0, "incarnation: expected an integer from 1 to 9223372036854775807" },
            { "incarnation", -1, "incarnation: expected an integer from 1 to 9223372036854775807" },
            { "state", "resting", "state: unknown state" },
            { "zone", missing, "zone: missing" },
            { "control", "here:1", "control: expected an IP address and port such as 127.0.0.1:8080" },
            { "labels", json { { "a", 1 } }, "labels.a: expected a string" },
            { "labels", json { { "a", std::string(256, 'x') } }, "labels.a: label out of bounds" },
            { "slots", -1, "slots: expected an integer from 0 to 1000000" },
            { "witnesses", json::parse(R"([["a"]])"), "" },
            { "witnesses", json::parse(R"([["a",0]])"), "" },
            { "witnesses", json::parse(R"([["a",1],["a",2]])"), "witnesses[1]: named twice" },
            { "witnesses", json::parse(R"([["a",1],["b",1],["c",1],["d",1],["e",1],["f",1]])"),
                "witnesses[5]: too many witnesses" },
            { "extra", 1, "extra: unknown field" },
        };
        for (auto entry : cases) {
            const auto message = "witnesses[0]: " + std::string(badInstance);
            if (*entry.message == '\0')
                entry.message = message.c_str();
            expectRejected(toJsonText(sampleMember()), entry, [](const std::string& text) -> result<void> {
                BOOST_OUTCOME_TRY(parseMemberRow(text));
                return outcome::success();
            });
        }
    }

    page_row samplePage()
    {
        const instance_ref a { "a", 1 };
        const instance_ref b { "b", 2 };
        return { "lookup", 3, { { a, 5, b }, { b, 6, {} }, { {}, 7, a }, {} }, {}, "op-2", { { "hot key", 8 } } };
    }

    // Guards against a row format that grows with each mention of an instance: pages cross every node's links.
    TEST(PageRow, NamesEachInstanceOnce)
    {
        EXPECT_EQ(toJsonText(samplePage()),
            R"({"entries":[[1,5,2],[2,6,0],[0,7,1],[0,0,0]],"hot_keys":[],)"
            R"("instances":[["a",1],["b",2]],"isolated_keys":[["hot%20key",8]],)"
            R"("operation_id":"op-2","page":3,"pool":"lookup"})");
        page_row full { "lookup", 0, {}, {}, "0123456789abcdef0123456789abcdef", {} };
        for (std::uint64_t i = 0; i < partitionsPerPage; ++i)
            full.entries.push_back({ { "instance-" + std::to_string(i % 20), 100 }, 1000 + i, { "instance-1", 99 } });
        EXPECT_LT(toJsonText(full).size(), 4096u);
    }

    TEST(PageRow, RejectsEachBadField)
    {
        json manyKeys = json::array();
        for (int i = 0; i < 65; ++i)
            manyKeys.push_back(json::array({ "k" + std::to_string(i), 1 }));
        const bad_field cases[] = {
            { "pool", "", "pool: expected 1 to 255 bytes" },
            { "page", 65537, "page: expected an integer from 0 to 65536" },
            { "instances", json::parse(R"([["a",1],["a",1]])"), "instances[1]: named twice" },
            { "instances", json::parse(R"([["a",-1]])"), "instances[0]: expected an instance id and an incarnation" },
            { "instances", json::array(), "entries[0]: no such instance" },
            { "entries", json::parse("[[1,5]]"), "entries[0]: expected three integers" },
            { "entries", json::parse("[[1,-5,0]]"), "entries[0]: expected three integers" },
            { "entries", json::parse("[[1,9223372036854775808,0]]"), "entries[0]: expected three integers" },
            { "entries", json::parse("[[1,0,0]]"), "entries[0]: an owner without an epoch" },
            { "entries", json(257, json::array({ 0, 0, 0 })), "entries[256]: too many entries" },
            { "hot_keys", json::array({ "k" }), "hot_keys: expected one key per entry of the hot page" },
            { "hot_keys", json::array({ "%zz" }), "hot_keys[0]: expected a percent-encoded key" },
            { "page", hotPageNumber, "hot_keys: expected one key per entry of the hot page" },
            { "isolated_keys", json::parse(R"([["k"]])"), "isolated_keys[0]: expected a key and an epoch" },
            { "isolated_keys", json::parse(R"([["%zz",1]])"), "isolated_keys[0]: expected a percent-encoded key" },
            { "isolated_keys", json::parse(R"([["k",0]])"), "isolated_keys[0]: expected a key and an epoch" },
            { "isolated_keys", json::parse(R"([["k",1],["k",2]])"), "isolated_keys[1]: named twice" },
            { "isolated_keys", manyKeys, "isolated_keys[64]: too many keys" },
            { "operation_id", missing, "operation_id: missing" },
            { "extra", 1, "extra: unknown field" },
        };
        for (const auto& entry : cases)
            expectRejected(toJsonText(samplePage()), entry, [](const std::string& text) -> result<void> {
                BOOST_OUTCOME_TRY(parsePageRow(text));
                return outcome::success();
            });
    }

    page_entry arbitraryEntry()
    {
        const auto instance = [] {
            const auto index = *rc::gen::inRange<std::uint64_t>(0, 5);
            return index == 0 ? instance_ref {} : instance_ref { "i" + std::to_string(index), index };
        };
        const auto number = *rc::gen::inRange<epoch>(0, INT64_MAX);
        return number == 0 ? page_entry {} : page_entry { instance(), number, instance() };
    }

    // Guards against entries or keys of any bytes that change on their way through the store.
    RC_GTEST_PROP(PageRowText, ComesBackWhateverTheKeys, ())
    {
        const bool isHot = *rc::gen::arbitrary<bool>();
        page_row row { "pool", isHot ? hotPageNumber : 1, {}, {}, "op", {} };
        if (isHot) {
            const auto keys = *rc::gen::unique<std::vector<std::string>>(rc::gen::string<std::string>());
            row.hotKeys.assign(keys.begin(), keys.begin() + std::min<std::ptrdiff_t>(std::ssize(keys), maximumHotKeys));
        }
        if (!isHot)
            row.isolatedKeys = { { *rc::gen::string<std::string>(), *rc::gen::inRange<epoch>(1, 1000) } };
        const auto count = isHot ? row.hotKeys.size() : *rc::gen::inRange<std::size_t>(0, partitionsPerPage + 1);
        for (std::size_t i = 0; i < count; ++i)
            row.entries.push_back(arbitraryEntry());
        const auto parsed = parsePageRow(toJsonText(row));
        RC_ASSERT(parsed.has_value());
        RC_ASSERT(parsed.value() == row);
    }

    // Guards against a kind of row in which the read-back does not find the operation id: a write that took effect
    // would be reported as not to be told.
    TEST(OperationIdTest, FindsTheIdInEveryKindOfRow)
    {
        auto configured = configuration_row { {}, "op-1" };
        auto page = samplePage();
        page.operationId = "op-1";
        for (const auto& text : { toJsonText(sampleMember()), toJsonText(page), toJsonText(configured) }) {
            const std::vector<stored_row> rows { { { "t", "absent" }, 0, "" }, { { "t", "k" }, 1, text } };
            EXPECT_EQ(operationIdTest("op-1")(rows), applied_state::applied) << text;
            EXPECT_EQ(operationIdTest("op-3")(rows), applied_state::unknown) << text;
        }
        for (const auto* text :
            { "", "op-1", R"("op-1")", R"(["operation_id","op-1"])", R"({"operation_id":["op-1"]})" })
            EXPECT_EQ(operationIdTest("op-1")({ { { "t", "k" }, 1, text } }), applied_state::unknown) << text;
    }

    // Guards against a crash or an accepted row after part of its text was lost.
    TEST(RowText, TruncatedTextIsRejected)
    {
        const auto member = toJsonText(sampleMember());
        const auto page = toJsonText(samplePage());
        for (std::size_t size = 0; size < member.size(); ++size)
            EXPECT_TRUE(parseMemberRow(member.substr(0, size)).has_error());
        for (std::size_t size = 0; size < page.size(); ++size)
            EXPECT_TRUE(parsePageRow(page.substr(0, size)).has_error());
    }

} // namespace
} // namespace heatherdrift
