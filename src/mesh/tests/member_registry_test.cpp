#include "mesh/tests/member_registry_fixture.h"

namespace heatherdrift {
namespace {

    // Guards against a backend server that is used again after its departure was acknowledged: the node had restarted
    // after the last heartbeat, forgot the departure, and took a late heartbeat for that of a new backend server.
    TEST_F(MemberRegistryTest, LateHeartbeatAfterADepartureDoesNotBringTheBackendServerBack)
    {
        registry.onTableRead(1);
        depart();
        send({ "PUT", "/", {}, "" });
        awaitLeaving();
        EXPECT_TRUE(announcements.isLeaving());
        EXPECT_TRUE(gate.isDraining());
        store.answer(makeVersion(1, 50));
        EXPECT_EQ(awaitStatus(), 200);
        startedAt = 6;
        heartbeat();
        EXPECT_FALSE(announcements.isLeaving()) << "a later life has started after the departure";
        EXPECT_FALSE(gate.isDraining());
    }

    // Guards against the same by the row of the earlier process, which is read after the departure, and against an
    // acknowledgement that only this process remembers.
    TEST_F(MemberRegistryTest, RowOfADepartedBackendServerIsNotAdopted)
    {
        send({ "DELETE", "/i1", {}, "" });
        awaitLeaving();
        registry.onRowChanged(row(ownRow(false), 50));
        EXPECT_TRUE(gate.backend().life.empty());
        registry.onTableRead(1);
        ASSERT_EQ(store.writes.size(), 1u);
        EXPECT_EQ(written(51).value, toJson(ownRow(true)));
        loop.runReady();
        EXPECT_EQ(status, 0) << "acknowledged before the departure was written";
        store.answer(makeVersion(1, 51));
        EXPECT_EQ(awaitStatus(), 200);
    }

    // Guards against a departure that does not close the gate, because the backend server is known only from the row of
    // the earlier process.
    TEST_F(MemberRegistryTest, DepartureClosesTheGateOfABackendServerKnownFromItsRow)
    {
        registry.onRowChanged(row(ownRow(false), 50));
        registry.onTableRead(1);
        EXPECT_EQ(gate.backend().id, "i1");
        send({ "DELETE", "/i1", {}, "" });
        awaitLeaving();
        EXPECT_TRUE(gate.isDraining());
        ASSERT_EQ(store.writes.size(), 1u);
        EXPECT_EQ(written(51).value, toJson(ownRow(true)));
        store.answer(makeVersion(1, 51));
        EXPECT_EQ(awaitStatus(), 200);
    }

    // Guards against requests to a backend server that has left: its node was killed after the acknowledgement, and the
    // next process took a late heartbeat of the same life for a first one.
    TEST_F(MemberRegistryTest, LateHeartbeatAfterARestartDoesNotBringADepartedBackendServerBack)
    {
        registry.onRowChanged(row(ownRow(true), 50));
        registry.onTableRead(1);
        heartbeat();
        EXPECT_TRUE(announcements.isLeaving());
        EXPECT_TRUE(gate.isDraining());
        startedAt = 6;
        heartbeat();
        EXPECT_FALSE(announcements.isLeaving()) << "the same id with a later start is a new life";
        EXPECT_FALSE(gate.isDraining());
    }

    // Guards against the same if the late heartbeat arrives before the node has read its row.
    TEST_F(MemberRegistryTest, DepartureInTheRowCountsForAHeartbeatThatCameBeforeIt)
    {
        heartbeat();
        EXPECT_FALSE(gate.isDraining());
        registry.onRowChanged(row(ownRow(true), 50));
        EXPECT_TRUE(announcements.isLeaving());
        EXPECT_TRUE(gate.isDraining());
    }

    // Guards against a departure that is forgotten at the second restart, because the first process after it wrote a
    // row without the backend server.
    TEST_F(MemberRegistryTest, DepartureStaysInTheRowOfLaterProcesses)
    {
        registry.onRowChanged(row(ownRow(true), 50));
        registry.onTableRead(1);
        loop.runUntil([this] { return !store.writes.empty(); });
        EXPECT_EQ(written(51).value, toJson(ownRow(true)));
    }

    // Guards against an acknowledged departure that no later process knows: the node was killed while the store was
    // away.
    TEST_F(MemberRegistryTest, DepartureThatTheStoreDoesNotTakeIsNotAcknowledged)
    {
        registry.onTableRead(1);
        heartbeat();
        store.answer(makeVersion(1, 50));
        isDraining = true;
        send({ "PUT", "/", {}, "" });
        EXPECT_EQ(awaitStatus(), 503);
        EXPECT_TRUE(gate.isDraining()) << "the drain begins all the same";
        send({ "DELETE", "/i1", {}, "" });
        EXPECT_EQ(awaitStatus(), 503);
        store.answer(makeVersion(1, 51));
        depart();
        heartbeat();
    }

    // Guards against a drain that is undone by a heartbeat of the same life that was sent before it.
    TEST_F(MemberRegistryTest, ReadyHeartbeatSentBeforeTheDrainIsOutdated)
    {
        registry.onTableRead(1);
        heartbeat();
        store.answer(makeVersion(1, 50));
        isDraining = true;
        send({ "PUT", "/", {}, "" });
        awaitLeaving();
        store.answer(makeVersion(1, 51));
        EXPECT_EQ(awaitStatus(), 200);
        isDraining = false;
        heartbeats = 0;
        heartbeat();
        EXPECT_TRUE(announcements.isLeaving());
        EXPECT_EQ(written(51).value, toJson(registry.ownMember()));
    }

    // Guards against two holders of one key after a restart: a late heartbeat of the former life was taken for the
    // first one of a new life, and the present life counted as ended.
    TEST_F(MemberRegistryTest, LateHeartbeatOfAFormerLifeIsOutdatedAfterARestart)
    {
        registry.onRowChanged(row(ownRow(false), 50));
        registry.onTableRead(1);
        startedAt = 4;
        heartbeat();
        EXPECT_FALSE(announcements.current());
        EXPECT_EQ(gate.backend().life, "i1@5");
    }

    // Guards against the same if the late heartbeat arrives before the node has read its row.
    TEST_F(MemberRegistryTest, RowReplacesTheFormerLifeOfALateHeartbeat)
    {
        startedAt = 4;
        heartbeat();
        EXPECT_EQ(gate.backend().life, "i1@4");
        registry.onRowChanged(row(ownRow(false), 50));
        EXPECT_FALSE(announcements.current());
        EXPECT_EQ(gate.backend().life, "i1@5");
    }

    // Guards against a late shutdown notice of the former backend server that closes the gate of the present one.
    TEST_F(MemberRegistryTest, LateDepartureOfTheFormerBackendServerDoesNotCloseTheGate)
    {
        auto former = ownRow(false);
        former.backendId = "i0";
        former.life = "i0@4";
        registry.onRowChanged(row(former, 50));
        registry.onTableRead(1);
        heartbeat();
        send({ "DELETE", "/i0", {}, "" });
        EXPECT_EQ(awaitStatus(), 200);
        EXPECT_EQ(gate.backend().id, "i1");
        EXPECT_FALSE(gate.isDraining());
    }

    // Guards against a departure that is acknowledged by a node that cannot close the gate of the backend server.
    TEST_F(MemberRegistryTest, DepartureOfAnotherNodesBackendServerIsNotAcknowledged)
    {
        auto other = member("n2", 2, "i2@7");
        other.backendId = "i2";
        registry.onRowChanged(row(other, 50));
        registry.onTableRead(1);
        heartbeat();
        send({ "DELETE", "/i2", {}, "" });
        EXPECT_EQ(awaitStatus(), 503);
        EXPECT_FALSE(gate.isDraining());
    }

    // Guards against a removal that each node writes: the loss of an instance among 84 led to 242 writes in a second,
    // beside which owners could not renew their keys.
    TEST_F(MemberRegistryTest, RowThatAnotherNodeRemovesIsNotRemovedAgain)
    {
        for (int i = 2; i < 20; ++i)
            registry.onRowChanged(row(member("n" + std::to_string(i), 2, "i2@7"), 50 + i));
        registry.removeLost("n2");
        EXPECT_EQ(directory.find("n2"), nullptr);
        EXPECT_TRUE(store.writes.empty());
        registry.onRowChanged(missing("n2", 400));
        registry.removeLost("n3");
        loop.runUntil([this] { return !store.writes.empty(); });
        ASSERT_EQ(store.writes.size(), 1u);
        EXPECT_EQ(store.writes[0].changes.at(0).key.key, "n3");
    }

    // Guards against the removal of the row of a node that was found again before.
    TEST_F(MemberRegistryTest, RowThatIsWrittenAgainIsNotRemoved)
    {
        registry.onRowChanged(row(member("n2", 2, "i2@7"), 50));
        registry.onRowChanged(row(member("n3", 3, "i3@7"), 51));
        registry.removeLost("n2");
        registry.onRowChanged(row(member("n2", 2, "i2@8"), 60));
        registry.removeLost("n3");
        loop.runUntil([this] { return !store.writes.empty(); });
        for (int i = 0; i < 20; ++i)
            loop.runReady();
        ASSERT_EQ(store.writes.size(), 1u);
        EXPECT_EQ(store.writes[0].changes.at(0).key.key, "n3");
        EXPECT_NE(directory.find("n2"), nullptr);
    }

    // Guards against removals by all nodes of a large mesh that miss a lost one at the same moment, and against a row
    // that stays for long where only one node misses it.
    TEST(RemovalDelay, FewNodesWriteBeforeTheyLearnOfTheFirstRemoval)
    {
        const auto newsTime = std::chrono::milliseconds(400);
        for (const std::size_t nodes : { 3u, 14u, 84u, 195u, 690u }) {
            const auto random = seededRandom(nodes);
            std::vector<duration> delays;
            for (std::size_t i = 0; i < nodes; ++i)
                delays.push_back(removalDelay(nodes, random()));
            const auto first = *std::ranges::min_element(delays);
            const auto writers
                = std::ranges::count_if(delays, [&](duration delay) { return delay < first + newsTime; });
            EXPECT_LE(writers, nodes > 200 ? 60 : 20) << nodes;
            EXPECT_LE(*std::ranges::max_element(delays), std::chrono::seconds(8)) << nodes;
        }
    }

    // Guards against a node that gets no more requests because the restored store has lost its row.
    TEST_F(MemberRegistryTest, NodeWhoseRowWasLostByARestoreStaysKnown)
    {
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(1, 50)));
        registry.onRowMissing(missing("n2", makeVersion(2, 30)));
        registry.onTableReplaced(2);
        ASSERT_NE(directory.find("n2"), nullptr);
        registry.onRowChanged(missing("n2", makeVersion(2, 60)));
        EXPECT_EQ(directory.find("n2"), nullptr) << "a removal in the later era is one";
    }

    // Guards against requests to a backend server that is leaving or has been replaced, because the restored store has
    // an older row of its node.
    TEST_F(MemberRegistryTest, OlderRowOfARestoreDoesNotUndoWhatIsKnown)
    {
        auto draining = member("n2", 2, "i2@7");
        draining.isDraining = true;
        registry.onRowChanged(row(draining, makeVersion(1, 50)));
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(2, 30)));
        EXPECT_TRUE(directory.find("n2")->member.isDraining);
        registry.onRowChanged(row(member("n3", 3, "i3@9"), makeVersion(1, 51)));
        registry.onRowChanged(row(member("n3", 3, "i3@4"), makeVersion(2, 31)));
        EXPECT_EQ(directory.find("n3")->member.life, "i3@9");
        registry.onRowChanged(row(member("n3", 3, ""), makeVersion(2, 60)));
        EXPECT_EQ(directory.find("n3")->member.life, "") << "later changes count";
        registry.onRowChanged(row(member("n2", 2, "i2@8"), makeVersion(2, 61)));
        EXPECT_FALSE(directory.find("n2")->member.isDraining);
    }

    // Guards against requests and keys for a node that had ended before a restore brought its row back, and against a
    // node that stays without them although it answers.
    TEST_F(MemberRegistryTest, NodeThatARestoreBringsBackHasToAnswerFirst)
    {
        const auto available = [this] {
            std::vector<instance_id> out;
            for (const auto* peer : directory.available("s", boot_clock::now()))
                out.push_back(peer->member.node);
            return out;
        };
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(1, 50)));
        registry.onTableRead(1);
        registry.onRowChanged(row(member("n3", 3, "i3@4"), makeVersion(1, 51)));
        EXPECT_EQ(available(), (std::vector<instance_id> { "n2", "n3" })) << "rows of the same era count at once";
        registry.onRowChanged(missing("n3", makeVersion(1, 52)));
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(2, 50)));
        registry.onRowChanged(row(member("n3", 3, "i3@4"), makeVersion(2, 51)));
        registry.onTableReplaced(2);
        EXPECT_EQ(available(), (std::vector<instance_id> { "n2" }));
        EXPECT_EQ(
            directory.silentSince(boot_clock::now() + std::chrono::seconds(1), 1), (std::vector<instance_id> { "n3" }))
            << "it is probed like other silent nodes";
        directory.recordAnswer("n3", std::nullopt, boot_clock::now());
        EXPECT_EQ(available(), (std::vector<instance_id> { "n2", "n3" }));
        registry.onRowChanged(row(member("n4", 4, "i4@4"), makeVersion(2, 60)));
        EXPECT_EQ(available(), (std::vector<instance_id> { "n2", "n3", "n4" }));
    }

    // Guards against a node that stays unknown to others after its row was lost, also if it has never seen the row in
    // its own copy of the table.
    TEST_F(MemberRegistryTest, OwnRowLostByARestoreIsWrittenAgain)
    {
        registry.onTableRead(1);
        heartbeat();
        ASSERT_EQ(store.writes.size(), 1u);
        store.answer(makeVersion(1, 50));
        registry.onTableReplaced(2);
        ASSERT_EQ(store.writes.size(), 2u);
        EXPECT_EQ(store.writes[1], store.writes[0]);
        store.answer(makeVersion(2, 31));
        registry.onRowChanged(written(makeVersion(2, 31)));
        registry.onTableReplaced(2);
        EXPECT_EQ(store.writes.size(), 2u);
    }

    // Guards against a needless write of each node after a restore that has not changed its row.
    TEST_F(MemberRegistryTest, OwnRowThatARestoreHasKeptIsNotWritten)
    {
        registry.onTableRead(1);
        heartbeat();
        store.answer(makeVersion(1, 50));
        registry.onRowChanged(written(makeVersion(2, 50)));
        registry.onTableReplaced(2);
        EXPECT_EQ(store.writes.size(), 1u);
    }

    // Guards against a row that stays lost because its write was answered only after the node had got the restored
    // table from another node.
    TEST_F(MemberRegistryTest, WriteOfTheOwnRowInAnEarlierEraIsRepeated)
    {
        registry.onTableRead(1);
        heartbeat();
        registry.onTableReplaced(2);
        store.answer(makeVersion(1, 50));
        loop.runUntil([&] { return store.writes.size() == 2; });
        store.answer(makeVersion(2, 40));
        EXPECT_EQ(store.writes.size(), 2u);
    }

    // Guards against the life in a restored row being taken for the present one by a node that has written since that
    // it has no backend server.
    TEST_F(MemberRegistryTest, RestoredOwnRowIsNotAdoptedOnceReplaced)
    {
        registry.onTableRead(1);
        loop.runUntil([&] { return !store.writes.empty(); });
        store.answer(makeVersion(1, 50));
        registry.onRowChanged(row(member("n1", 1, "i1@2"), makeVersion(2, 30)));
        EXPECT_EQ(gate.backend().life, "");
        ASSERT_EQ(store.writes.size(), 2u);
        EXPECT_EQ(store.writes[1], store.writes[0]);
    }

    bool removes(const conditional_write& write, const instance_id& node)
    {
        return write.changes.at(0).key.key == node && !write.changes.at(0).value;
    }

    // Guards against a wrong proof that a backend server has ended, so that its keys get a second owner: after a
    // restore the row of an earlier node at the address is back, with a version above the one known of the present
    // node.
    TEST_F(MemberRegistryTest, RestoredRowDoesNotReplaceTheNodeAtItsAddress)
    {
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(1, 50)));
        registry.onRowChanged(row(member("n3", 2, "i3@4"), makeVersion(2, 30)));
        EXPECT_TRUE(store.writes.empty());
        ASSERT_NE(directory.find("n2"), nullptr);
        EXPECT_EQ(probed, (std::vector<instance_id> { "n3", "n2" }));
    }

    // Guards against the same wrong proof when the restored table also has an older row of the present node, whose
    // version does not belong to what is known of it.
    TEST_F(MemberRegistryTest, VersionOfAnOlderRowIsNoProofAgainstTheKnownState)
    {
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(1, 50)));
        registry.onRowChanged(row(member("n2", 4, "i2@3"), makeVersion(2, 20)));
        registry.onRowChanged(row(member("n3", 2, "i3@4"), makeVersion(2, 30)));
        EXPECT_TRUE(store.writes.empty());
        ASSERT_NE(directory.find("n2"), nullptr);
        EXPECT_EQ(probed, (std::vector<instance_id> { "n3", "n2" }));
    }

    // Guards against a late write of an earlier node at an address that is taken for the end of the present node and
    // its backend server, whose keys would be given to another one, and against an earlier node that stays known. Of
    // both, only the node that answers at the address is known to be there.
    TEST_F(MemberRegistryTest, TwoRowsWithOneAddressAreProbed)
    {
        registry.onRowChanged(row(member("n3", 2, "i3@4"), makeVersion(2, 30)));
        registry.onRowChanged(row(member("n2", 2, "i2@7"), makeVersion(2, 31)));
        EXPECT_TRUE(store.writes.empty());
        EXPECT_NE(directory.find("n3"), nullptr);
        EXPECT_EQ(probed, (std::vector<instance_id> { "n2", "n3" }));
        registry.onNodeReplaced(
            directory.question("n3", boot_clock::now())); // The answer to the probe came from another node.
        loop.runUntil([this] { return !store.writes.empty(); });
        ASSERT_EQ(store.writes.size(), 1u);
        EXPECT_TRUE(removes(store.writes[0], "n3"));
        EXPECT_EQ(directory.find("n3"), nullptr);
    }

    // Guards against the row of an earlier node at this node's own address that is never noticed.
    TEST_F(MemberRegistryTest, NodeAtTheOwnAddressIsProbed)
    {
        registry.onTableRead(1);
        heartbeat();
        registry.onRowChanged(row(member("n3", 1, "i3@4"), makeVersion(2, 30)));
        EXPECT_EQ(probed, (std::vector<instance_id> { "n3" }));
    }

} // namespace
} // namespace heatherdrift
