#include "mesh/internal/status_codec.h"

#include "base/event_handle.h"
#include "mesh/internal/mesh_directory.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using namespace std::chrono_literals;

    const time_point start { std::chrono::hours(1) };

    server_status warmStatus() { return { { 0ms, 3ms, 250ms, 4s }, 73ms, 2.5, std::nullopt }; }

    server_status coldStatus()
    {
        auto status = warmStatus();
        status.cold = cold_status { 8s, 120ms, 16 };
        return status;
    }

    void expectClose(duration got, duration expected)
    {
        EXPECT_NEAR(static_cast<double>(got.count()), static_cast<double>(expected.count()),
            0.11 * static_cast<double>(expected.count()));
    }

    // Guards against another order or scale of the figures on both sides.
    TEST(StatusCodec, StatusesAreDecodedAsTheyWereEncoded)
    {
        for (const auto& status : { warmStatus(), coldStatus() }) {
            const auto got = decodeStatuses(encodeStatuses({ { 0x3fffffff, 1234ms, status }, { 7, 0ms, status } }));
            ASSERT_EQ(got.size(), 2u);
            EXPECT_EQ(got[0].server, 0x3fffffffu);
            EXPECT_EQ(got[0].age, 1234ms);
            EXPECT_EQ(got[1].server, 7u);
            EXPECT_EQ(got[1].status.expectedWaits[0], 0ms);
            for (std::size_t level = 0; level < urgencyLevels; ++level)
                expectClose(got[1].status.expectedWaits[level], status.expectedWaits[level]);
            expectClose(got[1].status.serviceTime, status.serviceTime);
            EXPECT_NEAR(got[1].status.slowdown, 2.5, 0.15);
            ASSERT_EQ(got[1].status.cold.has_value(), status.cold.has_value());
            if (!status.cold)
                continue;
            expectClose(got[1].status.cold->remaining, status.cold->remaining);
            expectClose(got[1].status.cold->nextStartIn, status.cold->nextStartIn);
            EXPECT_NEAR(got[1].status.cold->requestsPerSecond, 16, 1.6);
        }
        EXPECT_EQ(decodeStatuses(encodeStatuses({ { 1, 0ms, {} } }))[0].status.serviceTime, 0ms);
        // A slowdown of 1 must not count as one.
        EXPECT_NEAR(decodeStatuses(encodeStatuses({ { 1, 0ms, { {}, 1ms, 1, {} } } }))[0].status.slowdown, 1, 0.001);
    }

    // Guards against messages that cost more than about 100 bytes, and figures beyond the scales.
    TEST(StatusCodec, SizeAndFiguresAreBounded)
    {
        const auto most = duration(std::chrono::hours(1));
        const server_status extreme { { most, most, most, most }, most, 1e9, cold_status { most, most, 1e9 } };
        for (const auto& [status, count] :
            { std::pair<server_status, std::size_t> { warmStatus(), maxPassedStatuses }, { extreme, 4 } }) {
            const auto text = encodeStatuses(std::vector<passed_status>(20, { 1, 1h, status }));
            EXPECT_LE(text.size(), maxPassedBytes);
            const auto got = decodeStatuses(text);
            EXPECT_EQ(got.size(), count);
            EXPECT_LE(got[0].status.expectedWaits[0], 90s);
            EXPECT_LE(got[0].status.slowdown, 20);
        }
        EXPECT_EQ(encodeStatuses({}), "");
    }

    // Guards against choosing by a damaged message, whose figures may be of other fields.
    TEST(StatusCodec, DamagedMessagesAreIgnored)
    {
        const auto good = encodeStatuses({ { 1, 10ms, warmStatus() }, { 2, 10ms, warmStatus() } });
        ASSERT_EQ(decodeStatuses(good).size(), 2u);
        for (std::size_t length = 0; length < good.size(); ++length) {
            const bool isWhole = good[length] == ',';
            EXPECT_EQ(decodeStatuses(good.substr(0, length)).empty(), !isWhole) << length;
        }
        for (const std::string& text : { good + ",", "," + good, good + good, "?" + good.substr(1),
                 std::string(14, '\xff'), std::string(5000, 'A'), std::string(",") })
            EXPECT_TRUE(decodeStatuses(text).empty()) << text;
    }

    class StatusExchangeTest : public testing::Test {
    protected:
        struct node {
            explicit node(const instance_id& name, event_base* base)
            {
                settings.node = name;
                directory = std::make_unique<mesh_directory>(base, settings);
                for (const auto* id : { "n1", "n2", "n3", "n4" }) {
                    mesh_member member;
                    member.node = id;
                    member.service = "s";
                    member.life = std::string(id) + "@1";
                    directory->update(member, start);
                }
            }

            void answer(const instance_id& from, std::optional<server_status> status, time_point now)
            {
                gate_load load;
                load.life = from + "@1";
                load.status = std::move(status);
                directory->recordAnswer(from, load, now);
            }

            mesh_settings settings;
            std::unique_ptr<mesh_directory> directory;
        };

        event_base_handle base { event_base_new() };
        node gate { "n1", base.get() };
        node entry { "n2", base.get() };
    };

    // Guards against an entry node that does not use what others know about servers that it has never called.
    TEST_F(StatusExchangeTest, StatusesReachNodesThatHaveNotCalledTheServer)
    {
        auto slow = warmStatus();
        slow.expectedWaits.fill(4s);
        gate.answer("n3", slow, start);
        gate.answer("n4", warmStatus(), start);
        const auto passed = gate.directory->statuses().take("s", warmStatus(), start + 100ms);
        ASSERT_EQ(passed.size(), 2u);
        EXPECT_EQ(entry.directory->statuses().learn("s", passed, start + 102ms), 2u);
        entry.answer("n1", warmStatus(), start + 102ms);
        entry.answer("n2", warmStatus(), start + 102ms);
        EXPECT_EQ(entry.directory->knownStatuses(start + 110ms).at("s"), 4u);
        for (int count = 0; count < 50; ++count)
            EXPECT_NE(entry.directory->view("s").pick({}, start + 110ms), "n3");
    }

    // Guards against a status that stays young because it is passed around in a circle, and against one that replaces a
    // newer one.
    TEST_F(StatusExchangeTest, OldNewsIsNotNews)
    {
        gate.answer("n3", warmStatus(), start);
        const auto first = gate.directory->statuses().take("s", warmStatus(), start + 10ms);
        EXPECT_EQ(entry.directory->statuses().learn("s", first, start + 12ms), 1u);
        const auto back = entry.directory->statuses().take("s", warmStatus(), start + 300ms);
        EXPECT_EQ(gate.directory->statuses().learn("s", back, start + 320ms), 0u);
        entry.answer("n3", warmStatus(), start + 400ms);
        EXPECT_EQ(entry.directory->statuses().learn("s", first, start + 401ms), 0u);
    }

    // Guards against statuses of an earlier life of a backend server, of other services, and of the node itself.
    TEST_F(StatusExchangeTest, UnknownServersAndTheOwnOneAreIgnored)
    {
        const std::vector<passed_status> passed { { statusName("n3@0"), 0ms, warmStatus() },
            { statusName("n2@1"), 0ms, warmStatus() }, { statusName(""), 0ms, warmStatus() } };
        EXPECT_EQ(entry.directory->statuses().learn("s", passed, start), 0u);
        EXPECT_EQ(entry.directory->statuses().learn("other", { { statusName("n3@1"), 0ms, warmStatus() } }, start), 0u);
    }

    // Guards against a message with each of thousands of answers per second, which would exceed what a node may use for
    // coordination.
    TEST_F(StatusExchangeTest, MessagesPerSecondAreBounded)
    {
        int messages = 0;
        for (auto now = start; now < start + 10s; now += 500us) {
            gate.answer("n3", warmStatus(), now);
            messages += !gate.directory->statuses().take("s", warmStatus(), now).empty();
        }
        EXPECT_GE(messages, 380);
        EXPECT_LE(messages, 420);
    }

    // Guards against a choice by statuses that the gates do not state any more.
    TEST_F(StatusExchangeTest, GatesThatStopStatingClearTheStatus)
    {
        entry.answer("n3", warmStatus(), start);
        entry.directory->recordAnswer("n3", gate_load {}, start + 1ms); // Without the state of the node.
        EXPECT_EQ(entry.directory->knownStatuses(start + 1ms).at("s"), 1u);
        entry.answer("n3", std::nullopt, start + 2ms);
        EXPECT_EQ(entry.directory->knownStatuses(start + 2ms).at("s"), 0u);
    }

    // Guards against a message that is lost between encoding and decoding, and one that reaches the caller.
    TEST(StatusExchange, AnswersCarryTheMessage)
    {
        gate_answer answer;
        answer.outcome = verdict::ran;
        answer.response.head.status = 200;
        answer.others = { { 5, 20ms, warmStatus() } };
        const auto got = decodeAnswer(encodeAnswer(answer));
        ASSERT_EQ(got.value().others.size(), 1u);
        EXPECT_EQ(got.value().others[0].server, 5u);
        EXPECT_FALSE(got.value().response.head.headers.find("heatherdrift-others"));
        answer.others.clear();
        EXPECT_FALSE(encodeAnswer(answer).head.headers.find("heatherdrift-others"));
    }

} // namespace
} // namespace heatherdrift
