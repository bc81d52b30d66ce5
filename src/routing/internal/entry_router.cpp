#include "routing/entry_router.h"

#include "routing/internal/entry_call.h"

namespace heatherdrift {

entry_router::entry_router(
    event_base* base, instance_ref self, entry_limits limits, entry_hooks hooks, call_runner& executor)
    : m_base(base)
    , m_self(std::move(self))
    , m_limits(limits)
    , m_hooks(std::move(hooks))
    , m_executor(executor)
    , m_peers(base, limits.connectionsPerPeer)
    , m_wake(base, [this] { wakeWaiting(); })
{
}

entry_router::~entry_router()
{
    for (const auto& running : m_calls)
        running->detach();
}

void entry_router::handle(http_exchange_ptr exchange)
{
    auto requestId = toString(m_self) + "-" + std::to_string(m_nextRequest++);
    if (m_calls.size() >= m_limits.calls) {
        exchange->respond(
            toFailureResponse(notRun(error_code::overloaded, "too many requests in progress at this node"), requestId));
        return;
    }
    auto started = std::make_shared<entry_call>(*this, std::move(exchange), std::move(requestId));
    m_calls.insert(started);
    started->begin();
}

void entry_router::setSnapshot(routing_snapshot_ptr snapshot)
{
    m_snapshot = std::move(snapshot);
    // Snapshots often arrive in quick succession, so waiting calls are woken once for all of them.
    if (!m_wake.isPending())
        m_wake.startOnce({});
}

void entry_router::wakeWaiting()
{
    m_peers.closeExcept(*m_snapshot);
    for (const auto& waiting : m_calls) {
        if (waiting->isWaitingForRoute())
            waiting->wake();
    }
}

void entry_router::removeCall(entry_call& call) { m_calls.erase(call.shared_from_this()); }

} // namespace heatherdrift
