#pragma once

#include <chrono>
#include <csignal>
#include <fcntl.h>
#include <gtest/gtest.h>
#include <optional>
#include <string>
#include <sys/stat.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

namespace heatherdrift {

/// A pipe with a name, which a program reads like a file. The program waits in its open() until the test writes.
class named_pipe {
public:
    named_pipe()
        : path("/tmp/heatherdrift-test-" + std::to_string(getpid()) + ".pipe")
    {
        renew();
    }
    ~named_pipe() { unlink(path.c_str()); }
    named_pipe(const named_pipe&) = delete;
    named_pipe& operator=(const named_pipe&) = delete;

    /// Puts a new pipe in its place, so that the next reader is not taken for the one that has the present one open.
    void renew() const
    {
        unlink(path.c_str());
        EXPECT_EQ(mkfifo(path.c_str(), 0600), 0);
    }

    /// Waits until a program opens the pipe for reading, and returns the descriptor to write to; -1 after the limit.
    int awaitReader(std::chrono::milliseconds limit) const
    {
        for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;) {
            if (const int descriptor = open(path.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC); descriptor >= 0)
                return descriptor;
            std::this_thread::sleep_for(std::chrono::microseconds(200));
        }
        return -1;
    }

    const std::string path;
};

inline void writeAndClose(int descriptor, const std::string& text)
{
    EXPECT_EQ(write(descriptor, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    close(descriptor);
}

/// A process of a program of the project; ended by SIGKILL with the object.
class started_program {
public:
    started_program(const std::vector<std::string>& arguments, const std::vector<std::string>& environment)
        : id(fork())
    {
        if (id != 0)
            return;
        const int sink = open("/dev/null", O_WRONLY);
        dup2(sink, STDOUT_FILENO);
        dup2(sink, STDERR_FILENO);
        execve(arguments[0].c_str(), pointers(arguments).data(), pointers(environment).data());
        _exit(127);
    }
    ~started_program()
    {
        if (!m_status) {
            kill(id, SIGKILL);
            waitpid(id, nullptr, 0);
        }
    }
    started_program(const started_program&) = delete;
    started_program& operator=(const started_program&) = delete;

    void signal(int number) const { kill(id, number); }
    /// Status of waitpid(), if the process ends within the limit.
    std::optional<int> awaitEnd(std::chrono::milliseconds limit)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        for (int status = 0; !m_status && std::chrono::steady_clock::now() < end;) {
            if (waitpid(id, &status, WNOHANG) == id)
                m_status = status;
            else
                std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return m_status;
    }

    const pid_t id;

private:
    static std::vector<char*> pointers(const std::vector<std::string>& texts)
    {
        std::vector<char*> out;
        for (const auto& text : texts)
            out.push_back(const_cast<char*>(text.c_str()));
        out.push_back(nullptr);
        return out;
    }

    std::optional<int> m_status;
};

} // namespace heatherdrift
