#include "ctl/internal/convergence.h"

#include <map>
#include <set>

namespace heatherdrift {

namespace {

    constexpr duration pollInterval = std::chrono::milliseconds(200);
    constexpr duration statusLimit = std::chrono::seconds(2);

    /// Members that have not got to a version. Versions only grow, so who has got there is not asked again.
    class convergence {
    public:
        convergence(const command_context& context, std::int64_t version)
            : m_context(context)
            , m_version(version)
        {
        }

        /// Asks those that are missing; true once there are none.
        bool check()
        {
            const auto answer = m_context.client.get("/v1/members");
            if (answer.has_error()) {
                m_problem = answer.error().message;
                return false;
            }
            m_problem.clear();
            std::vector<json> asked;
            std::vector<endpoint> addresses;
            for (const auto& member : listOf(answer.value(), "members")) {
                // Others hold no lease and serve nothing.
                const auto state = textOf(member, "state");
                if (state != "joining" && state != "active" && state != "draining")
                    continue;
                if (m_done.contains(processOf(member)))
                    continue;
                asked.push_back(member);
                addresses.push_back(parseEndpoint(textOf(member, "admin")).value_or(endpoint {}));
            }
            ask(asked, addresses);
            return m_lagging.empty();
        }

        json lagging() const { return m_lagging; }
        const std::string& problem() const { return m_problem; }

    private:
        static std::string processOf(const json& member)
        {
            return textOf(member, "instance") + "#" + textOf(member, "incarnation");
        }

        void ask(const std::vector<json>& members, const std::vector<endpoint>& addresses)
        {
            const auto answers = m_context.client.askEach(addresses, { "GET", "/v1/status", {}, "" }, statusLimit);
            m_lagging = json::array();
            for (std::size_t i = 0; i < members.size(); ++i) {
                const auto status
                    = answers[i].has_value() ? parseAnswer(answers[i].value()) : result<json>(answers[i].error());
                auto lag = describe(members[i], status);
                if (!lag) {
                    m_done.insert(processOf(members[i]));
                    continue;
                }
                keepLastVersion(processOf(members[i]), *lag);
                m_lagging.push_back(std::move(*lag));
            }
        }

        /// The question that the deadline cuts off must not hide what the member answered before.
        void keepLastVersion(const std::string& process, json& lag)
        {
            if (!lag["version"].is_null())
                m_versions[process] = lag["version"];
            else if (const auto known = m_versions.find(process); known != m_versions.end())
                lag["version"] = known->second;
        }

        /// Empty if the member has got to the version.
        std::optional<json> describe(const json& member, const result<json>& status) const
        {
            json lag { { "instance", textOf(member, "instance") }, { "admin", textOf(member, "admin") },
                { "version", nullptr } };
            if (status.has_error()) {
                lag["problem"] = status.error().message;
                return lag;
            }
            // Another instance may have been started at the address of a lost one.
            if (textOf(status.value(), "instance") != textOf(member, "instance")) {
                lag["problem"] = "another instance answers at the address";
                return lag;
            }
            const auto version = numberOf(status.value(), "configuration_version").value_or(0);
            if (version >= m_version)
                return std::nullopt;
            lag["version"] = version;
            lag["problem"] = "has not got the version yet";
            return lag;
        }

        const command_context& m_context;
        const std::int64_t m_version;
        std::set<std::string> m_done;
        std::map<std::string, json> m_versions; ///< Last answer of each process.
        json m_lagging = json::array();
        std::string m_problem;
    };

} // namespace

exit_code waitUntilInForce(const command_context& context, std::int64_t version, json& document)
{
    convergence wait(context, version);
    bool isInForce = wait.check();
    while (!isInForce && !context.client.isOver()) {
        context.client.wait(pollInterval);
        if (!context.client.isOver())
            isInForce = wait.check();
    }
    document["in_force"] = isInForce;
    document["lagging"] = wait.lagging();
    if (isInForce)
        return exit_code::done;
    auto& err = context.streams.err;
    err << "heatherdriftctl: version " << version << " is accepted but not in force everywhere in time\n";
    if (!wait.problem().empty())
        err << "heatherdriftctl: " << wait.problem() << "\n";
    for (const auto& member : wait.lagging()) {
        const auto at = textOf(member, "version");
        err << "  " << textOf(member, "instance") << " (" << textOf(member, "admin")
            << "): " << (at.empty() ? "" : "at version " + at + ", ") << textOf(member, "problem") << "\n";
    }
    return exit_code::not_in_force;
}

} // namespace heatherdrift
