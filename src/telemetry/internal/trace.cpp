#include "telemetry/trace.h"

#include <algorithm>
#include <fstream>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <random>

namespace heatherdrift {

namespace {

    constexpr std::size_t traceIdLength = 32;
    constexpr std::size_t spanIdLength = 16;
    constexpr std::size_t traceparentLength = 55;

    bool isLowerHex(std::string_view text)
    {
        return std::ranges::all_of(text, [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
    }

    bool isAllZero(std::string_view text)
    {
        return std::ranges::all_of(text, [](char c) { return c == '0'; });
    }

    std::string randomHex(std::size_t length)
    {
        thread_local std::mt19937_64 generator { std::random_device {}() };
        constexpr char digits[] = "0123456789abcdef";
        std::string text;
        while (text.size() < length) {
            auto value = generator();
            for (int i = 0; i < 16 && text.size() < length; ++i, value >>= 4)
                text.push_back(digits[value & 15]);
        }
        if (isAllZero(text))
            text.back() = '1';
        return text;
    }

} // namespace

std::optional<trace_context> parseTraceparent(std::string_view header)
{
    if (header.size() != traceparentLength || header.substr(0, 3) != "00-" || header[35] != '-' || header[52] != '-')
        return std::nullopt;
    const auto traceId = header.substr(3, traceIdLength);
    const auto spanId = header.substr(36, spanIdLength);
    const auto flags = header.substr(53, 2);
    if (!isLowerHex(traceId) || !isLowerHex(spanId) || !isLowerHex(flags) || isAllZero(traceId) || isAllZero(spanId))
        return std::nullopt;
    const int lowDigit = flags[1] >= 'a' ? flags[1] - 'a' + 10 : flags[1] - '0';
    return trace_context { std::string(traceId), std::string(spanId), (lowDigit & 1) != 0 };
}

std::string toTraceparent(const trace_context& context)
{
    return "00-" + context.traceId + "-" + context.spanId + (context.isSampled ? "-01" : "-00");
}

trace_context startTrace(bool isSampled) { return { randomHex(traceIdLength), randomHex(spanIdLength), isSampled }; }

trace_context childOf(const trace_context& parent)
{
    return { parent.traceId, randomHex(spanIdLength), parent.isSampled };
}

std::string toJsonLine(const span_record& record)
{
    const nlohmann::json document = {
        { "trace_id", record.context.traceId },
        { "span_id", record.context.spanId },
        { "parent_span_id", record.parentSpanId },
        { "name", record.name },
        { "instance", record.instance },
        { "start_us", record.start.time_since_epoch().count() },
        { "end_us", record.end.time_since_epoch().count() },
        { "verdict", record.verdict },
        { "error", record.error },
    };
    return document.dump();
}

span_sink makeFileSpanSink(const std::string& path)
{
    struct sink_state {
        std::mutex mutex;
        std::ofstream file;
    };
    auto state = std::make_shared<sink_state>();
    state->file.open(path, std::ios::app);
    return [state](const span_record& record) {
        std::lock_guard lock(state->mutex);
        state->file << toJsonLine(record) + "\n" << std::flush;
        state->file.clear();
    };
}

} // namespace heatherdrift
