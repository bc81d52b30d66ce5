#include "mesh/internal/range_replicas.h"

#include "base/hash.h"
#include "base/json_reader.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

namespace {

    constexpr auto fetchTimeout = std::chrono::milliseconds(300); ///< Another node is asked instead of waiting longer.
    constexpr auto refreshInterval = std::chrono::milliseconds(200); ///< Limits the requests while keys have no owner.
    constexpr std::size_t answerLimitBytes = 4u << 20;

} // namespace

std::string toJson(const versioned_ranges& ranges)
{
    return json { { "version", ranges.version }, { "map", ranges.map.toJson() } }.dump();
}

result<versioned_ranges> parseVersionedRanges(std::string_view text)
{
    BOOST_OUTCOME_TRY(document, parseJson(text, error_code::bad_request));
    versioned_ranges out;
    std::string map;
    json_reader reader(document, "", error_code::bad_request);
    reader.readInteger("version", out.version, { 1, INT64_MAX });
    reader.readString("map", map);
    BOOST_OUTCOME_TRY(reader.finish());
    BOOST_OUTCOME_TRY(parsed, range_map::fromJson(map));
    out.map = std::move(parsed);
    return out;
}

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
    fetch(m_directory.client(node), std::move(request), boot_clock::now() + fetchTimeout, answerLimitBytes,
        [this, service, node](const result<http_response>& answer) {
            m_fetching.erase(service);
            if (answer.has_error() || answer.value().head.status != 200)
                return;
            auto ranges = parseVersionedRanges(answer.value().body);
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
