#include "mesh/internal/range_replicas.h"

#include "base/hash.h"
#include "mesh/internal/peer_transfer.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr auto refreshInterval = std::chrono::milliseconds(200); ///< Limits the requests while keys have no owner.

} // namespace

range_replicas::range_replicas(const mesh_settings& settings, mesh_directory& directory)
    : m_directory(directory)
    , m_nextNode(hashBytes(settings.node))
{
}

const range_map* range_replicas::find(const std::string& service, time_point now)
{
    const auto found = m_maps.find(service);
    if (found != m_maps.end())
        return &found->second.map;
    refresh(service, now);
    return nullptr;
}

const versioned_ranges* range_replicas::known(const std::string& service) const
{
    const auto found = m_maps.find(service);
    return found == m_maps.end() ? nullptr : &found->second;
}

void range_replicas::refresh(const std::string& service, time_point now)
{
    auto& mayRefreshAt = m_mayRefreshAt[service];
    const auto available = m_directory.available(service, now);
    if (available.empty() || now < mayRefreshAt)
        return;
    mayRefreshAt = now + refreshInterval;
    fetchFrom(service, available[m_nextNode++ % available.size()]->member.node);
}

void range_replicas::handleVersion(const std::string& service, const instance_id& node, row_version version)
{
    const auto found = m_maps.find(service);
    if (version > 0 && (found == m_maps.end() || found->second.version < version))
        fetchFrom(service, node);
}

void range_replicas::fetchFrom(const std::string& service, const instance_id& node)
{
    // The node may have been removed since it sent the response that led here.
    if (!m_directory.find(node) || !m_fetching.insert(service).second)
        return;
    http_request request;
    request.target = target;
    request.headers.add(targetNodeHeader, node);
    const auto known = m_maps.find(service);
    const auto base = known == m_maps.end() ? versioned_ranges() : known->second;
    if (base.version > 0)
        request.headers.add(rangeBaseHeader, std::to_string(base.version));
    fetchWithProgress(m_directory.client(node), std::move(request), peerTransferLimits(),
        [this, service, node, base](const result<http_response>& answer) {
            m_fetching.erase(service);
            if (answer.has_error() || answer.value().head.status != 200)
                return;
            auto ranges = decodeRanges(answer.value().body, base);
            if (ranges.has_error()) {
                logEvent(
                    log_event::peer_message_rejected, { { "target", node }, { "reason", ranges.error().message } });
                return;
            }
            auto& copy = m_maps[service];
            if (ranges.value().version > copy.version)
                copy = std::move(ranges).value();
        });
}

} // namespace heatherdrift
