#include "mesh/internal/peer_watch.h"

namespace heatherdrift {

namespace {

    constexpr auto interval = std::chrono::milliseconds(400);
    constexpr auto answerTimeout = std::chrono::milliseconds(400); ///< A node responds to a ping within milliseconds.
    constexpr auto maxAnswerAge = std::chrono::milliseconds(1500);
    constexpr auto maxLoadAge = std::chrono::milliseconds(1000);
    /// Much longer than a restart or a short network interruption.
    constexpr auto removeAfter = std::chrono::seconds(10);
    constexpr int minFailures = 5; ///< Consecutive failures before the row of a node is removed.
    constexpr std::size_t maxWatchers = 2; ///< Nodes of a service that ping the others.
    constexpr std::size_t answerLimitBytes = 1024;

} // namespace

peer_watch::peer_watch(
    event_base* base, const mesh_settings& settings, mesh_directory& directory, peer_watch_hooks hooks)
    : m_settings(settings)
    , m_directory(directory)
    , m_hooks(std::move(hooks))
    , m_tick(base, [this] { tick(); })
{
}

void peer_watch::start() { m_tick.startRepeating(interval); }

bool peer_watch::isWatcher(time_point now) const
{
    std::size_t before = 0;
    for (const auto& [node, peer] : m_directory.peers()) {
        if (node == m_settings.node)
            return before < maxWatchers;
        if (peer.member.service == m_settings.service)
            before += m_directory.hasAnsweredSince(node, now - maxAnswerAge);
    }
    return false;
}

void peer_watch::tick()
{
    const auto now = boot_clock::now();
    if (m_hooks.onLag && now > m_tickDueAt)
        m_hooks.onLag(now - m_tickDueAt);
    m_tickDueAt = now + interval;
    // A single failure in the past does not show a loss, so nodes that failed are probed again.
    for (const auto& node : m_directory.silentSince(now - interval, 1))
        probe(node);
    for (const auto& node : m_directory.silentSince(now - removeAfter, minFailures))
        m_hooks.onLost(node);
    const bool needsLoads = m_hooks.needsLoads();
    if (!needsLoads && !isWatcher(now))
        return;
    for (const auto& [node, peer] : m_directory.peers()) {
        const bool isWatched = node != m_settings.node && peer.member.service == m_settings.service;
        const bool isLoadOld = needsLoads && peer.loadAt < now - maxLoadAge;
        if (isWatched && (isLoadOld || !m_directory.hasAnsweredSince(node, now - interval)))
            ping(node);
    }
}

void peer_watch::probe(const instance_id& node)
{
    const auto now = boot_clock::now();
    auto& mayProbeAt = m_mayProbeAt[node];
    if (now < mayProbeAt)
        return;
    mayProbeAt = now + interval;
    ping(node);
}

void peer_watch::ping(const instance_id& node)
{
    if (!m_directory.find(node) || !m_pendingPings.insert(node).second)
        return;
    http_request request;
    request.target = target;
    request.headers.add(targetNodeHeader, node);
    const auto askedAt = boot_clock::now();
    fetch(m_directory.client(node), std::move(request), askedAt + answerTimeout, answerLimitBytes,
        [this, node, askedAt, question = m_directory.question(node, askedAt)](const result<http_response>& answer) {
            m_pendingPings.erase(node);
            const auto now = boot_clock::now();
            if (answer.has_error()) {
                if (m_directory.isAboutPresent(question))
                    m_directory.recordFailure(node, answer.error().code, now);
                return;
            }
            if (answer.value().head.status == statusOtherNode)
                return m_hooks.onReplaced(question);
            const auto decoded = decodeAnswer(answer.value());
            m_directory.recordAnswer(
                node, decoded.has_value() ? std::optional(decoded.value().load) : std::nullopt, now);
            if (decoded.has_value() && decoded.value().load.tables)
                m_hooks.onTableStatements(node, *decoded.value().load.tables, askedAt);
        });
}

} // namespace heatherdrift
