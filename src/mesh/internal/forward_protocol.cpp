#include "mesh/forward_protocol.h"

#include "mesh/internal/status_codec.h"

#include <algorithm>
#include <charconv>
#include <climits>
#include <utility>
#include <vector>

namespace heatherdrift {

namespace {

    constexpr std::string_view headerPrefix = "heatherdrift-"; ///< Of all headers of this protocol.
    constexpr const char* idHeader = "heatherdrift-request-id";
    constexpr const char* routeHeader = "heatherdrift-route";
    constexpr const char* serviceHeader = "heatherdrift-service";
    constexpr const char* callerHeader = "heatherdrift-caller-service";
    constexpr const char* timeoutHeader = "heatherdrift-timeout-us";
    constexpr const char* objectiveHeader = "heatherdrift-objective-us";
    constexpr const char* priorityHeader = "heatherdrift-priority";
    constexpr const char* ownHostHeader = "heatherdrift-own-host";
    constexpr const char* idempotentHeader = "heatherdrift-idempotent";
    constexpr const char* keyHeader = "heatherdrift-key";
    constexpr const char* verdictHeader = "heatherdrift-verdict";
    constexpr const char* errorHeader = "heatherdrift-error";
    constexpr const char* reachedHeader = "heatherdrift-reached-backend";
    constexpr const char* retryAfterHeader = "heatherdrift-retry-after-us";
    constexpr const char* timeAtGateHeader = "heatherdrift-time-at-gate-us";
    constexpr const char* lifeHeader = "heatherdrift-life";
    constexpr const char* loadHeader = "heatherdrift-load-permille";
    constexpr const char* demandHeader = "heatherdrift-demand-permille";
    constexpr const char* mapHeader = "heatherdrift-range-map";
    constexpr const char* drainingHeader = "heatherdrift-draining";
    constexpr const char* zoneHeader = "heatherdrift-zone";
    /// Waits by urgency, service time, slowdown, and of a cold backend server its three figures; separated by commas.
    constexpr const char* statusHeader = "heatherdrift-status";
    constexpr const char* othersHeader
        = "heatherdrift-others"; ///< Statuses of other backend servers; see status_codec.
    constexpr const char* tablesHeader = "heatherdrift-tables"; ///< Four numbers, separated by commas.
    constexpr const char* outerHeader = "heatherdrift-outer"; ///< Priority and depth, separated by a comma.
    constexpr const char* nestedHeader = "heatherdrift-nested-height";
    constexpr const char* returnHeader = "heatherdrift-return"; ///< Of requests and of answers.
    constexpr const char* finalHeader = "heatherdrift-final";
    constexpr double permille = 1000;
    constexpr int statusRefused = 503;
    /// Bounds for the numbers of other nodes, which leave room for sums with points in time.
    constexpr std::int64_t maxTimeout = std::chrono::microseconds(std::chrono::hours(48)).count();
    constexpr std::int64_t maxRetryAfter = std::chrono::microseconds(std::chrono::hours(1)).count();
    constexpr std::int64_t maxPermille = 1'000'000'000;

    std::optional<std::int64_t> parseNumber(std::string_view text)
    {
        std::int64_t out = 0;
        const auto* end = text.data() + text.size();
        const auto parsed = std::from_chars(text.data(), end, out);
        if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
            return std::nullopt;
        return out;
    }

    bool isProtocolHeader(std::string_view name)
    {
        return name.size() >= headerPrefix.size()
            && isSameHeaderName(name.substr(0, headerPrefix.size()), headerPrefix);
    }

    /// Without headers of this protocol, which callers and backend servers are not allowed to set.
    http_headers foreignHeaders(const http_headers& headers)
    {
        http_headers kept;
        for (const auto& [name, value] : headers.fields()) {
            if (!isProtocolHeader(name))
                kept.add(name, value);
        }
        return kept;
    }

    /// Reads the headers of this protocol and removes them from the message.
    class header_reader {
    public:
        explicit header_reader(http_headers& headers)
            : m_headers(headers)
        {
        }

        std::string text(const char* name)
        {
            const auto value = m_headers.find(name);
            if (!value)
                return {};
            std::string copy(*value);
            m_headers.remove(name);
            return copy;
        }

        std::optional<std::int64_t> number(const char* name) { return parseNumber(text(name)); }

        /// The nearest number in the range; the least one without the header.
        std::int64_t numberIn(const char* name, std::int64_t least, std::int64_t most)
        {
            return std::clamp(number(name).value_or(least), least, most);
        }

    private:
        http_headers& m_headers;
    };

    std::string microseconds(duration value) { return std::to_string(value.count()); }

    std::string encodeTables(const table_statements& tables)
    {
        const auto encode = [](const table_statement& table) {
            return std::to_string(table.newestChange) + "," + microseconds(table.age);
        };
        return encode(tables.configuration) + "," + encode(tables.members);
    }

    /// Numbers that are separated by commas; empty if one is negative or malformed, or there are more than 16.
    std::vector<std::int64_t> parseNumbers(std::string_view text)
    {
        constexpr std::size_t maxNumbers = 16;
        std::vector<std::int64_t> numbers;
        while (numbers.size() < maxNumbers) {
            std::int64_t number = 0;
            const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
            if (error != std::errc() || number < 0)
                return {};
            numbers.push_back(number);
            text.remove_prefix(static_cast<std::size_t>(end - text.data()));
            if (text.empty())
                return numbers;
            if (!text.starts_with(','))
                return {};
            text.remove_prefix(1);
        }
        return {};
    }

    constexpr std::size_t statusFigures = urgencyLevels + 2;
    constexpr std::size_t coldFigures = 3;

    std::string encodeStatus(const server_status& status)
    {
        std::string out;
        for (const auto wait : status.expectedWaits)
            out += microseconds(wait) + ",";
        out += microseconds(status.serviceTime) + "," + std::to_string(static_cast<int>(status.slowdown * permille));
        if (const auto& cold = status.cold)
            out += "," + microseconds(cold->remaining) + "," + microseconds(cold->nextStartIn) + ","
                + std::to_string(static_cast<std::int64_t>(cold->requestsPerSecond * permille));
        return out;
    }

    std::optional<server_status> decodeStatus(std::string_view text)
    {
        const auto numbers = parseNumbers(text);
        if (numbers.size() != statusFigures && numbers.size() != statusFigures + coldFigures)
            return std::nullopt;
        const auto time = [&](std::size_t index) { return duration(std::min(numbers[index], maxRetryAfter)); };
        const auto ratio
            = [&](std::size_t index) { return static_cast<double>(std::min(numbers[index], maxPermille)) / permille; };
        server_status status;
        for (std::size_t level = 0; level < urgencyLevels; ++level)
            status.expectedWaits[level] = time(level);
        status.serviceTime = time(urgencyLevels);
        status.slowdown = ratio(urgencyLevels + 1);
        if (numbers.size() > statusFigures)
            status.cold = { time(statusFigures), time(statusFigures + 1), ratio(statusFigures + 2) };
        return status;
    }

    std::string encodeOuter(const outer_request& outer)
    {
        return std::to_string(outer.priority) + "," + std::to_string(outer.depth);
    }

    /// Empty if it is malformed: the route's own priority applies then.
    std::optional<outer_request> decodeOuter(std::string_view text)
    {
        const auto numbers = parseNumbers(text);
        if (numbers.size() != 2 || numbers[0] > INT_MAX || numbers[1] < 1)
            return std::nullopt;
        return outer_request { static_cast<int>(numbers[0]),
            static_cast<int>(std::min<std::int64_t>(numbers[1], maxCallDepth)) };
    }

    std::optional<table_statements> decodeTables(std::string_view text)
    {
        const auto numbers = parseNumbers(text);
        if (numbers.size() != 4)
            return std::nullopt;
        return table_statements { { numbers[0], duration(numbers[1]) }, { numbers[2], duration(numbers[3]) } };
    }

} // namespace

http_request encodeForward(const routed_request& request, time_point now)
{
    http_request out { request.message.method, request.message.target, foreignHeaders(request.message.headers),
        request.message.body };
    auto& headers = out.headers;
    headers.add(idHeader, request.id);
    headers.add(routeHeader, request.route);
    headers.add(serviceHeader, request.service);
    headers.add(callerHeader, request.callerService);
    headers.add(timeoutHeader, microseconds(request.deadline - now));
    headers.add(objectiveHeader, microseconds(request.objective - now));
    headers.add(priorityHeader, std::to_string(request.priority));
    if (request.isFromOwnHost)
        headers.add(ownHostHeader, "1");
    if (request.isIdempotent)
        headers.add(idempotentHeader, "1");
    if (request.key)
        headers.add(keyHeader, std::to_string(*request.key));
    if (!request.callerZone.empty())
        headers.add(zoneHeader, request.callerZone);
    if (request.outer)
        headers.add(outerHeader, encodeOuter(*request.outer));
    if (request.isReturn)
        headers.add(returnHeader, "1");
    return out;
}

bool isForwarded(const http_request& message) { return message.headers.find(serviceHeader).has_value(); }

result<routed_request> decodeForward(const http_request& message, time_point now)
{
    routed_request request;
    request.message = message;
    header_reader reader(request.message.headers);
    request.id = reader.text(idHeader);
    request.route = reader.text(routeHeader);
    request.service = reader.text(serviceHeader);
    request.callerService = reader.text(callerHeader);
    const auto timeout = reader.number(timeoutHeader);
    const auto objective = reader.number(objectiveHeader);
    const auto priority = reader.number(priorityHeader);
    if (!timeout || !objective || !priority || *priority < 0 || *priority > INT_MAX || request.service.empty())
        return notRun(
            error_code::bad_request, "forwarded request without service, timeout, objective or priority header");
    request.deadline = now + duration(std::clamp(*timeout, -maxTimeout, maxTimeout));
    request.objective = now + duration(std::clamp(*objective, -maxTimeout, maxTimeout));
    request.priority = static_cast<int>(*priority);
    request.isFromOwnHost = !reader.text(ownHostHeader).empty();
    request.isIdempotent = !reader.text(idempotentHeader).empty();
    request.isReturn = !reader.text(returnHeader).empty();
    request.callerZone = reader.text(zoneHeader);
    request.outer = decodeOuter(reader.text(outerHeader));
    if (const auto text = reader.text(keyHeader); !text.empty()) {
        // Without its key, the request would run on a backend server that may not hold it.
        const auto key = parseNumber(text);
        if (!key || *key < 0 || *key > lastKey)
            return notRun(error_code::bad_request, "forwarded request with a malformed key header");
        request.key = static_cast<key_number>(*key);
    }
    return request;
}

http_response encodeAnswer(gate_answer answer)
{
    http_response out { { answer.response.head.status, foreignHeaders(answer.response.head.headers) },
        std::move(answer.response.body), std::move(answer.response.memory) };
    auto& headers = out.head.headers;
    if (answer.outcome != verdict::ran) {
        out = {};
        out.head.status = statusRefused;
        headers.add(errorHeader, std::string(toString(answer.reason)));
        headers.add(retryAfterHeader, microseconds(answer.retryAfter));
        headers.add(timeAtGateHeader, microseconds(answer.timeAtGate));
        if (answer.isReturnAssigned)
            headers.add(returnHeader, "1");
        if (answer.isFinal)
            headers.add(finalHeader, "1");
    }
    if (answer.nestedHeight)
        headers.add(nestedHeader, std::to_string(*answer.nestedHeight));
    headers.add(verdictHeader, std::string(toString(answer.outcome)));
    if (answer.reachedBackend)
        headers.add(reachedHeader, "1");
    headers.add(lifeHeader, answer.load.life);
    headers.add(loadHeader, std::to_string(static_cast<int>(answer.load.load * permille)));
    if (answer.load.mapVersion > 0) {
        headers.add(demandHeader, std::to_string(static_cast<int>(answer.load.demand * permille)));
        headers.add(mapHeader, std::to_string(answer.load.mapVersion));
    }
    if (answer.load.isDraining)
        headers.add(drainingHeader, "1");
    if (answer.load.tables)
        headers.add(tablesHeader, encodeTables(*answer.load.tables));
    if (answer.load.status)
        headers.add(statusHeader, encodeStatus(*answer.load.status));
    if (!answer.others.empty())
        headers.add(othersHeader, encodeStatuses(answer.others));
    return out;
}

http_headers rejectionHeaders()
{
    return { { verdictHeader, std::string(toString(verdict::not_run)) },
        { errorHeader, std::string(toString(error_code::bad_request)) } };
}

http_headers overloadHeaders(duration retryAfter)
{
    return { { verdictHeader, std::string(toString(verdict::not_run)) },
        { errorHeader, std::string(toString(error_code::overloaded)) },
        { retryAfterHeader, microseconds(retryAfter) } };
}

result<gate_answer> decodeAnswer(http_response response)
{
    gate_answer answer;
    answer.response = std::move(response);
    header_reader reader(answer.response.head.headers);
    const auto outcome = parseVerdict(reader.text(verdictHeader));
    if (!outcome)
        return mayHaveRun(error_code::connection_lost, "response of the other node has no verdict header");
    answer.outcome = *outcome;
    answer.reason = parseErrorCode(reader.text(errorHeader)).value_or(error_code::internal);
    answer.retryAfter = duration(reader.numberIn(retryAfterHeader, 0, maxRetryAfter));
    answer.timeAtGate = duration(reader.numberIn(timeAtGateHeader, 0, maxTimeout));
    // A request that may have run has reached the backend server, with or without the header.
    answer.reachedBackend = !reader.text(reachedHeader).empty() || answer.outcome != verdict::not_run;
    answer.isReturnAssigned = !reader.text(returnHeader).empty();
    answer.isFinal = !reader.text(finalHeader).empty();
    if (const auto height = reader.number(nestedHeader); height && *height >= 0)
        answer.nestedHeight = static_cast<int>(std::min<std::int64_t>(*height, maxCallHeight));
    answer.load.life = reader.text(lifeHeader);
    answer.load.load = static_cast<double>(reader.numberIn(loadHeader, 0, maxPermille)) / permille;
    answer.load.demand = static_cast<double>(reader.numberIn(demandHeader, 0, maxPermille)) / permille;
    answer.load.mapVersion = reader.numberIn(mapHeader, 0, INT64_MAX);
    answer.load.isDraining = !reader.text(drainingHeader).empty();
    answer.load.tables = decodeTables(reader.text(tablesHeader));
    answer.load.status = decodeStatus(reader.text(statusHeader));
    answer.others = decodeStatuses(reader.text(othersHeader));
    return answer;
}

} // namespace heatherdrift
