#pragma once

#include "routing/call_executor.h"

namespace heatherdrift {

/// Fingerprint of the request's content, to recognise resends of the same request.
request_fingerprint fingerprintOf(const call&);

/// One call at the executor, from arrival to completion.
class executed_call : public http_call, public std::enable_shared_from_this<executed_call> {
public:
    executed_call(call_executor&, std::uint64_t id, call, call_target, http_call_handlers);

    /// Begins on the next turn of the event loop, so that no handler is called before run() returns.
    void scheduleBegin();
    /// Sends the request to the backend server; called when admission has assigned a slot.
    void start();
    void refuse(failure);
    /// Cancels the call because the lease that it needs has ended.
    void onLeaseEnd();
    /// The executor is being destroyed.
    void detach();

    void cancel() override;
    void pause() override;
    void resume() override;
    bool hasWritten() const override { return m_upstream && m_upstream->hasWritten(); }

    std::uint64_t id() const { return m_id; }
    const call& source() const { return m_call; }
    bool isRunning() const { return m_stage == stage::running; }
    /// Partition that must not be transferred while this call runs, if any.
    std::optional<partition_id> heldPartition() const;

private:
    enum class stage { created, claiming, queued, running, ended };

    void begin();
    void onDeadline();
    void claimToken();
    void onIssuerAnswer(const once_token&, const result<claim_answer>&);
    void insertIntent();
    void handleClaimAnswer(const result<claim_answer>&);
    void submit();
    void respond(http_response_head, std::string body, request_state);
    void respondWithNewToken();
    void respondFromClaim(const claim_answer&);
    void onHead(const http_response_head&);
    void onData(std::string_view);
    void onDone(const result<void>&);
    void recordForReplay(std::string_view);
    /// Derives the request state from the verdict.
    void end(const result<void>&);
    void end(request_state, const result<void>&);
    time_point now() const;

    call_executor* m_executor;
    std::uint64_t m_id;
    call m_call;
    call_target m_target;
    http_call_handlers m_handlers;
    stage m_stage = stage::created;
    bool m_isRegistered = false; ///< Recorded in the request ledger.
    std::optional<once_token> m_token; ///< Claimed for this call.
    std::optional<partition_id> m_partition;
    http_call_ptr m_upstream;
    std::optional<failure> m_refusal;
    bool m_hasFailureStatus = false; ///< The backend server answered with a status of 500 or above.
    http_response m_replay; ///< Response returned to resends of a once call.
    time_point m_startedAt;
    timer m_begin;
    timer m_claimDeadline;
};

} // namespace heatherdrift
