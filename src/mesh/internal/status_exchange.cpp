#include "mesh/internal/status_exchange.h"

#include "mesh/internal/mesh_directory.h"
#include "mesh/internal/status_codec.h"

#include <algorithm>
#include <map>

namespace heatherdrift {

namespace {

    constexpr double messagesPerSecond = 40; ///< A third of the 11 KB/s that a node may use for coordination.
    constexpr double maxCredit = 10; ///< Messages at once after a pause.
    /// Counted for the way of a message, which its age does not include.
    constexpr auto transitAllowance = std::chrono::milliseconds(10);
    /// A status that comes back to a node over others is not newer, but its way may have taken longer than the
    /// allowance. Without this difference it would be passed around and stay young.
    constexpr auto minGain = std::chrono::milliseconds(20);

} // namespace

status_exchange::status_exchange(mesh_directory& directory, instance_id self)
    : m_directory(directory)
    , m_self(std::move(self))
    , m_credit(maxCredit)
{
}

bool status_exchange::mayPass(time_point now)
{
    if (m_creditAt != time_point::min()) {
        const double passed = std::chrono::duration<double>(now - m_creditAt).count();
        m_credit = std::min(maxCredit, m_credit + passed * messagesPerSecond);
    }
    m_creditAt = now;
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

std::size_t status_exchange::addTo(gate_answer& answer, const std::string& service, time_point now)
{
    if (!answer.load.status)
        return 0;
    answer.others = take(service, *answer.load.status, now);
    return answer.others.size();
}

std::vector<passed_status> status_exchange::take(const std::string& service, const server_status& own, time_point now)
{
    auto& view = m_directory.view(service);
    view.reportStatus(m_self, { own, now });
    std::vector<passed_status> out;
    if (!mayPass(now))
        return out;
    for (const auto& one : view.statuses(maxPassedStatuses, m_self, now)) {
        if (const auto* peer = m_directory.find(one.id))
            out.push_back({ statusName(peer->member.life), now - one.report.at, one.report.status });
    }
    return out;
}

std::size_t status_exchange::learn(
    const std::string& service, const std::vector<passed_status>& statuses, time_point now)
{
    if (statuses.empty())
        return 0;
    std::map<std::uint32_t, std::vector<instance_id>> named;
    for (const auto& one : statuses)
        named[one.server];
    for (const auto& [node, peer] : m_directory.peers()) {
        if (peer.member.service != service)
            continue;
        if (const auto found = named.find(statusName(peer.member.life)); found != named.end())
            found->second.push_back(node);
    }
    std::size_t learned = 0;
    for (const auto& one : statuses) {
        const auto& nodes = named.at(one.server);
        if (nodes.size() != 1 || nodes.front() == m_self)
            continue;
        const auto at = now - one.age - transitAllowance;
        learned += m_directory.view(service).reportStatus(nodes.front(), { one.status, at }, minGain);
    }
    return learned;
}

} // namespace heatherdrift
