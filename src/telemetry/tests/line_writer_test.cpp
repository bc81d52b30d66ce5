#include "telemetry/line_writer.h"

#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <unistd.h>

namespace heatherdrift {
namespace {

    class LineWriterTest : public testing::Test {
    protected:
        void SetUp() override
        {
            std::signal(SIGPIPE, SIG_IGN);
            ASSERT_EQ(pipe2(ends, O_CLOEXEC), 0);
        }
        void TearDown() override
        {
            for (const int end : ends) {
                if (end >= 0)
                    close(end);
            }
        }

        std::string readAll()
        {
            fcntl(ends[0], F_SETFL, O_NONBLOCK);
            std::string out;
            char buffer[4096];
            ssize_t size = 0;
            while ((size = read(ends[0], buffer, sizeof(buffer))) > 0)
                out.append(buffer, static_cast<std::size_t>(size));
            return out;
        }

        int ends[2] { -1, -1 };
    };

    // Guards against a process that stops because nobody reads its log: the writer must return, and count what it
    // drops.
    TEST_F(LineWriterTest, StalledReaderCostsLinesAndNothingElse)
    {
        line_writer writer(ends[1], 4096);
        const std::string line(1000, 'x');
        for (int i = 0; i < 500; ++i)
            writer.write(line);
        EXPECT_GT(writer.droppedLines(), 300u);
        const auto before = readAll();
        writer.write("after");
        writer.write("last");
        const auto after = readAll();
        EXPECT_NE(after.find("log_lines_dropped"), std::string::npos);
        EXPECT_NE(after.find("\nlast\n"), std::string::npos);
        EXPECT_EQ(before.substr(0, 1001), line + "\n");
    }

    // Guards against a process that ends or spins because its log was closed.
    TEST_F(LineWriterTest, ClosedReaderDropsEverything)
    {
        line_writer writer(ends[1], 4096);
        close(ends[0]);
        ends[0] = -1;
        for (int i = 0; i < 10; ++i)
            writer.write("line");
        EXPECT_GE(writer.droppedLines(), 9u);
    }

} // namespace
} // namespace heatherdrift
