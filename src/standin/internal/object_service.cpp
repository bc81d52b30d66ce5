#include "http/uri.h"
#include "standin/internal/responses.h"
#include "standin/internal/store_gate.h"

#include <map>

namespace heatherdrift {

namespace {

    constexpr std::size_t objectBytes = 64 << 20;

    class object_service : public store_gate {
    public:
        object_service(event_base* base, const store_service_settings& settings)
            : store_gate(base, settings, objectBytes, [this](const http_request& request) { return parse(request); })
        {
        }

    private:
        result<store_operation> parse(const http_request& request)
        {
            const auto target = parseTarget(request.target);
            if (!target || target->path.size() != 3 || target->path[0] != "v1" || target->path[1] != "objects"
                || target->path[2].empty())
                return notRun(error_code::not_found, "no such resource");
            const auto name = target->path[2];
            store_operation operation { true, 1, { name }, {} };
            if (request.method == "PUT")
                operation.run = [this, name, body = request.body.text()] { return put(name, body); };
            else if (request.method == "DELETE")
                operation.run = [this, name] { return remove(name); };
            else if (request.method == "GET")
                operation = { false, 1, { name }, [this, name] { return get(name); } };
            else
                return notRun(error_code::bad_request, "unknown method");
            return operation;
        }

        http_response put(const std::string& name, const std::string& content)
        {
            m_objects[name] = content;
            return { { 200, {} }, {} };
        }

        http_response remove(const std::string& name)
        {
            m_objects.erase(name);
            return { { 200, {} }, {} };
        }

        http_response get(const std::string& name) const
        {
            const auto found = m_objects.find(name);
            if (found == m_objects.end())
                return jsonResponse(404, { { "error", "not_found" } });
            return { { 200, { { "Content-Type", "application/octet-stream" } } }, found->second };
        }

        std::map<std::string, std::string> m_objects;
    };

} // namespace

result<std::unique_ptr<store_service>> startObjectService(event_base* base, const store_service_settings& settings)
{
    auto service = std::make_unique<object_service>(base, settings);
    BOOST_OUTCOME_TRY(service->listen(settings));
    return std::unique_ptr<store_service>(std::move(service));
}

} // namespace heatherdrift
