#include "mesh/internal/ownership.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    class unanswering_store : public watched_store {
    public:
        void read(std::string, time_point, std::function<void(result<row_snapshot>)>) override { }
        void watch(std::string, row_version, duration, time_point, std::function<void(result<row_snapshot>)>) override
        {
        }
        void write(conditional_write, time_point, std::function<void(result<write_outcome>)>) override { }
    };

    /// A node whose backend server owns keys that another one has yet to release.
    class KeyAccessTest : public testing::Test {
    protected:
        KeyAccessTest()
        {
            settings.node = "n1";
            settings.longestHold = milliseconds(10000);
            backend_announcement announcement;
            announcement.id = "i";
            announcement.startedAt = 1;
            announcement.sequence = 1;
            keys.handleHeartbeat(announcement);
            const auto map = range_map()
                                 .assign({ 0, lastKey }, "other@1", 1)
                                 .assign({ 0, 9 }, announcement.life(), 2, silence.count());
            keys.onRowChanged({ { row.table, row.key + "@0" }, 1, map.toJson() });
        }

        static constexpr auto silence = milliseconds(3700);

        time_point now { std::chrono::hours(1) };
        bool isReachable = true;
        event_base_handle base { event_base_new() };
        unanswering_store store;
        mesh_settings settings;
        row_key row { "ranges", "service" };
        ownership keys { base.get(), settings, store, row,
            ownership_hooks { [this] { return now; }, [] { return std::vector<owner_candidate>(); },
                [](const range_map& map, fencing_token, time_point) { return map; }, [] {}, [] {}, [] { return false; },
                [](const std::set<life_name>&) {}, [this](const life_name&) { return isReachable; } } };
    };

    // Guards against refusing requests whose key is granted within one or two heartbeats.
    TEST_F(KeyAccessTest, KeysThatAreBeingReleasedAreAwaited)
    {
        EXPECT_EQ(keys.access(5), key_access::wait);
        EXPECT_EQ(keys.access(50), key_access::refuse);
    }

    // Guards against requests that wait until their deadline for keys of a lost owner, which cannot be granted before
    // it (1,495 refusals as not_owner were seen at peak load, half of them after 0.8 s).
    TEST_F(KeyAccessTest, KeysOfALostOwnerAreAwaitedOnlyNearTheEndOfItsHolds)
    {
        isReachable = false;
        EXPECT_EQ(keys.access(5), key_access::refuse);
        now += silence - milliseconds(300);
        EXPECT_EQ(keys.access(5), key_access::wait);
    }

} // namespace
} // namespace heatherdrift
