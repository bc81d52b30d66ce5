#include "mesh/tests/mesh_fixture.h"

namespace heatherdrift {
namespace {

    constexpr const char* lethalTarget = "/lethal";
    constexpr int nodeCount = 3;

    /// Nodes of one service, each with a backend server that crashes, once armed, when it begins to run one request.
    class LethalRequestTest : public mesh_fixture {
    protected:
        struct instance {
            std::unique_ptr<mesh_node> node;
            std::unique_ptr<http_server> backend;
            endpoint address;
            int life = 1;
            bool hasCrashed = false;
            std::map<std::string, int> answers; ///< By target.
        };

        void SetUp() override
        {
            addService("s", "h");
            storeConfiguration();
            for (auto& one : instances) {
                startBackend(one, { "127.0.0.1", 0 });
                one.address = one.backend->address();
                one.node = startNode(nameOf(one), "s", one.address);
            }
            for (const auto& one : instances)
                ASSERT_EQ(announce(*one.node, nameOf(one), one.life), 200);
            // The nodes know each other once requests of each one reach all backend servers.
            for (int entry = 0; entry < nodeCount; ++entry)
                sendUntilAllAnswer("/from-" + std::to_string(entry), [entry](int) { return entry; });
        }

        std::string nameOf(const instance& one) const { return "n" + std::to_string(&one - instances); }

        void startBackend(instance& one, const endpoint& address)
        {
            one.backend
                = http_server::listen(loop.base(), address, {}, [this, &one](const http_exchange_ptr& exchange) {
                      const auto& request = exchange->request();
                      if (request.target == lethalTarget && isArmed) {
                          ++crashes;
                          one.hasCrashed = true;
                          return exchange->abort();
                      }
                      ++one.answers[request.target];
                      exchange->respond(
                          { { 200, { { "signed", "1" }, { "id", std::string(*request.headers.find("id")) } } }, "" });
                  }).value();
        }

        /// Ends the backend servers that have crashed, and starts them again as new lives.
        void restartCrashed()
        {
            for (auto& one : instances) {
                if (!std::exchange(one.hasCrashed, false))
                    continue;
                one.backend.reset();
                startBackend(one, one.address);
                ASSERT_EQ(announce(*one.node, nameOf(one), ++one.life), 200);
            }
        }

        int sendLethal(int entryNode)
        {
            const int status = send(*instances[entryNode % nodeCount].node, "h", lethalTarget).head.status;
            restartCrashed();
            loop.runReady();
            return status;
        }

        void sendUntilAllAnswer(const std::string& target, const std::function<int(int)>& entryNode)
        {
            const auto hasNotAnswered = [&](const auto& one) { return !one.answers.contains(target); };
            for (int i = 0; std::ranges::any_of(instances, hasNotAnswered); ++i)
                send(*instances[entryNode(i) % nodeCount].node, "h", target);
        }

        instance instances[nodeCount];
        bool isArmed = false;
        int crashes = 0;
    };

    // Guards against a request that crashes backend servers without end, since each of them has answered it before: the
    // request becomes lethal later, as by a row of data or a release.
    TEST_F(LethalRequestTest, RequestThatWasAnsweredBeforeIsRefusedAfterItsThirdCrash)
    {
        sendUntilAllAnswer(lethalTarget, [](int attempt) { return attempt; });
        isArmed = true;
        int refusals = 0;
        for (int i = 0; i < 30; ++i)
            refusals += sendLethal(i) == 503;
        EXPECT_EQ(crashes, 3);
        EXPECT_EQ(refusals, 27);
    }

    // Guards against the same for a request that no backend server has answered.
    TEST_F(LethalRequestTest, RequestThatWasNeverAnsweredIsRefusedAfterItsThirdCrash)
    {
        isArmed = true;
        int refusals = 0;
        for (int i = 0; i < 30; ++i)
            refusals += sendLethal(i) == 503;
        EXPECT_EQ(crashes, 3);
        EXPECT_EQ(refusals, 27);
    }

} // namespace
} // namespace heatherdrift
