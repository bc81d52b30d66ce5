#include "ctl/internal/command.h"
#include "ctl/tests/ctl_fixture.h"

#include <gtest/gtest.h>

namespace heatherdrift {
namespace {

    // Guards against mistyped arguments that run something else, or that end with the code of a failed change.
    TEST(CtlArguments, MistakesAreUsageErrors)
    {
        const std::vector<std::vector<std::string>> table {
            {},
            { "aply", "f" },
            { "apply", "--node=127.0.0.1:1" },
            { "apply", "a", "b", "--node=127.0.0.1:1" },
            { "members" },
            { "members", "--node=localhost:80" },
            { "members", "--node=127.0.0.1:1,x" },
            { "members", "--node" },
            { "members", "--nodes=127.0.0.1:1" },
            { "members", "--node=127.0.0.1:1", "--timeout=soon" },
            { "members", "--node=127.0.0.1:1", "--timeout=-1s" },
            { "members", "--node=127.0.0.1:1", "--yes" },
            { "members", "--node=127.0.0.1:1", "--json=maybe" },
            { "members", "--node=127.0.0.1:1", "--notimeout" },
            { "members", "--node=127.0.0.1:1", "--v=1" },
            { "show", "members", "--node=127.0.0.1:1" },
            { "owner", "pool", "--node=127.0.0.1:1" },
            { "declare-lost", "a-1", "--node=127.0.0.1:1" },
            { "request", "no-slash", "--node=127.0.0.1:1" },
            { "request", "/x", "--entry=x", "--node=127.0.0.1:1" },
            { "explain", "--host=h", "--path=/x" },
            { "explain", "--path=/x", "--node=127.0.0.1:1" },
            { "explain", "--host=h", "--path=x", "--node=127.0.0.1:1" },
            { "explain", "x", "--host=h", "--path=/x", "--node=127.0.0.1:1" },
            { "explain", "--host=h", "--path=/x", "--body=b", "--node=127.0.0.1:1" },
        };
        for (const auto& arguments : table) {
            const auto result = run(arguments);
            EXPECT_EQ(result.code, exit_code::usage) << ::testing::PrintToString(arguments);
            EXPECT_FALSE(result.err.empty()) << ::testing::PrintToString(arguments);
        }
    }

    // Guards against a subcommand whose help is missing, or names a flag that does not exist.
    TEST(CtlArguments, EverySubcommandHasHelp)
    {
        for (const auto& command : commands()) {
            const auto result = run({ std::string(command.name), "--help" });
            EXPECT_EQ(result.code, exit_code::done);
            EXPECT_NE(result.out.find(command.help), std::string::npos);
            EXPECT_NE(result.out.find("Exit codes"), std::string::npos);
            EXPECT_NE(run({ "--help" }).out.find(command.name), std::string::npos);
        }
    }

    // Guards against a file that nodes would reject and a bad file that passes.
    TEST(CtlArguments, CheckNeedsNoNode)
    {
        EXPECT_EQ(run({ "check", exampleFile() }).code, exit_code::done);
        const auto missing = run({ "check", "/nonexistent.json" });
        EXPECT_EQ(missing.code, exit_code::failed);
        EXPECT_NE(missing.err.find("/nonexistent.json: cannot be read"), std::string::npos);
        const auto wrong = run({ "check", HEATHERDRIFT_SOURCE_DIR "/examples/indus/node-settings.json", "--json" });
        EXPECT_EQ(wrong.code, exit_code::failed);
        EXPECT_EQ(json::parse(wrong.out)["error"], "invalid_configuration");
    }

} // namespace
} // namespace heatherdrift
