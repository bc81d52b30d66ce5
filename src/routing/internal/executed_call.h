#pragma once

#include "routing/call_executor.h"

namespace heatherdrift {

/// Fingerprint that tells whether two requests ask for the same thing.
request_fingerprint fingerprintOf(const call&);

/// One call at the executor, from its arrival to its end.
class executed_call : public http_call, public std::enable_shared_from_this<executed_call> {
public:
    executed_call(call_executor&, std::uint64_t id, call, call_target, http_call_handlers);

    /// Begins on the next turn of the event loop, so that no handler is called before run() returns.
    void beginLater();
    /// A slot is free for it.
    void start();
    void refuse(failure);
    /// The lease ended while the call needs it.
    void loseOwnership();
    /// The executor is being destroyed.
    void detach();

    void cancel() override;
    void pause() override;
    void resume() override;
    bool hasWritten() const override { return m_upstream && m_upstream->hasWritten(); }

    std::uint64_t id() const { return m_id; }
    const call& source() const { return m_call; }
    bool isRunning() const { return m_stage == stage::running; }
    /// The partition that must not be handed over while this call runs, if any.
    std::optional<partition_id> heldPartition() const;

private:
    enum class stage { created, claiming, queued, running, ended };

    void begin();
    void claimExpired();
    void claimToken();
    void claimedElsewhere(const once_token&, const result<claim_answer>&);
    void insertIntent();
    void settleClaim(const result<claim_answer>&);
    void submit();
    void respond(http_response_head, std::string body, request_state);
    void requireToken();
    void repeatAnswer(const claim_answer&);
    void onHead(const http_response_head&);
    void onData(std::string_view);
    void onDone(const result<void>&);
    void keepForReplay(std::string_view);
    /// The state follows from the verdict.
    void end(const result<void>&);
    void end(request_state, const result<void>&);
    time_point now() const;

    call_executor* m_executor;
    std::uint64_t m_id;
    call m_call;
    call_target m_target;
    http_call_handlers m_handlers;
    stage m_stage = stage::created;
    bool m_isRegistered = false; ///< Known to the request ledger.
    std::optional<once_token> m_token; ///< Claimed for this call.
    std::optional<partition_id> m_partition;
    http_call_ptr m_upstream;
    std::optional<failure> m_refusal;
    http_response m_replay; ///< What a resend of a once call would get.
    time_point m_startedAt;
    timer m_begin;
    timer m_claimDeadline;
};

} // namespace heatherdrift
