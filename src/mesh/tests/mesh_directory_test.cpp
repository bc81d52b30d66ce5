#include "mesh/internal/mesh_directory.h"

#include "base/event_handle.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::seconds;

    const time_point start { std::chrono::hours(1) };

    class MeshDirectoryTest : public testing::Test {
    protected:
        MeshDirectoryTest()
        {
            settings.node = "n1";
            settings.zone = "z1";
            add("n1");
            add("n2");
            add("n3");
        }

        void add(const instance_id& node)
        {
            mesh_member member;
            member.node = node;
            member.zone = "z1";
            member.address = { "127.0.0.1", 1 };
            member.service = "s";
            member.life = node + "@1";
            directory.update(member, start);
        }

        std::vector<instance_id> available(time_point now)
        {
            std::vector<instance_id> out;
            for (const auto* peer : directory.available("s", now))
                out.push_back(peer->member.node);
            return out;
        }

        event_base_handle base { event_base_new() };
        mesh_settings settings;
        mesh_directory directory { base.get(), settings };
    };

    // Guards against a node that counts as unreachable after a single failure, or never.
    TEST_F(MeshDirectoryTest, NodeIsUnreachableOnlyWhileItFails)
    {
        directory.recordFailure("n2", error_code::connection_failed, start);
        EXPECT_EQ(available(start + seconds(1)).size(), 3u);
        EXPECT_EQ(available(start + seconds(2)), (std::vector<instance_id> { "n1", "n3" }));
        directory.recordAnswer("n2", std::nullopt, start + seconds(2));
        EXPECT_EQ(available(start + seconds(3)).size(), 3u);
    }

    // Guards against requests that are sent to a removed instance until its first failure is 1.5 s old, and against a
    // reachable node that counts as unreachable after one lost packet.
    TEST_F(MeshDirectoryTest, SilentNodeIsUnreachableAfterTwoFailures)
    {
        directory.recordFailure("n2", error_code::unreachable, start);
        EXPECT_EQ(available(start).size(), 3u);
        directory.recordFailure("n2", error_code::unreachable, start);
        EXPECT_EQ(available(start), (std::vector<instance_id> { "n1", "n3" }));
        directory.recordAnswer("n2", std::nullopt, start);
        directory.recordFailure("n2", error_code::unreachable, start);
        EXPECT_EQ(available(start).size(), 3u);
    }

    // Guards against repeated removal of the rows of live nodes because of one failure long ago (29 removals in 8 s
    // were seen under normal load).
    TEST_F(MeshDirectoryTest, OneOldFailureDoesNotMakeANodeSilent)
    {
        directory.recordFailure("n2", error_code::connection_failed, start);
        for (int i = 0; i < 5; ++i)
            directory.recordFailure("n3", error_code::connection_failed, start + seconds(i));
        EXPECT_EQ(directory.silentSince(start + seconds(20), 5), std::vector<instance_id> { "n3" });
        EXPECT_EQ(directory.silentSince(start + seconds(20), 1).size(), 2u);
        directory.recordAnswer("n3", std::nullopt, start + seconds(20));
        EXPECT_TRUE(directory.silentSince(start + seconds(30), 5).empty());
    }

    // Guards against new requests for a backend server that is draining or has no life.
    TEST_F(MeshDirectoryTest, DrainingBackendServersGetNoNewRequests)
    {
        mesh_member member = directory.find("n2")->member;
        member.isDraining = true;
        directory.update(member, start);
        EXPECT_EQ(available(start), (std::vector<instance_id> { "n1", "n3" }));
        for (int i = 0; i < 20; ++i)
            EXPECT_NE(directory.view("s").pick({}, start), "n2");
        directory.remove("n3");
        EXPECT_EQ(available(start), std::vector<instance_id> { "n1" });
        EXPECT_EQ(directory.findLife("n3@1"), nullptr);
    }

} // namespace
} // namespace heatherdrift
