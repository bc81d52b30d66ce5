#include "standin/internal/backend_request.h"

#include <charconv>
#include <vector>

namespace heatherdrift {

namespace {

    template <typename Integer> std::optional<Integer> parseInteger(std::string_view text)
    {
        Integer value = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        if (error != std::errc() || end != text.data() + text.size() || value < 0)
            return std::nullopt;
        return value;
    }

    std::vector<std::string_view> split(std::string_view text, char separator)
    {
        std::vector<std::string_view> parts;
        while (true) {
            const auto end = text.find(separator);
            parts.push_back(text.substr(0, end));
            if (end == std::string_view::npos)
                return parts;
            text.remove_prefix(end + 1);
        }
    }

    std::string textOf(const http_request& request, std::string_view name)
    {
        return std::string(request.headers.find(name).value_or(""));
    }

    result<std::optional<std::int64_t>> readNumber(const http_request& request, const char* name)
    {
        constexpr std::int64_t most = std::int64_t(1) << 40;
        const auto text = request.headers.find(name);
        if (!text)
            return std::optional<std::int64_t>();
        const auto value = parseInteger<std::int64_t>(*text);
        if (!value || *value > most)
            return notRun(error_code::bad_request, std::string(name) + ": expected an integer from 0 on");
        return value;
    }

    duration serviceTimeOf(const http_request& request, const backend_server_settings& settings)
    {
        constexpr std::string_view kind = "kind=";
        for (const auto label : split(request.headers.find("heatherdrift-labels").value_or(""), ',')) {
            if (!label.starts_with(kind))
                continue;
            const auto found = settings.serviceTimeByKind.find(std::string(label.substr(kind.size())));
            if (found != settings.serviceTimeByKind.end())
                return found->second;
        }
        return settings.serviceTime;
    }

} // namespace

std::optional<ownership_grant> parseGrant(std::string_view text)
{
    const auto parts = split(text, '/');
    if (parts.size() != 4 || parts[0].empty())
        return std::nullopt;
    const auto index = parseInteger<partition_index>(parts[1]);
    const auto number = parseInteger<epoch>(parts[2]);
    const auto leaseEnd = parseInteger<std::int64_t>(parts[3]);
    if (!index || !number || !leaseEnd)
        return std::nullopt;
    return ownership_grant { { std::string(parts[0]), *index }, *number, time_point(duration(*leaseEnd)) };
}

result<backend_request> parseBackendRequest(
    const http_request& request, const backend_server_settings& settings, time_point receivedAt)
{
    backend_request parsed;
    parsed.id = textOf(request, "heatherdrift-request-id");
    parsed.key = textOf(request, "heatherdrift-key");
    parsed.token = textOf(request, "heatherdrift-token");
    parsed.crashWord = textOf(request, "standin-crash");
    parsed.serviceTime = serviceTimeOf(request, settings);
    if (const auto text = request.headers.find("heatherdrift-grant")) {
        parsed.grant = parseGrant(*text);
        if (!parsed.grant)
            return notRun(error_code::bad_request, "heatherdrift-grant: malformed");
    }
    BOOST_OUTCOME_TRY(timeout, readNumber(request, "heatherdrift-timeout-ms"));
    if (timeout)
        parsed.deadline = receivedAt + std::chrono::milliseconds(*timeout);
    BOOST_OUTCOME_TRY(serviceMs, readNumber(request, "standin-service-ms"));
    if (serviceMs)
        parsed.serviceTime = std::chrono::milliseconds(*serviceMs);
    BOOST_OUTCOME_TRY(responseBytes, readNumber(request, "standin-response-bytes"));
    parsed.responseBytes = static_cast<std::size_t>(responseBytes.value_or(0));
    BOOST_OUTCOME_TRY(bytesPerSecond, readNumber(request, "standin-rate-bytes-per-s"));
    parsed.bytesPerSecond = bytesPerSecond.value_or(0);
    return parsed;
}

} // namespace heatherdrift
