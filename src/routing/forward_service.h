#pragma once

#include "http/http_server.h"
#include "routing/call_executor.h"
#include "telemetry/trace.h"

namespace heatherdrift {

/// Handles requests of other nodes: `POST /v1/outcomes/ID` (state of a request), `POST /v1/claims` (claim of a token),
/// and every other request with the heatherdrift-target header, which the executor runs.
class forward_service {
public:
    forward_service(instance_ref self, std::size_t streamBufferBytes, clock_function, call_executor&, span_sink);

    /// Handler of the forward listener.
    void handle(http_exchange_ptr);
    void setSnapshot(routing_snapshot_ptr);

private:
    void run(http_exchange_ptr);
    void answerInquiry(http_exchange_ptr);
    void answerClaim(http_exchange_ptr);
    bool isForThisProcess(const http_request&) const;

    instance_ref m_self;
    std::size_t m_streamBufferBytes;
    clock_function m_now;
    call_executor& m_executor;
    span_sink m_spans;
    routing_snapshot_ptr m_snapshot;
};

/// Request that claims a token at its issuer, and the parser of the response.
http_request toClaimRequest(
    const once_token&, std::uint64_t fingerprint, const std::string& claimant, const instance_ref& issuer);
result<claim_answer> parseClaimAnswer(const http_response&);

} // namespace heatherdrift
