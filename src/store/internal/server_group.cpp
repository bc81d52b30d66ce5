#include "store/internal/server_group.h"

namespace heatherdrift {

struct server_group::request_state {
    http_request request;
    repeat policy;
    time_point deadline;
    std::size_t bodyLimit;
    response_function done;
    std::size_t server;
    std::size_t attemptsLeft;
    verdict outcome = verdict::not_run;
};

server_group::server_group(event_base* base, const std::vector<endpoint>& servers, int connectionsPerServer)
    : m_later(base)
{
    for (const auto& server : servers)
        m_clients.push_back(http_client::create(base, server, connectionsPerServer));
}

void server_group::send(
    http_request request, repeat policy, time_point deadline, std::size_t bodyLimit, response_function done)
{
    attempt(std::make_shared<request_state>(request_state {
        std::move(request), policy, deadline, bodyLimit, std::move(done), m_preferred, m_clients.size() }));
}

void server_group::attempt(const std::shared_ptr<request_state>& state)
{
    auto deadline = state->deadline;
    if (state->policy == repeat::always) {
        const auto now = boot_clock::now();
        deadline = now + (deadline - now) / static_cast<duration::rep>(state->attemptsLeft);
    }
    --state->attemptsLeft;
    fetch(*m_clients[state->server], state->request, deadline, state->bodyLimit,
        [this, state](result<http_response> response) {
            // An oversized answer is reported while its client still reads it, and the callee may destroy the client.
            if (response.has_error() && response.error().code == error_code::too_large)
                m_later.after({}, [done = state->done, response] { done(response); });
            else
                finishAttempt(state, std::move(response));
        });
}

void server_group::finishAttempt(const std::shared_ptr<request_state>& state, result<http_response> response)
{
    if (response.has_value()) {
        // The answer counts, but the next request goes to a server that may be better off.
        if (response.value().head.status >= 500)
            leave(state->server);
        return state->done(std::move(response));
    }
    auto reason = response.error();
    if (reason.code != error_code::overloaded)
        leave(state->server);
    if (reason.outcome != verdict::not_run)
        state->outcome = reason.outcome;
    const bool isRepeatable = state->policy == repeat::always || state->outcome == verdict::not_run;
    if (isRepeatable && state->attemptsLeft > 0 && boot_clock::now() < state->deadline) {
        state->server = (state->server + 1) % m_clients.size();
        return attempt(state);
    }
    reason.outcome = state->outcome;
    state->done(std::move(reason));
}

void server_group::leave(std::size_t server)
{
    if (m_preferred == server)
        m_preferred = (server + 1) % m_clients.size();
}

} // namespace heatherdrift
