#include "control/internal/control_context.h"

#include <algorithm>

namespace heatherdrift {

std::optional<peer_address> control_context::addressOf(const instance_ref& instance) const
{
    const auto* member = view.findMember(instance.id);
    if (!member || member->row.self != instance)
        return std::nullopt;
    return peer_address { instance, member->row.control };
}

void control_context::send(const instance_ref& to, const wire::Message& message) const
{
    // A process whose row is not in the view can still be reached on a connection that it opened itself.
    transport.send(addressOf(to).value_or(peer_address { to, {} }), message);
}

duration retry_delay::next(double jitter)
{
    const auto delay = std::min(m_initial * (1 << std::min(m_failures, 12)), m_max);
    ++m_failures;
    return std::chrono::duration_cast<duration>(delay * (0.5 + 0.5 * jitter));
}

} // namespace heatherdrift
