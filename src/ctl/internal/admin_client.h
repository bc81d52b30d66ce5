#pragma once

#include "base/event_handle.h"
#include "base/json_reader.h"
#include "http/http_client.h"

#include <span>
#include <vector>

namespace heatherdrift {

/// Percent-encodes a value of a query.
std::string encodeQuery(const std::string& value);

/// Reads an answer of the administration API: its JSON document, or the failure that it states.
result<json> parseAnswer(const http_response&);

/// Calls nodes, one at a time or many at once, and waits for the answers.
class admin_client {
public:
    /// No call goes on after the deadline.
    admin_client(std::vector<endpoint> nodes, time_point deadline);

    /// Asks the nodes in turn until one answers, beginning with the last that did. A failure is always not_run, as
    /// reading changes nothing.
    result<json> get(const std::string& target);
    /// Sends a change. The next node is tried only if it is certain that the one before did not get it.
    result<json> change(const std::string& method, const std::string& target, std::string body = "");
    /// One request to each address, at once. Answers in the order of the addresses.
    std::vector<result<http_response>> askEach(const std::vector<endpoint>&, const http_request&, duration limit);
    result<http_response> ask(const endpoint&, const http_request&, duration limit);

    time_point deadline() const { return m_deadline; }
    bool isOver() const { return boot_clock::now() >= m_deadline; }
    /// Returns early at the deadline.
    void wait(duration);

private:
    void askSome(std::span<const endpoint>, const http_request&, duration limit, std::vector<result<http_response>>&);

    event_base_handle m_base;
    std::vector<endpoint> m_nodes;
    std::size_t m_current = 0; ///< Node that answered last.
    time_point m_deadline;
};

} // namespace heatherdrift
