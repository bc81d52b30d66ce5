#include "http/uri.h"
#include "store/internal/server_group.h"
#include "store/object_store.h"

namespace heatherdrift {

namespace {

    /// Body of a 404 that says that the object does not exist, rather than the resource.
    constexpr std::string_view absentBody = R"({"error":"not_found"})";

    std::string targetOf(const std::string& name) { return "/v1/objects/" + percentEncode(name); }

    failure failed(const result<http_response>& response)
    {
        const std::string prefix = "object store: ";
        if (response.has_error())
            return { response.error().outcome, error_code::store_unavailable, prefix + response.error().message };
        const auto& head = response.value().head;
        const bool isRefused = head.headers.find("heatherdrift-verdict") == toString(verdict::not_run);
        return { isRefused ? verdict::not_run : verdict::may_have_run, error_code::store_unavailable,
            prefix + "status " + std::to_string(head.status) };
    }

    class http_object_store : public object_store {
    public:
        http_object_store(event_base* base, const http_object_store_settings& settings)
            : m_objectBytes(settings.objectBytes)
            , m_servers(base, settings.servers, settings.connectionsPerServer)
            , m_later(base)
        {
        }

        void put(
            std::string name, std::string content, time_point deadline, std::function<void(result<void>)> done) override
        {
            if (content.size() > m_objectBytes)
                return m_later.after({}, [done = std::move(done), limit = m_objectBytes] {
                    done(notRun(error_code::too_large, "the object has more than " + std::to_string(limit) + " bytes"));
                });
            constexpr std::size_t answerBytes = 4096;
            m_servers.send({ "PUT", targetOf(name), {}, std::move(content) }, server_group::repeat::if_not_written,
                deadline, answerBytes, [done = std::move(done)](const result<http_response>& response) {
                    if (response.has_value() && response.value().head.status / 100 == 2)
                        done(outcome::success());
                    else
                        done(failed(response));
                });
        }

        void get(std::string name, time_point deadline,
            std::function<void(result<std::optional<std::string>>)> done) override
        {
            m_servers.send({ "GET", targetOf(name), {}, {} }, server_group::repeat::always, deadline, m_objectBytes,
                [done = std::move(done)](result<http_response> response) {
                    if (response.has_value() && response.value().head.status == 200)
                        done(std::optional(std::move(response.value().body)));
                    else if (response.has_value() && response.value().head.status == 404
                        && response.value().body == absentBody)
                        done(std::optional<std::string>());
                    else
                        done(failed(response));
                });
        }

    private:
        std::size_t m_objectBytes;
        server_group m_servers;
        delayed_calls m_later;
    };

} // namespace

std::unique_ptr<object_store> makeHttpObjectStore(event_base* base, const http_object_store_settings& settings)
{
    return std::make_unique<http_object_store>(base, settings);
}

} // namespace heatherdrift
