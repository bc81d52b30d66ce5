#include "mesh/internal/owner_exchange.h"

#include "mesh/internal/peer_transfer.h"
#include "mesh/internal/range_replicas.h"

#include <algorithm>
#include <charconv>

namespace heatherdrift {

namespace {

    constexpr const char* holderHeader = "heatherdrift-holder";
    constexpr const char* versionHeader = "heatherdrift-range-map";
    constexpr const char* eraHeader = "heatherdrift-store-era";
    constexpr const char* confirmedAgoHeader = "heatherdrift-confirmed-ago-us";
    constexpr const char* statementHeader = "heatherdrift-map-statement";
    /// Longer than the timeout of the asked owner's own check at the store.
    constexpr auto answerTimeout = std::chrono::milliseconds(1200);

    const char* nameOf(map_statement statement)
    {
        switch (statement) {
        case map_statement::current:
            return "current";
        case map_statement::promised:
            return "promised";
        case map_statement::outdated:
            return "outdated";
        case map_statement::unknown:
            break;
        }
        return "unknown";
    }

    /// Era of the store that the other node knows; negative if it states none.
    store_era statedEra(const http_headers& headers)
    {
        constexpr store_era noEra = -1;
        const auto text = headers.find(eraHeader).value_or("");
        store_era era = noEra;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, era);
        const bool isEra = parsed.ec == std::errc() && parsed.ptr == end && era <= maxEra;
        return isEra ? era : noEra;
    }

    /// Without the header the result is one hour, which is too old to confirm anything.
    duration confirmedAgo(const http_response_head& head)
    {
        const auto text = head.headers.find(confirmedAgoHeader).value_or("");
        std::int64_t microseconds = 0;
        const bool isNumber = std::from_chars(text.data(), text.data() + text.size(), microseconds).ec == std::errc();
        return isNumber && microseconds >= 0 ? duration(microseconds) : duration(std::chrono::hours(1));
    }

} // namespace

owner_exchange::owner_exchange(const mesh_settings& settings, mesh_directory& directory, ownership& ownership)
    : m_settings(settings)
    , m_directory(directory)
    , m_ownership(ownership)
{
}

void owner_exchange::ask()
{
    const auto round = std::make_shared<confirmation_round>();
    round->askedAt = boot_clock::now();
    round->version = m_ownership.version();
    round->map = m_ownership.map();
    const auto owners = m_ownership.otherOwners();
    round->askedCount = owners.size();
    for (const auto& life : owners) {
        if (const auto* peer = m_directory.findLife(life))
            send(round, peer->member.node);
    }
}

bool owner_exchange::askFirst(const std::vector<owner_candidate>& candidates)
{
    const auto first = std::ranges::find_if(
        candidates, [this](const auto& candidate) { return m_ownership.map().hasOwner(candidate.range.life); });
    if (first == candidates.end() || first->node == m_settings.node)
        return false;
    const auto round = std::make_shared<confirmation_round>();
    round->askedAt = boot_clock::now();
    round->version = m_ownership.version();
    round->map = m_ownership.map();
    round->askedCount = m_ownership.otherOwners().size();
    send(round, first->node);
    return true;
}

void owner_exchange::send(const std::shared_ptr<confirmation_round>& round, const instance_id& node)
{
    http_request request;
    request.target = target;
    request.headers.add(targetNodeHeader, node);
    request.headers.add(holderHeader, m_ownership.life());
    request.headers.add(versionHeader, std::to_string(round->version));
    if (round->version > 0)
        request.headers.add(rangeBaseHeader, std::to_string(round->version));
    request.headers.add(eraHeader, std::to_string(m_ownership.era()));
    auto limits = peerTransferLimits();
    limits.headBy = round->askedAt + answerTimeout;
    fetchWithProgress(m_directory.client(node), std::move(request), limits,
        [this, round](const result<http_response>& answer) { handleAnswer(round, answer); });
}

void owner_exchange::handleAnswer(const std::shared_ptr<confirmation_round>& round, const result<http_response>& answer)
{
    if (answer.has_error())
        return;
    // An owner that is cut off from the store learns of a restore from the others.
    m_ownership.onStoreRestored(statedEra(answer.value().head.headers));
    const auto statement = answer.value().head.headers.find(statementHeader).value_or("");
    // Other owners may have answered with newer maps since, but the newest of all is needed after a restore of the
    // store.
    if (statement == nameOf(map_statement::outdated)) {
        const auto newer = decodeRanges(answer.value().body, { round->version, round->map });
        if (newer.has_error() || newer.value().version < m_ownership.version())
            return;
        m_ownership.adoptNewer(newer.value().map, newer.value().version);
        return m_ownership.onConfirmed(round->askedAt - confirmedAgo(answer.value().head));
    }
    if (round->version != m_ownership.version())
        return;
    if (statement == nameOf(map_statement::current))
        return m_ownership.onConfirmed(round->askedAt - confirmedAgo(answer.value().head));
    if (statement == nameOf(map_statement::promised) && ++round->promisedCount == round->askedCount)
        m_ownership.onPromised(round->askedAt);
}

void owner_exchange::push(const std::set<life_name>& lives)
{
    constexpr row_version noBase = 0;
    const auto& body = m_ownership.encodedMap(noBase);
    for (const auto& life : lives) {
        const auto* peer = m_directory.findLife(life);
        if (!peer || peer->member.node == m_settings.node)
            continue;
        http_request request { "PUT", range_replicas::target, { { targetNodeHeader, peer->member.node } }, body };
        fetchWithProgress(m_directory.client(peer->member.node), std::move(request), peerTransferLimits(body.size()),
            [](const result<http_response>&) {
                // A node that missed the push gets the map from its next check or from its watch of the table.
            });
    }
}

void owner_exchange::handlePushedMap(const http_exchange_ptr& exchange)
{
    const auto ranges = decodeRanges(exchange->request().body, { m_ownership.version(), m_ownership.map() });
    if (ranges.has_error())
        return exchange->respond({ { 400, {} }, "" });
    if (ranges.value().version > m_ownership.version())
        m_ownership.adoptNewer(ranges.value().map, ranges.value().version);
    exchange->respond({});
}

void owner_exchange::handle(const http_exchange_ptr& exchange)
{
    const auto& headers = exchange->request().headers;
    const std::string holder(headers.find(holderHeader).value_or(""));
    const std::string_view text = headers.find(versionHeader).value_or("");
    row_version version = 0;
    std::from_chars(text.data(), text.data() + text.size(), version);
    m_ownership.handleConfirmation({ holder, version, statedEra(headers) },
        [this, exchange, base = range_history::statedBase(headers.find(rangeBaseHeader))](
            map_statement statement, std::optional<duration> ago) {
            http_response response { { 200, { { statementHeader, nameOf(statement) } } }, "" };
            response.head.headers.add(eraHeader, std::to_string(m_ownership.era()));
            if (ago)
                response.head.headers.add(confirmedAgoHeader, std::to_string(ago->count()));
            if (statement == map_statement::outdated)
                response.body = m_ownership.encodedMap(base);
            exchange->respond(std::move(response));
        });
}

} // namespace heatherdrift
