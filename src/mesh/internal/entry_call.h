#pragma once

#include "mesh/internal/entry_service.h"
#include "telemetry/log_event.h"

namespace heatherdrift {

/// One request of a caller, from its arrival to its response, including all attempts.
class entry_call : public std::enable_shared_from_this<entry_call> {
public:
    entry_call(entry_service&, http_exchange_ptr, routed_request, const route&);

    /// The request may be a call that the backend server beside this node makes for another request.
    void setNested(std::optional<possible_call> call) { m_possibleCall = std::move(call); }
    /// Return times are planned for the request; it may have been refused before.
    void setReturn(std::optional<return_kind> kind) { m_returnKind = kind; }
    void begin();

private:
    /// An attempt in progress.
    struct attempt {
        unsigned number = 0; ///< Of the attempts of this call, from 1.
        instance_id node;
        http_call_ptr remote;
        request_number local = 0;
        time_point startedAt {};
        std::uint64_t identity = 0; ///< Of the node, see peer_question.
    };

    std::optional<instance_id> pickOwner(time_point now);
    bool isOwnerEvacuated(time_point now);
    std::optional<instance_id> pickAny(time_point now);
    void sendNext();
    void sendTo(const instance_id&, std::optional<attempt>&);
    /// The place of an attempt in progress; null if the attempt has ended.
    std::optional<attempt>* findAttempt(unsigned number);
    void cancelAttempt(std::optional<attempt>&, call_observation::kind);
    void handleResponse(unsigned number, result<http_response>);
    /// The other node's answer shows that it does not know what became of the request.
    void handleLost(unsigned number, error_code);
    void handleAnswer(unsigned number, gate_answer);
    void observe(const attempt&, const gate_answer&, time_point now);
    duration retryDelay(const gate_answer&) const;
    bool shouldRetry(const gate_answer&, time_point now);
    void scheduleRetry(duration);
    void respond(http_response);
    void fail(const gate_answer&);
    void refuse(duration retryAfter);
    /// Refuses a request without a key for lack of capacity.
    void refuseOverloaded(duration retryAfter);
    void sendRefusal(duration retryAfter);
    /// Time until a backend server can start the request, if none can in time.
    std::optional<duration> startAfterDeadline(time_point now) const;
    void recordServed(const attempt&, const gate_answer&, time_point now);
    void cancel();
    void end();
    void count(std::string_view outcome) const;
    void recordNested(call_outcome);
    void logEnd(log_event, std::string_view reason) const;

    hedge_request hedgeRequest() const;
    /// What is known about the server that gets the request next; empty unless the request may be hedged.
    std::optional<server_outlook> outlookForHedge(const instance_id&, time_point now);
    /// Plans the decision about a hedge of the attempt in progress.
    void planHedge(const std::optional<server_outlook>& first, time_point now);
    void decideHedgeAt(time_point);
    void decideHedge();
    std::optional<instance_id> pickForHedge(time_point now);
    void recordForHedges(const attempt&, const gate_answer&, bool isHedge, time_point now);
    void endHedging(std::string_view winner);

    entry_service& m_service;
    entry_context& m_context;
    http_exchange_ptr m_exchange;
    routed_request m_request;
    int m_maxAttempts;
    int m_backendAttempts = 0; ///< Attempts that reached a backend server.
    int m_lostAttempts = 0; ///< Attempts that ended with the connection to the backend server.
    int m_refusals = 0; ///< Attempts that a gate refused or that did not reach a gate.
    std::vector<instance_id> m_tried;
    std::optional<attempt> m_attempt;
    unsigned m_attempts = 0; ///< Attempts that were started.
    std::string m_attemptLog; ///< Completed attempts for the log: node, result, milliseconds, and those at the gate.
    time_point m_receivedAt;
    std::optional<gate_answer> m_lastAnswer;
    std::optional<gate_answer> m_serverFailure; ///< Error response of a backend server; returned if no retry succeeds.
    timer m_retry;
    bool m_mayHaveRun = false; ///< An attempt ended without proof that the request did not run.
    bool m_isDone = false;
    std::optional<possible_call> m_possibleCall;
    std::optional<return_kind> m_returnKind;
    std::optional<duration> m_leastRetryAfter; ///< Of the gates that refused the request for lack of capacity.
    std::optional<int> m_nestedHeight; ///< As a gate reported it.
    std::optional<attempt> m_hedge; ///< Second attempt beside m_attempt, against a slow answer.
    std::optional<gate_answer> m_failedFirst; ///< The other attempt ended badly while the hedge is in progress.
    std::optional<timer> m_hedgeTimer; ///< Only if the request may be hedged.
    time_point m_hedgeDueAt {};
    std::string m_hedgedNodes; ///< For the log, if a hedge was sent: the nodes of both attempts.
    bool m_isHedgeLogged = false;
};

} // namespace heatherdrift
