#include "control/tests/fake_mesh.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    /// Maximum time until every partition is served again after a loss.
    constexpr duration recoveryTimeout = seconds(3);

    struct fault_case {
        const char* name;
        /// Causes the fault; may run the mesh.
        void (*cause)(fake_mesh&);
        /// Time after which every partition must be served again.
        duration recovery;
    };

    void killOwner(fake_mesh& mesh) { mesh.at(mesh.anyOwner()).kill(); }

    void killZone(fake_mesh& mesh)
    {
        const auto zone = mesh.at(mesh.anyOwner()).zone;
        for (int i = 0; i < mesh.size(); ++i) {
            if (mesh.at(i).zone == zone)
                mesh.at(i).kill();
        }
    }

    void pauseOwner(fake_mesh& mesh)
    {
        auto& owner = mesh.at(mesh.anyOwner());
        owner.pause();
        mesh.run(seconds(5));
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        owner.resume();
    }

    void cutOwnerFromPeers(fake_mesh& mesh)
    {
        const int owner = mesh.anyOwner();
        mesh.cutLinks([owner](const fake_process& from, const fake_process& to) {
            return from.index == owner || to.index == owner;
        });
    }

    void loseAnswersInTakeover(fake_mesh& mesh)
    {
        // For each row, the responses of the first two writes are lost after the writes took effect.
        auto lost = std::make_shared<std::map<std::string, int>>();
        mesh.store.chooseFault = [lost](const store_transaction& transaction) {
            const auto& row = transaction.writes.front().key;
            return (*lost)[row.table + "/" + row.key]++ < 2 ? commit_fault::lose_after : commit_fault::none;
        };
        killOwner(mesh);
    }

    void loseAnswersWithLateEffect(fake_mesh& mesh)
    {
        auto count = std::make_shared<int>(0);
        mesh.store.lateEffect = milliseconds(300);
        mesh.store.chooseFault = [count](const store_transaction&) {
            return ++*count % 2 == 1 ? commit_fault::lose_and_delay : commit_fault::none;
        };
        killOwner(mesh);
    }

    void loseStoreInTakeover(fake_mesh& mesh)
    {
        killOwner(mesh);
        mesh.run(milliseconds(1250));
        mesh.store.isDown = true;
        mesh.run(seconds(20));
        mesh.store.isDown = false;
    }

    void declareLostTwice(fake_mesh& mesh)
    {
        const int owner = mesh.anyOwner();
        mesh.at(owner).kill();
        const int first = (owner + 1) % mesh.size();
        const int second = (owner + 2) % mesh.size();
        EXPECT_TRUE(mesh.at(first).node().declareLost(mesh.at(owner).id()).has_value());
        EXPECT_TRUE(mesh.at(second).node().declareLost(mesh.at(owner).id()).has_value());
    }

    void killOwnerAndItsFencer(fake_mesh& mesh)
    {
        const int owner = mesh.anyOwner();
        mesh.at(owner).kill();
        for (int waited = 0; waited < 3000; waited += 5) {
            mesh.run(milliseconds(5));
            for (int i = 0; i < mesh.size(); ++i) {
                if (mesh.at(i).isAlive() && mesh.at(i).node().status().takeoversInProgress > 0) {
                    mesh.at(i).kill();
                    return;
                }
            }
        }
        ADD_FAILURE() << "no takeover started within 3 s";
    }

    void killOwnerWithSlowStore(fake_mesh& mesh)
    {
        mesh.store.chooseLatency = [] { return milliseconds(75); };
        killOwner(mesh);
    }

    void restartAll(fake_mesh& mesh)
    {
        for (int i = 0; i < mesh.size(); ++i)
            mesh.at(i).kill();
        mesh.startAll();
    }

    void restartOwner(fake_mesh& mesh)
    {
        auto& owner = mesh.at(mesh.anyOwner());
        owner.kill();
        owner.start();
    }

    void killMostWitnesses(fake_mesh& mesh)
    {
        const auto witnesses = mesh.at(mesh.anyOwner()).node().status().witnesses;
        ASSERT_GE(witnesses.size(), 3u);
        for (std::size_t i = 0; i < witnesses.size() / 2 + 1; ++i)
            mesh.at(std::stoi(witnesses[i].id.substr(1))).kill();
    }

    void killOwnerAndPauseAnother(fake_mesh& mesh)
    {
        const int owner = mesh.anyOwner();
        mesh.at(owner).kill();
        const int other = mesh.anyOwner();
        mesh.at(other).pause();
        mesh.run(seconds(6));
        mesh.at(other).resume();
    }

    const fault_case faultCases[] = {
        { "instance killed", &killOwner, recoveryTimeout },
        { "instance killed with a slow store", &killOwnerWithSlowStore, recoveryTimeout },
        { "instance restarted at once", &restartOwner, recoveryTimeout },
        { "process paused past its lease and continued", &pauseOwner, duration::zero() },
        { "node cut off from all peers", &cutOwnerFromPeers, recoveryTimeout },
        { "answers lost at each step of the takeover", &loseAnswersInTakeover, seconds(10) },
        { "answers lost and writes late in the takeover", &loseAnswersWithLateEffect, seconds(10) },
        { "store lost in the middle of a takeover", &loseStoreInTakeover, seconds(10) },
        { "two takeovers of one holder", &declareLostTwice, seconds(5) },
        { "fencing instance lost in the takeover", &killOwnerAndItsFencer, seconds(10) },
        { "availability zone lost", &killZone, recoveryTimeout },
        { "all instances restarted at once", &restartAll, seconds(10) },
        { "most witnesses of a holder lost at once", &killMostWitnesses, seconds(10) },
        { "one instance killed and another paused", &killOwnerAndPauseAnother, seconds(10) },
    };

    class ControlFaultTest : public testing::TestWithParam<fault_case> { };

    // Guards against two simultaneous owners of a partition, and against partitions that stay without an owner.
    TEST_P(ControlFaultTest, OneOwnerAlwaysAndServedAgain)
    {
        fake_mesh mesh(3, 3);
        mesh.startAll();
        mesh.applyConfiguration();
        ASSERT_TRUE(mesh.runUntilServed(seconds(60)));
        mesh.run(seconds(30));
        ASSERT_EQ(mesh.unservedPartitions(), 0);
        GetParam().cause(mesh);
        mesh.run(GetParam().recovery);
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        mesh.run(seconds(10));
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        EXPECT_TRUE(mesh.violations.empty()) << mesh.violations.front();
    }

    INSTANTIATE_TEST_SUITE_P(Faults, ControlFaultTest, testing::ValuesIn(faultCases), [](const auto& info) {
        std::string name = info.param.name;
        std::ranges::replace(name, ' ', '_');
        return name;
    });

    // Guards against a check for two owners that never fails: a takeover that does not wait until the grants have
    // expired must cause violations.
    TEST(ControlFaultCheck, DetectsTwoOwners)
    {
        lease_settings settings;
        settings.mutations.noWait = true;
        fake_mesh mesh(3, 3, settings);
        mesh.startAll();
        mesh.applyConfiguration();
        ASSERT_TRUE(mesh.runUntilServed(seconds(60)));
        mesh.run(seconds(30));
        cutOwnerFromPeers(mesh);
        mesh.run(seconds(10));
        EXPECT_FALSE(mesh.violations.empty());
    }

    class ControlNodeTest : public testing::Test {
    protected:
        void SetUp() override
        {
            mesh.startAll();
            mesh.applyConfiguration();
            ASSERT_TRUE(mesh.runUntilServed(seconds(60)));
            mesh.run(seconds(30));
        }

        /// Runs the mesh and expects every partition to be served at each 10 ms step.
        void runServed(duration length)
        {
            for (duration passed {}; passed < length; passed += milliseconds(10)) {
                mesh.run(milliseconds(10));
                ASSERT_EQ(mesh.unservedPartitions(), 0);
            }
        }

        fake_mesh mesh { 3, 3 };
    };

    // Guards against lease renewals that depend on the store.
    TEST_F(ControlNodeTest, StoreOutageDoesNotInterruptService)
    {
        mesh.store.isDown = true;
        runServed(seconds(60));
        mesh.store.isDown = false;
        runServed(seconds(10));
        EXPECT_TRUE(mesh.violations.empty());
    }

    TEST_F(ControlNodeTest, SlowStoreDoesNotInterruptService)
    {
        mesh.store.chooseLatency = [] { return milliseconds(1500); };
        runServed(seconds(60));
        EXPECT_TRUE(mesh.violations.empty());
    }

    TEST_F(ControlNodeTest, NodeCutOffFromStoreOnlyKeepsServing)
    {
        mesh.at(mesh.anyOwner()).isCutFromStore = true;
        runServed(seconds(30));
        EXPECT_TRUE(mesh.violations.empty());
    }

    // Guards against a drain that leaves partitions behind or never completes.
    TEST_F(ControlNodeTest, DrainHandsOverEverythingAndLeaves)
    {
        auto& owner = mesh.at(mesh.anyOwner());
        owner.node().drain();
        mesh.run(seconds(5));
        EXPECT_TRUE(owner.hasLeft());
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        for (partition_index partition = 0; partition < fake_mesh::partitions; ++partition)
            EXPECT_FALSE(owner.canServe(partition));
        EXPECT_TRUE(mesh.violations.empty());
    }

    // Guards against a move after whose lost commit response both instances serve the partition.
    TEST_F(ControlNodeTest, DrainWithLostAnswersKeepsOneOwner)
    {
        int commits = 0;
        mesh.store.lateEffect = milliseconds(200);
        mesh.store.chooseFault = [&](const store_transaction&) {
            constexpr commit_fault faults[] = { commit_fault::lose_after, commit_fault::lose_before,
                commit_fault::lose_and_delay, commit_fault::none };
            return faults[static_cast<std::size_t>(commits++) % std::size(faults)];
        };
        auto& owner = mesh.at(mesh.anyOwner());
        owner.node().drain();
        mesh.run(seconds(60));
        EXPECT_TRUE(owner.hasLeft());
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        EXPECT_TRUE(mesh.violations.empty());
    }

    TEST_F(ControlNodeTest, LostBackendServerHandsItsPartitionsOver)
    {
        auto& owner = mesh.at(mesh.anyOwner());
        owner.loseBackend();
        mesh.run(seconds(3));
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        for (partition_index partition = 0; partition < fake_mesh::partitions; ++partition)
            EXPECT_FALSE(owner.owns(partition));
    }

    // Guards against a node that keeps serving with an old configuration: within 4 s it must have the new one or lose
    // its lease.
    TEST_F(ControlNodeTest, ConfigurationIsInForceEverywhereOrTheNodeStops)
    {
        const int cut = mesh.anyOwner() == 0 ? 1 : mesh.anyOwner();
        auto isolated
            = [cut](const fake_process& from, const fake_process& to) { return from.index == cut || to.index == cut; };
        mesh.at(cut).isCutFromStore = true;
        mesh.cutLinks(isolated);
        mesh.applyConfiguration([](configuration& next) { next.pools.front().slots = 20; });
        mesh.run(seconds(3));
        const auto version = mesh.at(0).node().status().configurationVersion;
        for (int i = 0; i < mesh.size(); ++i) {
            const auto status = mesh.at(i).node().status();
            EXPECT_TRUE(status.configurationVersion == version || !status.hasLease) << i;
        }
        mesh.cutLinks({});
        mesh.at(cut).isCutFromStore = false;
        mesh.run(seconds(15));
        EXPECT_EQ(mesh.at(cut).node().status().configurationVersion, version);
        EXPECT_TRUE(mesh.violations.empty());
    }

    // Guards against two concurrent configuration changes on one base version that are both reported as applied.
    TEST_F(ControlNodeTest, OneOfTwoConcurrentConfigurationChangesWins)
    {
        const auto base = mesh.at(0).node().status().configurationVersion;
        const auto current = *mesh.at(0).node().snapshot()->configuration;
        std::vector<result<std::int64_t>> outcomes;
        for (int operatorIndex = 0; operatorIndex < 2; ++operatorIndex) {
            auto next = current;
            next.pools.front().slots = 30 + operatorIndex;
            mesh.at(operatorIndex).node().applyConfiguration(next, base, [&](const result<std::int64_t>& value) {
                outcomes.push_back(value);
            });
        }
        mesh.run(seconds(2));
        ASSERT_EQ(outcomes.size(), 2u);
        EXPECT_NE(outcomes[0].has_value(), outcomes[1].has_value());
        const auto& loser = outcomes[0].has_error() ? outcomes[0] : outcomes[1];
        EXPECT_EQ(loser.error().code, error_code::conflict);
        EXPECT_NE(loser.error().message.find(std::to_string(base + 1)), std::string::npos) << loser.error().message;
    }

    // Guards against a first assignment that gives most partitions to the members that were seen first because of their
    // capacity ramps: six instances of a pool got 25, 25, 4, 4, 3 and 3 of 64 partitions.
    TEST(ControlNodeStart, FirstAssignmentIsBalanced)
    {
        fake_mesh mesh(3, 2);
        mesh.startAll();
        mesh.applyConfiguration();
        ASSERT_TRUE(mesh.runUntilServed(seconds(60)));
        for (int i = 0; i < mesh.size(); ++i) {
            int owned = 0;
            for (partition_index partition = 0; partition < fake_mesh::partitions; ++partition)
                owned += mesh.at(i).owns(partition);
            EXPECT_LE(owned, 3) << i; // 16 partitions over 6 instances.
        }
    }

    // Guards against a single instance that cannot serve, and against a second one whose joining interrupts its lease.
    TEST(ControlNodeStart, FirstInstanceServesAloneAndAddsWitnessLater)
    {
        fake_mesh mesh(2, 1);
        mesh.at(0).start();
        mesh.applyConfiguration();
        ASSERT_TRUE(mesh.runUntilServed(seconds(30)));
        mesh.at(1).start();
        mesh.run(seconds(30));
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        EXPECT_EQ(mesh.at(0).node().status().witnesses.size(), 1u);
        mesh.at(0).kill();
        mesh.run(recoveryTimeout);
        EXPECT_EQ(mesh.unservedPartitions(), 0);
        EXPECT_TRUE(mesh.violations.empty());
    }

} // namespace
} // namespace heatherdrift
