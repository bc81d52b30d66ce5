#include "base/tests/started_program.h"

namespace heatherdrift {
namespace {

    using std::chrono::milliseconds;

    constexpr int rounds = 10;
    constexpr auto processLimit = milliseconds(10000);

    // Guards against a signal that ends the process by its default action between the start of main() and the
    // installation of the handlers.
    TEST(StartSignal, SignalsBeforeTheHandlersAreInstalledDoNotEndTheProcess)
    {
        const named_pipe file;
        for (int round = 0; round < rounds; ++round) {
            started_program node({ HEATHERDRIFT_DAEMON_PROGRAM, "--settings=" + file.path }, {});
            const int descriptor = file.awaitReader(processLimit);
            ASSERT_GE(descriptor, 0);
            node.signal(SIGHUP);
            writeAndClose(descriptor, "{}");
            const auto status = node.awaitEnd(processLimit);
            ASSERT_TRUE(status);
            // The empty settings are rejected after the signal.
            EXPECT_TRUE(WIFEXITED(*status) && WEXITSTATUS(*status) == 2) << "round " << round << ": " << *status;
        }
    }

} // namespace
} // namespace heatherdrift
