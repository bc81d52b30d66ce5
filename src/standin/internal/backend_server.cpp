#include "standin/backend_server.h"

#include "base/delayed_calls.h"
#include "http/uri.h"
#include "standin/internal/announcer.h"
#include "standin/internal/answer_stream.h"
#include "standin/internal/backend_faults.h"
#include "standin/internal/execution_journal.h"
#include "standin/internal/grant_checker.h"
#include "standin/internal/report_history.h"
#include "standin/internal/responses.h"
#include "standin/internal/restartable_listener.h"

#include <algorithm>
#include <deque>
#include <set>

namespace heatherdrift {

namespace {

    constexpr http_server_limits serviceLimits { 16 * 1024, 16 << 20, 120 };

    /// A request that waits for a slot or has one.
    struct backend_job {
        http_exchange_ptr exchange;
        backend_request request;
        std::uint64_t execution = 0; ///< 0 until it begins.
        std::unique_ptr<answer_stream> stream;
    };

    using backend_job_ptr = std::shared_ptr<backend_job>;

    class slot_server : public backend_server {
    public:
        slot_server(event_base* base, const backend_server_settings& settings)
            : m_base(base)
            , m_settings(settings)
            , m_service(base, serviceLimits, [this](const http_exchange_ptr& exchange) { receive(exchange); })
            , m_control(base, {}, [this](const http_exchange_ptr& exchange) { handleControl(exchange); })
            , m_later(base)
        {
        }

        ~slot_server() override
        {
            // Closing the connections would otherwise report back to a server that is half destroyed.
            endAll();
        }

        result<void> listen()
        {
            BOOST_OUTCOME_TRY(m_service.listen(m_settings.listen));
            BOOST_OUTCOME_TRY(m_control.listen(m_settings.control));
            m_startedAt = m_settings.now();
            recordReport();
            m_announcer = std::make_unique<announcer>(m_base, m_settings, m_service.address());
            return outcome::success();
        }

        endpoint address() const override { return m_service.address(); }
        endpoint controlAddress() const override { return m_control.address(); }

    private:
        // Control.

        void handleControl(const http_exchange_ptr& exchange)
        {
            const auto& request = exchange->request();
            if (request.method == "PUT" && request.target == "/faults")
                return exchange->respond(takeFaults(request.body.text()));
            const auto target = parseTarget(request.target);
            if (request.method == "GET" && target && target->path == std::vector<std::string> { "journal" })
                return exchange->respond(listJournal(*target));
            exchange->respond(refusal(404, "no such resource"));
        }

        http_response listJournal(const uri_target& target) const
        {
            const auto after = target.query.find("after");
            const auto token = target.query.find("token");
            const auto number = after == target.query.end() ? 0 : std::strtoull(after->second.c_str(), nullptr, 10);
            return jsonResponse(
                200, m_journal.list(number, token == target.query.end() ? std::nullopt : std::optional(token->second)));
        }

        http_response takeFaults(const std::string& body)
        {
            auto faults = parseBackendFaults(body);
            if (faults.has_error())
                return refusal(400, faults.error().message);
            m_faults = std::move(faults).value();
            recordReport();
            m_announcer->setPaused(m_faults.isFrozen || !m_service.isOpen());
            if (m_faults.down > duration::zero())
                goDown(m_faults.down);
            if (!m_faults.isFrozen)
                thaw();
            return jsonResponse(200, json::object());
        }

        void goDown(duration time)
        {
            endAll();
            m_service.close();
            m_announcer->setPaused(true);
            m_later.after(time, [this] {
                m_startedAt = m_settings.now();
                m_service.reopen();
                m_announcer->setPaused(m_faults.isFrozen);
            });
        }

        /// Forgets all requests, as the end of the process would.
        void endAll()
        {
            const auto jobs = std::exchange(m_jobs, {});
            for (const auto& job : jobs)
                release(job, execution_end::crashed);
            m_queue.clear();
            m_frozenCalls.clear();
            m_runningCount = 0;
            recordReport();
        }

        // Freezing.

        /// Runs the function now, or when the server is no longer frozen.
        void whenThawed(std::function<void()> call)
        {
            if (m_faults.isFrozen)
                m_frozenCalls.push_back(std::move(call));
            else
                call();
        }

        void thaw()
        {
            for (const auto& call : std::exchange(m_frozenCalls, {}))
                call();
        }

        // Requests.

        void receive(const http_exchange_ptr& exchange)
        {
            whenThawed([this, exchange, receivedAt = m_settings.now()] { accept(exchange, receivedAt); });
        }

        void accept(const http_exchange_ptr& exchange, time_point receivedAt)
        {
            if (exchange->request().target == "/health")
                return exchange->respond(healthResponse());
            if (exchange->request().target == "/load")
                return exchange->respond(loadResponse());
            auto request = parseBackendRequest(exchange->request(), m_settings, receivedAt);
            if (request.has_error())
                return exchange->respond(refusal(400, request.error().message));
            auto job = std::make_shared<backend_job>();
            job->exchange = exchange;
            job->request = std::move(request).value();
            if (exchange->isFirstOnConnection() && m_settings.connectionCost > duration::zero())
                m_later.after(m_settings.connectionCost, [this, job] { enqueue(job); });
            else
                enqueue(job);
        }

        void enqueue(const backend_job_ptr& job)
        {
            if (!job->exchange->isOpen())
                return;
            if (m_faults.isDraining)
                return refuse(job, 503, "draining");
            if (const auto reason = refuseGrant(*job))
                return refuse(job, 409, *reason);
            if (m_runningCount >= m_settings.slots && m_queue.size() >= m_settings.queueBound)
                return refuse(job, 503, "overloaded");
            m_jobs.insert(job);
            m_queue.push_back(job);
            job->exchange->onClosed([this, weak = std::weak_ptr(job)] {
                if (const auto closed = weak.lock())
                    finish(closed, execution_end::cancelled);
            });
            startJobs();
        }

        std::optional<std::string> refuseGrant(const backend_job& job)
        {
            if (!m_settings.checksGrants || !job.request.grant)
                return std::nullopt;
            return m_grants.check(*job.request.grant, m_settings.now());
        }

        void startJobs()
        {
            while (m_runningCount < m_settings.slots && !m_queue.empty()) {
                const auto job = m_queue.front();
                m_queue.pop_front();
                start(job);
            }
            recordReport();
        }

        void start(const backend_job_ptr& job)
        {
            // Both may have become true in the queue.
            if (job->request.deadline && m_settings.now() >= *job->request.deadline)
                return refuse(job, 504, "deadline passed");
            if (const auto reason = refuseGrant(*job))
                return refuse(job, 409, *reason);
            ++m_runningCount;
            job->execution = m_journal.begin(job->request, m_settings.now());
            const auto& crashWord = m_faults.crashWord.value_or(m_settings.crashWord);
            if (!crashWord.empty() && job->request.crashWord == crashWord)
                return crash();
            const bool isCold = m_settings.now() < m_startedAt + m_settings.coldStart;
            const auto time = job->request.serviceTime * (isCold ? m_settings.coldFactor : 1.0);
            m_later.after(std::chrono::duration_cast<duration>(time) + m_faults.slow,
                [this, job] { whenThawed([this, job] { answer(job); }); });
        }

        void refuse(const backend_job_ptr& job, int status, const std::string& reason)
        {
            m_jobs.erase(job);
            job->exchange->onClosed(nullptr);
            auto response = refusal(status, reason);
            response.head.headers.add("heatherdrift-request-id", job->request.id);
            job->exchange->respond(std::move(response));
        }

        void crash()
        {
            // The listener must not be closed from its own handler.
            m_later.after({}, [this] {
                if (m_faults.crashDown > duration::zero())
                    goDown(m_faults.crashDown);
                else if (m_settings.onCrash)
                    m_settings.onCrash();
            });
        }

        void answer(const backend_job_ptr& job)
        {
            if (!m_jobs.contains(job))
                return;
            const auto& request = job->request;
            http_response_head head { 200, { { "heatherdrift-request-id", request.id } } };
            if (!request.key.empty())
                head.headers.add("heatherdrift-key", request.key);
            answer_content content(request.id, request.key, job->exchange->request().body, request.responseBytes);
            job->stream = std::make_unique<answer_stream>(m_base, job->exchange, std::move(content),
                request.bytesPerSecond, [this, job] { finish(job, execution_end::completed); });
            job->stream->start(std::move(head));
        }

        /// Ends a job that waits, runs or is being answered.
        void finish(const backend_job_ptr& job, execution_end how)
        {
            if (m_jobs.erase(job) == 0)
                return;
            if (job->execution != 0)
                --m_runningCount;
            else
                std::erase(m_queue, job);
            release(job, how);
            startJobs();
        }

        void release(const backend_job_ptr& job, execution_end how)
        {
            if (job->execution != 0)
                m_journal.end(job->execution, how, m_settings.now());
            job->exchange->onClosed(nullptr);
            job->stream.reset();
        }

        // Reports.

        void recordReport()
        {
            m_reports.record(
                { m_runningCount, static_cast<int>(m_queue.size()), m_faults.isDraining }, m_settings.now());
        }

        http_response healthResponse() const
        {
            const auto report = m_reports.at(m_settings.now() - m_faults.reportLag);
            if (m_faults.health == health_report::failing)
                return jsonResponse(503, { { "status", "failing" } });
            const bool isDraining = report.isDraining && m_faults.health == health_report::honest;
            return jsonResponse(isDraining ? 503 : 200, { { "status", isDraining ? "draining" : "ok" } });
        }

        http_response loadResponse() const
        {
            const auto report = m_faults.load.value_or(m_reports.at(m_settings.now() - m_faults.reportLag));
            return jsonResponse(
                200, { { "running", report.running }, { "queued", report.queued }, { "slots", m_settings.slots } });
        }

        event_base* m_base;
        backend_server_settings m_settings;
        backend_faults m_faults;
        execution_journal m_journal;
        grant_checker m_grants;
        report_history m_reports;
        std::set<backend_job_ptr> m_jobs;
        std::deque<backend_job_ptr> m_queue;
        int m_runningCount = 0;
        std::vector<std::function<void()>> m_frozenCalls;
        time_point m_startedAt;
        restartable_listener m_service;
        restartable_listener m_control;
        std::unique_ptr<announcer> m_announcer;
        delayed_calls m_later;
    };

} // namespace

result<std::unique_ptr<backend_server>> backend_server::start(event_base* base, const backend_server_settings& settings)
{
    auto server = std::make_unique<slot_server>(base, settings);
    BOOST_OUTCOME_TRY(server->listen());
    return std::unique_ptr<backend_server>(std::move(server));
}

} // namespace heatherdrift
