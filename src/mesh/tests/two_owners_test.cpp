#include "mesh/tests/member_registry_fixture.h"
#include "mesh/tests/simulated_store.h"
#include "mesh/tests/test_port.h"

#include <thread>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Two owners that share a store. The first has the node's real handling of heartbeats, and its backend server is
    /// started again as another life.
    class TwoOwnersTest : public testing::Test {
    protected:
        struct owner {
            owner(TwoOwnersTest& test, const instance_id& node)
            {
                settings.node = node;
                settings.service = "s";
                settings.longestHold = seconds(10);
                settings.heartbeatInterval = milliseconds(300);
                keys = std::make_unique<ownership>(test.loop.base(), settings, client, row_key { "ranges", "s" },
                    ownership_hooks { boot_clock::now, [&test] { return test.candidates(); },
                        [](const range_map& map, fencing_token, time_point) { return map; },
                        [&test] { test.announcements->onOwnershipChanged(); }, [] {}, [] { return false; },
                        [](const std::set<life_name>&) {}, [](const life_name&) { return true; } });
            }

            mesh_settings settings;
            simulated_store_client client;
            std::unique_ptr<ownership> keys;
        };

        TwoOwnersTest()
        {
            next.service = "s";
            port.decodeDeparture = [](const http_request&) { return std::nullopt; };
            port.decodeAnnouncement = [this](const http_request&) -> result<backend_announcement> { return next; };
            port.encodeGrant = [this](const hold_grant& grant) {
                firstGrant = grant;
                return http_response { { 200, {} }, "" };
            };
            gate = std::make_unique<gate_service>(loop.base(), first.settings, port,
                gate_hooks { [](key_number) { return key_access::refuse; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<table_statements>(); }, [](const backend_question&) {} });
            announcements
                = std::make_unique<announcement_service>(loop.base(), first.settings, port, *gate, *first.keys,
                    announcement_hooks { [] { return true; }, [] {}, [](const std::string&) { return false; } });
            server = loop.listen([this](http_exchange_ptr exchange) { announcements->handle(std::move(exchange)); });
            const row_key row { "ranges", "s@1" };
            store.apply({ {}, { { row, 0, range_map().assign({ 0, lastKey }, "i1@5", 1).toJson() } } });
            for (auto* one : { &first, &second }) {
                one->client.noteEra(1);
                one->keys->onTableRead(1);
                one->keys->onRowChanged(store.current(row));
            }
        }

        std::vector<owner_candidate> candidates() const
        {
            std::vector<owner_candidate> out;
            if (announcements && announcements->current() && !announcements->hasEnded())
                out.push_back({ "n1", { announcements->current()->life(), 0 }, true });
            out.push_back({ "n2", { "i9@1", 0 }, true });
            return out;
        }

        void serveStore()
        {
            for (auto* one : { &first, &second }) {
                one->keys->advance();
                while (!one->client.queue.empty()) {
                    auto call = std::move(one->client.queue.front());
                    one->client.queue.pop_front();
                    call.done(one->client.answer(store, call.write));
                }
            }
        }

        void heartbeat(const std::string& id, std::int64_t startedAt)
        {
            next.id = id;
            next.startedAt = startedAt;
            ++next.sequence;
            const auto sentAt = boot_clock::now();
            ASSERT_EQ(loop.fetch(server->address(), { "PUT", "/", {}, "" }).value().head.status, 200);
            serveStore();
            if (!firstGrant.isValid)
                return;
            next.holds.clear();
            for (const auto& range : firstGrant.ranges)
                next.holds.push_back({ range.keys, range.fence });
            firstHoldEnd = sentAt + firstGrant.hold;
        }

        bool secondGetsKeys()
        {
            backend_announcement announcement;
            announcement.id = "i9";
            announcement.startedAt = 1;
            announcement.sequence = ++secondSequence;
            second.keys->handleHeartbeat(announcement);
            serveStore();
            return !second.keys->grant(boot_clock::now()).ranges.empty();
        }

        test_loop loop;
        platform_port port;
        simulated_store store;
        backend_announcement next;
        hold_grant firstGrant;
        time_point firstHoldEnd {};
        std::int64_t secondSequence = 0;
        owner first { *this, "n1" };
        owner second { *this, "n2" };
        std::unique_ptr<gate_service> gate;
        std::unique_ptr<announcement_service> announcements;
        std::unique_ptr<http_server> server;
    };

    // Guards against two backend servers that hold the same keys: the first one crashes and starts again, and a
    // connection to the life that crashed is reported as refused after the next life has been granted the keys.
    TEST_F(TwoOwnersTest, LateRefusalOfAConnectionDoesNotGiveKeysASecondHolder)
    {
        heartbeat("i1", 5);
        heartbeat("i1", 5);
        ASSERT_EQ(firstGrant.ranges.size(), 1u);
        const backend_question question { "i1@5", boot_clock::now() };
        heartbeat("i2", 9);
        heartbeat("i2", 9);
        ASSERT_EQ(firstGrant.ranges.size(), 1u);
        announcements->onBackendRefused(question);
        while (boot_clock::now() < firstHoldEnd) {
            ASSERT_FALSE(secondGetsKeys()) << "while the hold of the first owner lasts";
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

    // Guards against keys of one life that are granted to another one: the response to a heartbeat in which the first
    // one leaves waits for a write, and was made for the life that was present at its end.
    TEST_F(TwoOwnersTest, ResponseToAHeartbeatDoesNotGrantTheKeysOfALaterLife)
    {
        heartbeat("i1", 5);
        heartbeat("i1", 5);
        next.isDraining = true;
        ++next.sequence;
        bool isAnswered = false;
        const auto client = http_client::create(loop.base(), server->address(), 1);
        fetch(*client, { "PUT", "/", {}, "" }, test_loop::farDeadline(), 1 << 20,
            [&](const result<http_response>&) { isAnswered = true; });
        loop.runUntil([this] { return announcements->hasUnacknowledgedDeparture(); });
        next.isDraining = false;
        next.holds.clear();
        heartbeat("i2", 9);
        heartbeat("i2", 9);
        ASSERT_FALSE(isAnswered);
        firstGrant = {};
        announcements->onTableRead();
        loop.runUntil([&] { return isAnswered; });
        EXPECT_FALSE(firstGrant.isValid);
    }

    // Guards against a grant to a life that has ended since it sent the heartbeat: its keys are given to others without
    // waiting for the end of that hold.
    TEST_F(TwoOwnersTest, LifeThatHasEndedIsNotGrantedKeys)
    {
        heartbeat("i1", 5);
        heartbeat("i1", 5);
        ASSERT_TRUE(first.keys->grant(boot_clock::now()).isValid);
        first.keys->onBackendEnded("i1@5");
        EXPECT_FALSE(first.keys->grant(boot_clock::now()).isValid);
    }

    // Guards against keys that a backend server is granted while it leaves, although it holds none: others get them
    // when it ends.
    TEST_F(TwoOwnersTest, LeavingLifeIsGrantedNothingThatItDoesNotHold)
    {
        heartbeat("i1", 5);
        heartbeat("i1", 5);
        ASSERT_EQ(firstGrant.ranges.size(), 1u);
        first.keys->startDrain(); // The store does not answer the write that moves its keys.
        backend_announcement announcement;
        announcement.id = "i1";
        announcement.startedAt = 5;
        announcement.isDraining = true;
        first.keys->handleHeartbeat(announcement);
        EXPECT_TRUE(first.keys->grant(boot_clock::now()).ranges.empty());
    }

    // Guards against two holders of keys on their way to another owner: a late heartbeat of an earlier life whose clock
    // was ahead counts as a later life, which does not show that the one that runs has ended.
    TEST_F(TwoOwnersTest, LateHeartbeatWithAClockAheadDoesNotReleaseKeysOnTheirWay)
    {
        heartbeat("i1", 5);
        heartbeat("i1", 5);
        ASSERT_EQ(firstGrant.ranges.size(), 1u);
        const auto holdEnd = firstHoldEnd;
        const row_key row { "ranges", "s@1" };
        const auto map = range_map::fromJson(*store.current(row).value).value();
        store.apply({ {}, { { row, 0, map.assign({ 0, 99 }, "i9@1", makeVersion(1, 90), 3675).toJson() } } });
        for (auto* one : { &first, &second })
            one->keys->onRowChanged(store.current(row));
        ASSERT_FALSE(secondGetsKeys());
        next.holds.clear();
        heartbeat("i0", 9);
        while (boot_clock::now() < holdEnd) {
            ASSERT_FALSE(secondGetsKeys()) << "while the hold of the first owner lasts";
            std::this_thread::sleep_for(milliseconds(20));
        }
    }

} // namespace
} // namespace heatherdrift
