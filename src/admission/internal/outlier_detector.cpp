#include "admission/outlier_detector.h"

#include "admission/seconds.h"

#include <algorithm>
#include <cmath>

namespace heatherdrift {

namespace {

    // A probe whose result is never reported must not keep the server out of service for ever.
    constexpr duration probeTimeout = std::chrono::seconds(10);

} // namespace

outlier_detector::outlier_detector(const outlier_settings& settings)
    : m_settings(settings)
{
}

void outlier_detector::add(const instance_id& id, time_point now)
{
    m_servers.try_emplace(id, server_state { .failures = decaying_average(m_settings.window), .changedAt = now });
}

void outlier_detector::remove(const instance_id& id)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return;
    m_outOfService -= found->second.isOutOfService;
    m_servers.erase(found);
}

bool outlier_detector::observeSuccess(const instance_id& id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return false;
    auto& server = found->second;
    if (!server.isOutOfService) {
        server.failures.add(0, now);
        server.failuresInRow = 0;
        return false;
    }
    if (now < server.ejectedUntil)
        return false;
    server.nextProbeAt = now + m_settings.probeInterval;
    if (++server.probesPassed < m_settings.probes)
        return false;
    server.isOutOfService = false;
    server.changedAt = now;
    server.failuresInRow = 0;
    server.failures = decaying_average(m_settings.window);
    --m_outOfService;
    return true;
}

bool outlier_detector::observeFailure(const instance_id& id, time_point now)
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end())
        return false;
    auto& server = found->second;
    if (server.isOutOfService) {
        // A failed probe ejects the server again, for twice the time.
        if (now >= server.ejectedUntil)
            eject(server, now);
        return false;
    }
    server.failures.add(1, now);
    ++server.failuresInRow;
    if (!isOutlier(server, now) || !mayEjectOneMore())
        return false;
    // Only time in service without ejection resets the count, so that a server that fails again after each return to
    // service is ejected for longer each time.
    if (now - server.changedAt >= m_settings.ejectionResetAfter)
        server.ejections = 0;
    server.isOutOfService = true;
    ++m_outOfService;
    eject(server, now);
    return true;
}

server_condition outlier_detector::condition(const instance_id& id, time_point now) const
{
    const auto found = m_servers.find(id);
    if (found == m_servers.end() || !found->second.isOutOfService)
        return server_condition::in_service;
    return now < found->second.ejectedUntil ? server_condition::ejected : server_condition::probing;
}

bool outlier_detector::isProbeDue(const instance_id& id, time_point now) const
{
    const auto found = m_servers.find(id);
    return found != m_servers.end() && found->second.isOutOfService && now >= found->second.nextProbeAt;
}

void outlier_detector::startProbe(const instance_id& id, time_point now)
{
    if (const auto found = m_servers.find(id); found != m_servers.end())
        found->second.nextProbeAt = now + probeTimeout;
}

bool outlier_detector::isOutlier(const server_state& server, time_point now) const
{
    if (server.failuresInRow >= m_settings.consecutiveFailures)
        return true;
    // With the threshold as the prior value, the average reaches it exactly when the share without prior does.
    return server.failures.weight(now) >= m_settings.minCalls
        && server.failures.value(m_settings.failureShare, now) >= m_settings.failureShare;
}

// When most servers fail, the cause is probably elsewhere, and the load of the ejected ones would overload the others.
bool outlier_detector::mayEjectOneMore() const
{
    const auto count = m_servers.size();
    const auto share = static_cast<std::size_t>(std::floor(m_settings.maxEjectedShare * static_cast<double>(count)));
    return m_outOfService < std::max<std::size_t>(share, count >= 2 ? 1 : 0);
}

void outlier_detector::eject(server_state& server, time_point now)
{
    const double doubled = inSeconds(m_settings.baseEjectionTime) * std::exp2(std::min(server.ejections, 30));
    ++server.ejections;
    server.changedAt = now;
    server.ejectedUntil = now + std::min(m_settings.maxEjectionTime, fromSeconds(doubled));
    server.nextProbeAt = server.ejectedUntil;
    server.probesPassed = 0;
}

} // namespace heatherdrift
