#pragma once

#include "base/clock.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace heatherdrift {

/// W3C trace context of one hop (https://www.w3.org/TR/trace-context/, version 00).
struct trace_context {
    std::string traceId; ///< 32 hexadecimal digits.
    std::string spanId; ///< 16 hexadecimal digits.
    bool isSampled = false;

    bool operator==(const trace_context&) const = default;
};

/// Parses a traceparent header; empty if it is malformed, so that the caller starts a new trace.
std::optional<trace_context> parseTraceparent(std::string_view);
std::string toTraceparent(const trace_context&);
/// A new trace.
trace_context startTrace(bool isSampled);
/// A span below the parent, in the same trace.
trace_context childOf(const trace_context& parent);

/// One finished hop of a request; docs/tracing.md describes its JSON form.
struct span_record {
    trace_context context;
    std::string parentSpanId; ///< Empty for the first span.
    std::string name;
    std::string instance;
    time_point start;
    time_point end;
    std::string verdict;
    std::string error; ///< Empty on success.
};

/// One line of JSON without a line end.
std::string toJsonLine(const span_record&);

/// Receives each finished span of a sampled trace.
using span_sink = std::function<void(const span_record&)>;

/// Appends lines to a file; spans are dropped while the file cannot be written.
span_sink makeFileSpanSink(const std::string& path);

} // namespace heatherdrift
