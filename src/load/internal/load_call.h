#pragma once

#include "load/answer_check.h"
#include "load/load_run.h"

namespace heatherdrift {

/// What the calls of a run share.
struct load_context {
    event_base* base;
    const load_run_settings& settings;
    answer_register answers;
    generator_counts counts;
    time_point startedAt;
};

/// One request of the plan with its resends. A once call first obtains a token.
class load_call : public std::enable_shared_from_this<load_call> {
public:
    using end_function = std::function<void(load_call&, const request_outcome&)>;

    load_call(load_context&, const request_kind&, http_client&, std::uint64_t number, std::string key,
        duration intended, end_function onEnd);

    void send();

private:
    http_request toRequest() const;
    asked_answer toAskedAnswer() const;
    void onHead(const http_response_head&);
    void onDone(const result<void>&);
    void failed(const failure&);
    void answered();
    void resendOrEnd(const failure&);
    void end();

    load_context& m_context;
    const request_kind& m_kind;
    http_client& m_client;
    std::uint64_t m_number;
    std::size_t m_responseBytes;
    std::string m_body;
    std::string m_token;
    end_function m_onEnd;
    timer m_resend;
    request_outcome m_outcome;
    bool m_mayHaveRun = false; ///< An earlier sending may have run.
    http_response_head m_head;
    std::unique_ptr<answer_check> m_check; ///< Of the answer that is being received.
};

} // namespace heatherdrift
