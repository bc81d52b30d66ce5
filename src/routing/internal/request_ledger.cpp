#include "routing/request_ledger.h"

#include "base/json_reader.h"

#include <algorithm>

namespace heatherdrift {

std::string_view toString(request_state state)
{
    switch (state) {
    case request_state::refused:
        return "refused";
    case request_state::running:
        return "running";
    case request_state::answered:
        return "answered";
    case request_state::unknown:
        return "unknown";
    }
    return "unknown";
}

request_state parseInquiryAnswer(std::string_view body)
{
    const auto document = json::parse(body, nullptr, false);
    const auto text = document.is_object() ? document.find("state") : document.end();
    if (!document.is_object() || text == document.end() || !text->is_string())
        return request_state::unknown;
    for (const auto state : { request_state::refused, request_state::running, request_state::answered }) {
        if (*text == toString(state))
            return state;
    }
    return request_state::unknown;
}

bool request_ledger::begin(const std::string& requestId, time_point now)
{
    evictExpired(now);
    return m_states.try_emplace(requestId, request_state::running).second;
}

void request_ledger::finish(const std::string& requestId, request_state state, time_point now)
{
    const auto found = m_states.find(requestId);
    if (found == m_states.end())
        return;
    found->second = state;
    m_ended.push_back({ now, requestId });
    evictExpired(now);
}

request_state request_ledger::inquire(const std::string& requestId, time_point sentAt, time_point now)
{
    evictExpired(now);
    if (const auto found = m_states.find(requestId); found != m_states.end())
        return found->second;
    if (sentAt <= m_evictedUntil || m_refused.size() >= m_limits.refusals)
        return request_state::unknown;
    m_states.emplace(requestId, request_state::refused);
    m_refused.push_back({ m_activeTime, requestId });
    return request_state::refused;
}

void request_ledger::advanceActiveTime(time_point now)
{
    // A request may stay in a socket buffer while the process is paused, so longer gaps between calls count only this
    // much.
    constexpr duration maxStep = std::chrono::seconds(1);
    if (m_lastCall != time_point() && now > m_lastCall)
        m_activeTime += std::min(now - m_lastCall, maxStep);
    m_lastCall = std::max(m_lastCall, now);
}

void request_ledger::evictExpired(time_point now)
{
    advanceActiveTime(now);
    while (!m_ended.empty()
        && (m_ended.front().when + m_limits.recordRetention <= now || m_states.size() > m_limits.requests)) {
        // The evicted request began before it ended, so inquiries about requests sent later can still be answered.
        m_evictedUntil = m_ended.front().when;
        m_states.erase(m_ended.front().requestId);
        m_ended.pop_front();
    }
    while (!m_refused.empty() && m_refused.front().when + m_limits.refusalRetention <= m_activeTime) {
        m_states.erase(m_refused.front().requestId);
        m_refused.pop_front();
    }
}

} // namespace heatherdrift
