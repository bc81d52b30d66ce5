#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/owner_candidate.h"

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

        void add(const instance_id& node, const std::string& zone = "z1")
        {
            mesh_member member;
            member.node = node;
            member.zone = zone;
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

    // Guards against a backend server that counts as draining, or is chosen by a status and a demand, because of the
    // one before it: the response to a request that was sent to that one arrived after the announcement of the next
    // one.
    TEST_F(MeshDirectoryTest, LoadOfAnEarlierLifeSaysNothingAboutThePresentOne)
    {
        gate_load load;
        load.life = "n2@1";
        load.isDraining = true;
        load.demand = 3;
        load.status.emplace();
        mesh_member member = directory.find("n2")->member;
        member.life = "n2@2";
        directory.update(member, start);
        directory.recordAnswer("n2", load, start);
        EXPECT_EQ(directory.find("n2")->answeredAt, start);
        EXPECT_EQ(directory.find("n2")->loadAt, time_point::min());
        EXPECT_EQ(directory.knownStatuses(start)["s"], 0u);
        EXPECT_FALSE(directory.find("n2")->load.isDraining);
    }

    // Guards against the same where the response arrived before the announcement.
    TEST_F(MeshDirectoryTest, LoadIsForgottenWithItsLife)
    {
        gate_load load;
        load.life = "n2@1";
        load.isDraining = true;
        directory.recordAnswer("n2", load, start);
        mesh_member member = directory.find("n2")->member;
        directory.update(member, start);
        EXPECT_TRUE(directory.find("n2")->load.isDraining);
        member.life = "n2@2";
        directory.update(member, start);
        EXPECT_FALSE(directory.find("n2")->load.isDraining);
        EXPECT_EQ(directory.find("n2")->loadAt, time_point::min());
    }

    // Guards against requests for an evacuated zone, against servers that are lost to the choice after its return, and
    // against keyed requests that are refused before the keys could move.
    TEST_F(MeshDirectoryTest, ServersOfEvacuatedZonesAreNotPicked)
    {
        add("n4", "z2");
        const auto picked = [&](time_point now) {
            std::set<instance_id> out;
            for (int i = 0; i < 200; ++i)
                out.insert(directory.view("s").pick({}, now).value_or(""));
            return out;
        };
        directory.setEvacuated({ { "z1", { start, start + seconds(2) } } }, start);
        EXPECT_EQ(picked(start), std::set<instance_id> { "n4" });
        add("n2"); // Its row is written again.
        EXPECT_EQ(picked(start), std::set<instance_id> { "n4" });
        EXPECT_TRUE(directory.mayServeKeys(directory.find("n2")->member, start));
        EXPECT_FALSE(directory.mayServeKeys(directory.find("n2")->member, start + seconds(2)));
        EXPECT_FALSE(directory.isWhollyEvacuated("s"));
        directory.setEvacuated({}, start + seconds(10));
        for (const char* node : { "n1", "n2", "n3" })
            EXPECT_TRUE(picked(start + seconds(10)).contains(node)) << node;
    }

    // Guards against keys that are assigned to evacuated zones, or to none when all are evacuated.
    TEST_F(MeshDirectoryTest, CandidatesForKeysAreInOtherZones)
    {
        settings.service = "s";
        add("n4", "z2");
        const auto candidates = [&] {
            std::vector<instance_id> out;
            for (const auto& one : ownerCandidates(directory, settings, 0.5, start))
                out.push_back(one.node);
            return out;
        };
        directory.setEvacuated({ { "z1", { start, start } } }, start);
        EXPECT_EQ(candidates(), std::vector<instance_id> { "n4" });
        directory.setEvacuated({ { "z1", { start, start } }, { "z2", { start, start } } }, start);
        EXPECT_EQ(candidates().size(), 4u);
    }

    // Guards against a service that counts as evacuated because the servers of the other zone drain or do not respond,
    // and against an answer that is out of date after a change of the servers.
    TEST_F(MeshDirectoryTest, ServiceIsWhollyEvacuatedOnlyWithAllItsZones)
    {
        add("n4", "z2");
        directory.setEvacuated({ { "z1", { start, start } }, { "unknown", { start, start } } }, start);
        directory.requireAnswer("n4", start);
        EXPECT_FALSE(directory.isWhollyEvacuated("s"));
        EXPECT_FALSE(directory.isWhollyEvacuated("other"));
        directory.setEvacuated({ { "z1", { start, start } }, { "z2", { start, start } } }, start);
        EXPECT_TRUE(directory.isWhollyEvacuated("s"));
        EXPECT_EQ(directory.view("s").pick({}, start), std::nullopt);
        add("n5", "z3");
        EXPECT_FALSE(directory.isWhollyEvacuated("s"));
        directory.remove("n5");
        EXPECT_TRUE(directory.isWhollyEvacuated("s"));
        EXPECT_TRUE(directory.hasInstanceIn("z2"));
        EXPECT_FALSE(directory.hasInstanceIn("z3"));
    }

} // namespace
} // namespace heatherdrift
