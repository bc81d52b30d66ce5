#pragma once

#include "routing/answer_relay.h"
#include "routing/entry_router.h"

namespace heatherdrift {

/// One request of a caller at its entry node, across all attempts.
class entry_call : public std::enable_shared_from_this<entry_call> {
public:
    entry_call(entry_router&, http_exchange_ptr, std::string requestId);

    void begin();
    /// Attempts the call again soon if a newer snapshot changed its owner.
    void wake();
    bool isWaitingForRoute() const { return m_isWaitingForRoute; }
    /// The router is being destroyed.
    void detach();

private:
    void attempt();
    std::optional<instance_ref> chooseOwner() const;
    void send(const instance_ref& owner);
    http_call_ptr forward(const call&, const instance_ref& owner, http_call_handlers);
    void onHead(const http_response_head&);
    void onData(std::string_view);
    void onDone(const result<void>&);
    std::optional<failure> readFailure(const http_response_head&) const;
    void relay(const http_response_head&);
    void attemptFailed(failure);
    void inquire(const failure&);
    void onInquiryAnswer(const failure&, const result<http_response>&);
    void retryOrFail(const failure&);
    void waitForRoute(const failure&);
    void fail(failure);
    void finish(verdict, std::string_view error);
    void onCallerClosed();
    void recordAttemptEnd(call_observation::kind);
    duration nextBackoff();
    std::string attemptId() const { return m_requestId + "." + std::to_string(m_attempts); }

    entry_router* m_router;
    http_exchange_ptr m_exchange;
    std::string m_requestId;
    std::optional<call> m_call;
    std::string m_parentSpan;
    std::shared_ptr<answer_relay> m_relay;
    http_call_ptr m_running;
    http_call_ptr m_inquiry;
    timer m_retry;
    time_point m_startedAt;
    time_point m_attemptAt;
    std::optional<instance_ref> m_target;
    instance_id m_lastFailed;
    int m_attempts = 0;
    bool m_mayHaveRun = false; ///< An earlier attempt may have run, so the call can no longer end as not_run.
    bool m_isWaitingForRoute = false;
    bool m_isOver = false;
    std::optional<failure> m_headFailure; ///< Read from the head of the running attempt; its body is not relayed.
    verdict m_answered = verdict::ran;
    std::string m_answeredError;
};

} // namespace heatherdrift
