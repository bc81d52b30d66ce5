#include "http/progress_fetch.h"

#include "base/event_handle.h"

namespace heatherdrift {

namespace {

    class progress_fetch : public std::enable_shared_from_this<progress_fetch> {
    public:
        progress_fetch(
            http_client& client, const transfer_limits& limits, std::function<void(result<http_response>)> done)
            : m_server(toString(client.server()))
            , m_limits(limits)
            , m_done(std::move(done))
            , m_stall(client.base(), [this] { stalled(); })
        {
        }

        http_call_ptr start(http_client& client, http_request request)
        {
            const auto self = shared_from_this();
            http_call_handlers handlers;
            handlers.onHead = [self](const http_response_head& head) {
                self->m_response.head = head;
                self->progressed();
            };
            handlers.onData = [self](std::string_view data) { self->append(data); };
            handlers.onDone = [self](const result<void>& how) { self->ended(how); };
            auto call = client.start(std::move(request), m_limits.deadline, std::move(handlers));
            m_call = call;
            m_stall.startAt(m_limits.headBy);
            return call;
        }

    private:
        std::string received() const { return std::to_string(m_response.body.size()) + " bytes"; }

        void progressed() { m_stall.startOnce(m_limits.stallTime); }

        void append(std::string_view data)
        {
            progressed();
            if (m_response.body.size() + data.size() > m_limits.bodyBytes)
                return giveUp(mayHaveRun(error_code::too_large,
                    "the answer has more than " + std::to_string(m_limits.bodyBytes) + " bytes"));
            m_response.body.append(data);
        }

        void stalled()
        {
            const auto call = m_call.lock();
            const auto outcome = !call || call->hasWritten() ? verdict::may_have_run : verdict::not_run;
            giveUp({ outcome, error_code::deadline_exceeded,
                "no data from " + m_server + " in time, after " + received() });
        }

        void giveUp(failure reason)
        {
            const auto keepAlive = shared_from_this();
            m_stall.stop();
            if (const auto call = m_call.lock())
                call->cancel();
            m_done(std::move(reason));
        }

        void ended(const result<void>& how)
        {
            m_stall.stop();
            if (how.has_value())
                return m_done(std::move(m_response));
            auto reason = how.error();
            reason.message += ", after " + received();
            m_done(std::move(reason));
        }

        std::string m_server;
        transfer_limits m_limits;
        std::function<void(result<http_response>)> m_done;
        std::weak_ptr<http_call> m_call;
        http_response m_response;
        timer m_stall;
    };

} // namespace

http_call_ptr fetchWithProgress(http_client& client, http_request request, const transfer_limits& limits,
    std::function<void(result<http_response>)> done)
{
    return std::make_shared<progress_fetch>(client, limits, std::move(done))->start(client, std::move(request));
}

} // namespace heatherdrift
