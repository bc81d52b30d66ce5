#pragma once

#include "ctl/ctl.h"
#include "ctl/internal/ctl_flags.h"
#include "ctl/tests/fake_admin.h"

#include <absl/flags/reflection.h>
#include <atomic>
#include <sstream>

namespace heatherdrift {

struct ctl_run {
    exit_code code = exit_code::done;
    std::string out;
    std::string err;
};

/// Runs the program with flags at their defaults.
inline ctl_run run(const std::vector<std::string>& arguments)
{
    absl::FlagSaver saver;
    std::ostringstream out;
    std::ostringstream err;
    const auto code = runCtl(arguments, { out, err });
    return { code, out.str(), err.str() };
}

inline ctl_run run(const fake_admin& node, std::vector<std::string> arguments)
{
    arguments.push_back("--node=" + node.address());
    return run(arguments);
}

inline json memberDocument(
    const std::string& id, const std::string& admin, int partitions = 0, const std::string& state = "active")
{
    return { { "instance", id }, { "incarnation", 1 }, { "state", state }, { "region", "region-1" },
        { "availability_zone", "zone-1" }, { "entry", admin }, { "admin", admin }, { "labels", { { "pool", "a" } } },
        { "partitions", partitions } };
}

/// A member that reports an old configuration version a number of times before the new one.
class fake_member {
public:
    fake_member(std::string id, std::int64_t version, int oldAnswers = 0)
        : m_oldAnswers(oldAnswers)
        , m_server([this, id, version](const http_request&) -> std::optional<http_response> {
            const auto shown = m_oldAnswers-- > 0 ? version - 1 : version;
            return jsonResponse({ { "instance", id }, { "has_lease", true }, { "lease_remaining_ms", 900 },
                { "witnesses", { "w#1" } }, { "configuration_version", shown }, { "takeovers_in_progress", 0 } });
        })
    {
    }

    std::string address() const { return m_server.address(); }

private:
    std::atomic<int> m_oldAnswers;
    fake_admin m_server;
};

inline std::string exampleFile() { return HEATHERDRIFT_SOURCE_DIR "/examples/indus/configuration.json"; }

} // namespace heatherdrift
