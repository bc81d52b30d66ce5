#include "control/internal/strike_relay.h"

#include <algorithm>

namespace heatherdrift {

namespace {

    /// Number of strike ids kept to avoid forwarding a strike twice; a strike reaches all nodes in well under a second.
    constexpr std::size_t maxSeenIds = 4096;

} // namespace

void strike_relay::broadcast(const std::vector<crash_strike>& strikes) { send(filterNew(strikes), nullptr); }

std::vector<crash_strike> strike_relay::accept(const instance_ref& sender, const wire::Strikes& message)
{
    std::vector<crash_strike> strikes;
    for (const auto& strike : message.strikes) {
        const duration age(std::max<std::int64_t>(strike.ageMicroseconds, 0));
        strikes.push_back({ static_cast<std::uint64_t>(strike.id), static_cast<std::uint64_t>(strike.fingerprint),
            std::clamp(strike.weight, 0.0, 1.0), m_context.now() - age });
    }
    auto fresh = filterNew(strikes);
    send(fresh, &sender);
    return fresh;
}

std::vector<crash_strike> strike_relay::filterNew(const std::vector<crash_strike>& strikes)
{
    std::vector<crash_strike> fresh;
    for (const auto& strike : strikes) {
        if (!m_seenIds.insert(strike.id).second)
            continue;
        m_seenOrder.push_back(strike.id);
        fresh.push_back(strike);
    }
    while (m_seenOrder.size() > maxSeenIds) {
        m_seenIds.erase(m_seenOrder.front());
        m_seenOrder.pop_front();
    }
    return fresh;
}

void strike_relay::send(const std::vector<crash_strike>& strikes, const instance_ref* except)
{
    if (strikes.empty())
        return;
    wire::Strikes list;
    for (const auto& strike : strikes) {
        wire::Strike entry;
        entry.__set_id(static_cast<std::int64_t>(strike.id));
        entry.__set_fingerprint(static_cast<std::int64_t>(strike.fingerprint));
        entry.__set_weight(strike.weight);
        entry.__set_ageMicroseconds((m_context.now() - strike.at).count());
        list.strikes.push_back(entry);
    }
    wire::Message message;
    message.__set_strikes(list);
    for (const auto& neighbour : m_neighbours) {
        if (!except || neighbour.self != *except)
            m_context.transport.send(neighbour, message);
    }
}

} // namespace heatherdrift
