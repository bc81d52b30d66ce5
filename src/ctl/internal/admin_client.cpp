#include "ctl/internal/admin_client.h"

#include <algorithm>
#include <cstdlib>
#include <event2/http.h>
#include <optional>
#include <span>

namespace heatherdrift {

namespace {

    /// A node answers reads from memory, but for an older configuration, which it reads from the store within 2 s.
    constexpr duration readLimit = std::chrono::seconds(3);
    /// Above the time in which a node answers a change (5 s), so that the node says how it ended.
    constexpr duration changeLimit = std::chrono::seconds(8);
    /// Documents of the API are smaller: 65536 partitions are 8 MB.
    constexpr std::size_t answerLimit = 64u << 20;
    /// Below the usual limit of 1024 open files.
    constexpr std::size_t callsAtOnce = 200;

} // namespace

std::string encodeQuery(const std::string& value)
{
    const std::unique_ptr<char, void (*)(void*)> encoded(
        evhttp_uriencode(value.data(), static_cast<ev_ssize_t>(value.size()), 0), &std::free);
    return encoded.get();
}

result<json> parseAnswer(const http_response& response)
{
    const auto status = response.head.status;
    auto document = parseJson(response.body, error_code::internal);
    if (status < 300 && document.has_value())
        return document;
    const auto text = [&](const char* field) -> std::string {
        if (!document.has_value() || !document.value().is_object() || !document.value().contains(field))
            return "";
        const auto& value = document.value()[field];
        return value.is_string() ? value.get<std::string>() : "";
    };
    const auto verdict = parseVerdict(text("verdict"));
    const auto code = parseErrorCode(text("error"));
    if (verdict && code)
        return failure { *verdict, *code, text("message") };
    if (status == 413)
        return notRun(error_code::too_large, "the node refuses requests of this size");
    if (status == 400)
        return notRun(error_code::bad_request, "the node refuses the request");
    return mayHaveRun(error_code::internal, "cannot read the answer with status " + std::to_string(status));
}

admin_client::admin_client(std::vector<endpoint> nodes, time_point deadline)
    : m_base(event_base_new())
    , m_nodes(std::move(nodes))
    , m_deadline(deadline)
{
}

result<json> admin_client::get(const std::string& target)
{
    std::string silent;
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto answer = ask(m_nodes[m_current], { "GET", target, {}, "" }, readLimit);
        if (answer.has_value()) {
            auto document = parseAnswer(answer.value());
            if (document.has_error())
                return notRun(document.error().code, document.error().message);
            return document;
        }
        silent += (silent.empty() ? "" : "; ") + toString(m_nodes[m_current]) + ": " + answer.error().message;
        m_current = (m_current + 1) % m_nodes.size();
    }
    return notRun(error_code::connection_failed, "no node answers (" + silent + ")");
}

result<json> admin_client::change(const std::string& method, const std::string& target, std::string body)
{
    failure last = notRun(error_code::connection_failed, "no node answers");
    const http_request request { method, target, { { "Content-Type", "application/json" } }, std::move(body) };
    for (std::size_t i = 0; i < m_nodes.size(); ++i) {
        const auto answer = ask(m_nodes[m_current], request, changeLimit);
        if (answer.has_value())
            return parseAnswer(answer.value());
        last = answer.error();
        last.message = toString(m_nodes[m_current]) + ": " + last.message;
        if (last.outcome != verdict::not_run)
            return last;
        m_current = (m_current + 1) % m_nodes.size();
    }
    return last;
}

result<http_response> admin_client::ask(const endpoint& address, const http_request& request, duration limit)
{
    return std::move(askEach({ address }, request, limit).front());
}

std::vector<result<http_response>> admin_client::askEach(
    const std::vector<endpoint>& addresses, const http_request& request, duration limit)
{
    std::vector<result<http_response>> answers;
    for (std::size_t from = 0; from < addresses.size(); from += callsAtOnce) {
        const auto count = std::min(callsAtOnce, addresses.size() - from);
        askSome(std::span(addresses).subspan(from, count), request, limit, answers);
    }
    return answers;
}

void admin_client::askSome(std::span<const endpoint> addresses, const http_request& request, duration limit,
    std::vector<result<http_response>>& answers)
{
    std::vector<std::unique_ptr<http_client>> clients;
    std::vector<std::optional<result<http_response>>> received(addresses.size());
    std::size_t missing = addresses.size();
    const auto deadline = std::min(m_deadline, boot_clock::now() + limit);
    for (std::size_t i = 0; i < addresses.size(); ++i) {
        clients.push_back(http_client::create(m_base.get(), addresses[i], 1));
        fetch(*clients.back(), request, deadline, answerLimit, [&, i](result<http_response> answer) {
            received[i].emplace(std::move(answer));
            --missing;
        });
    }
    while (missing > 0)
        event_base_loop(m_base.get(), EVLOOP_ONCE);
    for (auto& answer : received)
        answers.push_back(std::move(*answer));
}

void admin_client::wait(duration delay)
{
    bool isOver = false;
    timer alarm(m_base.get(), [&] { isOver = true; });
    alarm.startAt(std::min(m_deadline, boot_clock::now() + delay));
    while (!isOver)
        event_base_loop(m_base.get(), EVLOOP_ONCE);
}

} // namespace heatherdrift
