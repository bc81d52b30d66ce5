#include "control/internal/strike_relay.h"

namespace heatherdrift {

namespace {

    /// Strikes remembered so that none is passed on twice; a strike crosses the mesh in well under a second.
    constexpr std::size_t rememberedStrikes = 4096;
    constexpr std::size_t maximumStrikeIdBytes = 128;

} // namespace

void strike_relay::spread(const std::vector<request_strike>& strikes) { send(onlyNew(strikes), nullptr); }

std::vector<request_strike> strike_relay::accept(const instance_ref& sender, const wire::Strikes& message)
{
    std::vector<request_strike> strikes;
    for (const auto& strike : message.strikes) {
        if (strike.strikeId.size() <= maximumStrikeIdBytes)
            strikes.push_back({ static_cast<std::uint64_t>(strike.fingerprint), strike.strikeId, strike.weight });
    }
    auto fresh = onlyNew(strikes);
    send(fresh, &sender);
    return fresh;
}

std::vector<request_strike> strike_relay::onlyNew(const std::vector<request_strike>& strikes)
{
    std::vector<request_strike> fresh;
    for (const auto& strike : strikes) {
        if (!m_known.insert(strike.strikeId).second)
            continue;
        m_order.push_back(strike.strikeId);
        fresh.push_back(strike);
    }
    while (m_order.size() > rememberedStrikes) {
        m_known.erase(m_order.front());
        m_order.pop_front();
    }
    return fresh;
}

void strike_relay::send(const std::vector<request_strike>& strikes, const instance_ref* except)
{
    if (strikes.empty())
        return;
    wire::Strikes list;
    for (const auto& strike : strikes) {
        wire::Strike entry;
        entry.__set_fingerprint(static_cast<std::int64_t>(strike.fingerprint));
        entry.__set_strikeId(strike.strikeId);
        entry.__set_weight(strike.weight);
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
