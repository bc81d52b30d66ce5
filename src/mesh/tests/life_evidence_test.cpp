#include "mesh/internal/peer_watch.h"
#include "mesh/tests/member_registry_fixture.h"
#include "mesh/tests/simulated_store.h"
#include "mesh/tests/test_port.h"

#include <thread>

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;
    using std::chrono::seconds;

    // Guards against keys that are taken from a backend server without waiting, because a connection to the one before
    // it at the same address was refused. The node learns of the refusal in a later turn of its event loop than of
    // heartbeats that arrived at the same time.
    TEST_F(MemberRegistryTest, RefusedConnectionToAnEarlierLifeDoesNotEndThePresentOne)
    {
        registry.onTableRead(1);
        heartbeat();
        const backend_question question { announcements.current()->life(), boot_clock::now() };
        id = "i2";
        startedAt = 9;
        heartbeat();
        announcements.onBackendRefused(question);
        EXPECT_FALSE(announcements.hasEnded());
        EXPECT_EQ(gate.backend().id, "i2");
    }

    // Guards against the same where the life has sent a heartbeat since the connection was started, as one that begins
    // to listen after its first heartbeat.
    TEST_F(MemberRegistryTest, RefusedConnectionBeforeAHeartbeatDoesNotEndItsLife)
    {
        registry.onTableRead(1);
        heartbeat();
        const backend_question question { announcements.current()->life(), boot_clock::now() };
        std::this_thread::sleep_for(milliseconds(1));
        heartbeat();
        announcements.onBackendRefused(question);
        EXPECT_FALSE(announcements.hasEnded());
        std::this_thread::sleep_for(milliseconds(1));
        announcements.onBackendRefused({ announcements.current()->life(), boot_clock::now() });
        EXPECT_TRUE(announcements.hasEnded());
    }

    // Guards against a late heartbeat of an earlier life that replaces the present one, since a connection to the life
    // before was refused: an unknown life is taken at once when the present one has ended.
    TEST_F(MemberRegistryTest, RefusedConnectionToAnEarlierLifeDoesNotAdmitALateHeartbeat)
    {
        registry.onTableRead(1);
        heartbeat();
        const backend_question question { announcements.current()->life(), boot_clock::now() };
        id = "i2";
        startedAt = 9;
        heartbeat();
        announcements.onBackendRefused(question);
        id = "i0";
        startedAt = 2;
        heartbeat();
        EXPECT_EQ(announcements.current()->id, "i2");
    }

    // Guards against keys that are given to others while a backend server that leaves still holds them and works on
    // requests for them: it refuses new connections before it ends.
    TEST_F(MemberRegistryTest, RefusedConnectionToALeavingBackendServerDoesNotEndIt)
    {
        registry.onTableRead(1);
        heartbeat();
        store.answer(makeVersion(1, 50));
        isDraining = true;
        send({ "PUT", "/", {}, "" });
        awaitLeaving();
        store.answer(makeVersion(1, 51));
        EXPECT_EQ(awaitStatus(), 200);
        std::this_thread::sleep_for(milliseconds(1));
        const auto refuse = [&] {
            announcements.onBackendRefused({ announcements.current()->life(), boot_clock::now() });
        };
        refuse();
        EXPECT_FALSE(announcements.hasEnded());
        std::this_thread::sleep_for(milliseconds(3600));
        refuse();
        EXPECT_TRUE(announcements.hasEnded()) << "its holds have ended";
    }

    // Guards against the same after a restart of the node: only the row of the earlier process shows that the backend
    // server leaves, if it has announced that once.
    TEST_F(MemberRegistryTest, RefusalBeforeTheRowIsReadDoesNotEndALife)
    {
        heartbeat();
        std::this_thread::sleep_for(milliseconds(1));
        announcements.onBackendRefused({ announcements.current()->life(), boot_clock::now() });
        EXPECT_FALSE(announcements.hasEnded());
        registry.onRowChanged(row(ownRow(true), 30));
        registry.onTableRead(1);
        EXPECT_FALSE(announcements.hasEnded());
        EXPECT_TRUE(announcements.isLeaving());
    }

    // Guards against the same where the node does not know that the backend server leaves: a connection that is still
    // open shows that it runs.
    TEST_F(MemberRegistryTest, RefusedConnectionBesideAnOpenOneDoesNotEndALife)
    {
        registry.onTableRead(1);
        heartbeat();
        std::this_thread::sleep_for(milliseconds(1));
        announcements.onBackendRefused({ announcements.current()->life(), boot_clock::now(), true });
        EXPECT_FALSE(announcements.hasEnded());
    }

    // Guards against keys that are taken from a backend server without waiting, because another node responds at the
    // address that its node had before: the question was sent before the node was announced at its present address.
    TEST_F(MemberRegistryTest, AnotherNodeAtAFormerAddressDoesNotEndThePresentLife)
    {
        registry.onRowChanged(row(member("n3", 2, "i3@4"), 30));
        const auto question = directory.question("n3", boot_clock::now());
        registry.onRowChanged(row(member("n3", 3, "i3@8"), 31));
        registry.onNodeReplaced(question);
        ASSERT_NE(directory.find("n3"), nullptr);
        EXPECT_EQ(directory.find("n3")->member.life, "i3@8");
        EXPECT_EQ(probed, (std::vector<instance_id> { "n3" })) << "the present address is not asked";
    }

    // Guards against the same where the node was removed and announced again meanwhile.
    TEST_F(MemberRegistryTest, AnotherNodeAtAFormerAddressDoesNotEndANodeThatWasAnnouncedAgain)
    {
        registry.onRowChanged(row(member("n3", 2, "i3@4"), 30));
        const auto question = directory.question("n3", boot_clock::now());
        registry.onRowChanged(missing("n3", 31));
        registry.onRowChanged(row(member("n3", 2, "i3@4"), 32));
        registry.onNodeReplaced(question);
        EXPECT_NE(directory.find("n3"), nullptr);
    }

    // Guards against keys that are taken from a backend server again and again without waiting: another node had
    // responded at the address of its node, which has been announced again since, at another address.
    TEST_F(MemberRegistryTest, NodeThatIsAnnouncedAgainKeepsItsKeys)
    {
        const life_name life = "i3@4";
        registry.onRowChanged(row(member("n3", 2, life), 30));
        registry.onNodeReplaced(directory.question("n3", boot_clock::now()));
        registry.onRowChanged(row(member("n3", 2, life), 30)); // As the table is read again.
        const auto version = makeVersion(1, 40);
        keys.adoptNewer(range_map().assign({ 0, lastKey }, life, 1), version);
        keys.onTableRead(1);
        keys.advance();
        ASSERT_EQ(store.writes.size(), 1u) << "its keys need no silence";
        store.answer(makeVersion(1, 41));
        registry.onRowChanged(row(member("n3", 3, life), 50));
        keys.adoptNewer(range_map().assign({ 0, lastKey }, life, 2), makeVersion(1, 60));
        keys.advance();
        EXPECT_EQ(store.writes.size(), 1u);
        EXPECT_TRUE(keys.map().hasOwner(life));
    }

    // Guards against requests to a backend server that has left: a late heartbeat of the same life arrived after a
    // connection to it was refused, and opened the gate again.
    TEST_F(MemberRegistryTest, HeartbeatAfterARefusedConnectionDoesNotUndoADeparture)
    {
        registry.onTableRead(1);
        heartbeat();
        store.answer(makeVersion(1, 50));
        isDraining = true;
        send({ "PUT", "/", {}, "" });
        awaitLeaving();
        store.answer(makeVersion(1, 51));
        EXPECT_EQ(awaitStatus(), 200);
        std::this_thread::sleep_for(milliseconds(3600)); // A refusal shows the end of a leaving one after its holds.
        announcements.onBackendRefused({ announcements.current()->life(), boot_clock::now() });
        ASSERT_TRUE(announcements.hasEnded());
        heartbeat();
        EXPECT_TRUE(gate.isDraining());
        startedAt = 6;
        isDraining = false;
        heartbeat();
        EXPECT_FALSE(gate.isDraining()) << "a later life has not left";
    }

    // Guards against a node that is missing from the table: its row was removed after it was written, and the node
    // learned of the removal before the response to the write.
    TEST_F(MemberRegistryTest, RowThatIsRemovedBeforeItsWriteIsAnsweredIsWrittenAgain)
    {
        registry.onTableRead(1);
        heartbeat();
        ASSERT_EQ(store.writes.size(), 1u);
        registry.onRowChanged(written(makeVersion(1, 50)));
        registry.onRowChanged(missing("n1", makeVersion(1, 51)));
        store.answer(makeVersion(1, 50));
        ASSERT_EQ(store.writes.size(), 2u);
        EXPECT_EQ(written(52).value, toJson(registry.ownMember()));
        store.answer(makeVersion(1, 52));
        EXPECT_EQ(store.writes.size(), 2u);
    }

    // Guards against the removal of a row that a node has written again: the removal waits up to eight seconds, and
    // the node that removes the row may not have learned of the newer one.
    TEST_F(MemberRegistryTest, RowThatWasWrittenAgainIsNotRemovedBeforeItIsKnown)
    {
        simulated_store table;
        const row_key key { member_registry::table, "n2" };
        const auto write = [&](const life_name& life) {
            table.apply({ {}, { { key, 0, toJson(member("n2", 2, life)) } } });
        };
        write("i2@7");
        registry.onTableRead(1);
        registry.onRowChanged(table.current(key));
        registry.removeLost("n2");
        write("i2@8");
        loop.runUntil([this] { return !store.writes.empty(); });
        EXPECT_FALSE(table.apply(store.writes.back()).isApplied);
        EXPECT_TRUE(table.current(key).value);
        registry.onRowChanged(table.current(key));
        registry.removeLost("n2");
        loop.runUntil([this] { return store.writes.size() == 2; });
        EXPECT_TRUE(table.apply(store.writes.back()).isApplied);
        EXPECT_FALSE(table.current(key).value);
    }

    // Guards against a node that counts as unreachable at its present address, because requests to its former address
    // fail.
    TEST_F(MemberRegistryTest, FailureAtAFormerAddressSaysNothingAboutThePresentOne)
    {
        std::vector<http_exchange_ptr> unanswered;
        const auto silent = loop.listen([&](http_exchange_ptr exchange) { unanswered.push_back(std::move(exchange)); });
        registry.onRowChanged(row(member("n3", silent->address().port, "i3@4"), 30));
        peer_watch watch { loop.base(), settings, directory,
            { [](const peer_question&) {}, [](const instance_id&) {}, [] { return false; },
                [](const instance_id&, const table_statements&, time_point) {}, {} } };
        watch.probe("n3");
        loop.runUntil([&] { return !unanswered.empty(); });
        registry.onRowChanged(row(member("n3", 1, "i3@4"), 31));
        bool isOver = false; // Later than the timeout of a ping.
        timer end(loop.base(), [&] { isOver = true; });
        end.startOnce(milliseconds(600));
        loop.runUntil([&] { return isOver; });
        EXPECT_EQ(directory.find("n3")->failures, 0);
    }

    /// A gate whose backend server's address refuses connections.
    class RefusedConnectionTest : public testing::Test {
    protected:
        RefusedConnectionTest()
        {
            settings.service = "s";
            settings.backend = loop.listen([](const http_exchange_ptr&) {})->address(); // Closed again at once.
            gate = std::make_unique<gate_service>(loop.base(), settings, port,
                gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                    [] { return std::optional<table_statements>(); },
                    [this](const backend_question& question) { refused = question; } });
        }

        test_loop loop;
        platform_port port = makeTestPort();
        mesh_settings settings;
        std::unique_ptr<gate_service> gate;
        std::optional<backend_question> refused;
    };

    // Guards against a refused connection that is held against a life which the request was not sent to.
    TEST_F(RefusedConnectionTest, RefusalNamesTheLifeThatTheRequestWasSentTo)
    {
        gate->setBackend({ "i1@5", "i1", 1 });
        const auto before = boot_clock::now();
        routed_request request;
        request.message = { "GET", "/", {}, "" };
        request.service = "s";
        request.deadline = request.objective = test_loop::farDeadline();
        bool isAnswered = false;
        gate->execute(request, [&](const gate_answer&) { isAnswered = true; });
        const auto after = boot_clock::now();
        gate->setBackend({ "i2@9", "i2", 1 });
        loop.runUntil([&] { return isAnswered; });
        ASSERT_TRUE(refused);
        EXPECT_EQ(refused->life, "i1@5");
        EXPECT_GE(refused->askedAt, before);
        EXPECT_LE(refused->askedAt, after);
    }

    // Guards against a refusal that seems to show the end of a backend server which still works on another request.
    TEST_F(RefusedConnectionTest, RefusalTellsWhetherAnotherConnectionIsOpen)
    {
        gate->setBackend({ "i1@5", "i1", 2 });
        int answers = 0;
        const auto send = [&] {
            routed_request request;
            request.message = { "GET", "/", {}, "" };
            request.service = "s";
            request.deadline = request.objective = test_loop::farDeadline();
            gate->execute(request, [&](const gate_answer&) { ++answers; });
        };
        std::vector<http_exchange_ptr> atWork;
        auto listening = http_server::listen(loop.base(), settings.backend, {},
            [&](http_exchange_ptr exchange) { atWork.push_back(std::move(exchange)); });
        ASSERT_TRUE(listening.has_value());
        send();
        loop.runUntil([&] { return !atWork.empty(); });
        listening.value()->stopListening();
        send();
        loop.runUntil([&] { return answers == 1; });
        ASSERT_TRUE(refused);
        EXPECT_TRUE(refused->isStillConnected);
    }

    // Guards against a crash that never counts as one, because no refusal shows the end of the backend server.
    TEST_F(RefusedConnectionTest, RefusalTellsThatNoOtherConnectionIsOpen)
    {
        gate->setBackend({ "i1@5", "i1", 1 });
        routed_request request;
        request.message = { "GET", "/", {}, "" };
        request.service = "s";
        request.deadline = request.objective = test_loop::farDeadline();
        bool isAnswered = false;
        gate->execute(request, [&](const gate_answer&) { isAnswered = true; });
        loop.runUntil([&] { return isAnswered; });
        ASSERT_TRUE(refused);
        EXPECT_FALSE(refused->isStillConnected);
    }

    // Guards against a request that is refused too early, since one crash counts twice: the loss of the request is
    // handled after the next life was announced, and counted as a crash of that one.
    TEST_F(RefusedConnectionTest, RequestThatWasLostWithAnEarlierLifeIsNoCrashOfThePresentOne)
    {
        const auto crashing = loop.listen([](const http_exchange_ptr& exchange) { exchange->abort(); });
        settings.backend = crashing->address();
        std::vector<backend_crash> crashes;
        gate_hooks hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
            [] { return std::optional<table_statements>(); }, [](const backend_question&) {} };
        hooks.onCrashed = [&](const backend_crash& crash) { crashes.push_back(crash); };
        gate = std::make_unique<gate_service>(loop.base(), settings, port, hooks);
        const auto loseRequest = [&](const std::function<void()>& meanwhile) {
            routed_request request;
            request.message = { "GET", "/", {}, "" };
            request.service = "s";
            request.deadline = request.objective = test_loop::farDeadline();
            bool isAnswered = false;
            gate->execute(request, [&](const gate_answer&) { isAnswered = true; });
            meanwhile();
            loop.runUntil([&] { return isAnswered; });
        };
        gate->setBackend({ "i1@5", "i1", 1 });
        loseRequest([&] { gate->setBackend({ "i2@9", "i2", 1 }); });
        gate->setBackend({ "i3@12", "i3", 1 });
        EXPECT_TRUE(crashes.empty());
        loseRequest([] {});
        gate->setBackend({});
        ASSERT_EQ(crashes.size(), 1u);
        EXPECT_EQ(crashes[0].life, "i3@12");
    }

    // Guards against a backend server that is sent fewer requests as a cold one, because a connection to the life
    // before it was lost. Its own heartbeat has stated since that it is not cold.
    TEST_F(RefusedConnectionTest, LostConnectionToAnEarlierLifeSaysNothingAboutThePresentOne)
    {
        const auto crashing = loop.listen([](const http_exchange_ptr& exchange) { exchange->abort(); });
        settings.backend = crashing->address();
        gate = std::make_unique<gate_service>(loop.base(), settings, port,
            gate_hooks { [](key_number) { return key_access::serve; }, [] { return std::int64_t { 0 }; },
                [] { return std::optional<table_statements>(); }, [](const backend_question&) {} });
        service_definition service;
        service.coldRequestsPerSecond = 5;
        service.coldStart = seconds(5);
        gate->configure(service);
        gate->setBackend({ "i1@5", "i1", 1 });
        gate->recordHeartbeat(duration());
        routed_request request;
        request.message = { "GET", "/", {}, "" };
        request.service = "s";
        request.deadline = request.objective = test_loop::farDeadline();
        bool isAnswered = false;
        gate->execute(request, [&](const gate_answer&) { isAnswered = true; });
        gate->setBackend({ "i2@9", "i2", 1 });
        gate->recordHeartbeat(duration());
        ASSERT_TRUE(gate->load().status);
        ASSERT_FALSE(gate->load().status->cold);
        loop.runUntil([&] { return isAnswered; });
        loop.runReady();
        EXPECT_FALSE(gate->load().status->cold);
    }

} // namespace
} // namespace heatherdrift
