#include "standin/internal/announcer.h"

#include "base/json_reader.h"

namespace heatherdrift {

namespace {

    constexpr duration interval = std::chrono::seconds(1);
    constexpr std::size_t answerBytes = 4096;

} // namespace

announcer::announcer(event_base* base, const backend_server_settings& settings, const endpoint& address)
    : m_timer(base, [this] { announce(); })
{
    if (!settings.announceTo)
        return;
    const json document { { "address", toString(address) }, { "labels", settings.labels }, { "slots", settings.slots },
        { "checks_grants", settings.checksGrants } };
    m_body = document.dump(-1, ' ', false, json::error_handler_t::replace);
    m_client = http_client::create(base, *settings.announceTo, 1);
    m_timer.startRepeating(interval);
    announce();
}

void announcer::announce()
{
    // An announcement that fails is made again after the interval.
    if (!m_isPaused)
        fetch(*m_client, { "POST", "/v1/announcements", { { "Content-Type", "application/json" } }, m_body },
            boot_clock::now() + interval, answerBytes, [](const result<http_response>&) {});
}

} // namespace heatherdrift
