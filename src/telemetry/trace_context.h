#ifndef TELEMETRY_TRACE_CONTEXT_H_
#define TELEMETRY_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace bamboomount {

// Identity of a span as the W3C `traceparent` header carries it.
struct TraceContext {
  // 32 lower-case hexadecimal digits.
  std::string trace_id;
  // 16 lower-case hexadecimal digits.
  std::string span_id;

  // A context with new random ids.
  static TraceContext NewRoot();
  // Empty if `header` is not a valid version 00 traceparent.
  static std::optional<TraceContext> Parse(std::string_view header);

  // A context with the same trace id and a new span id.
  TraceContext NewChild() const;
  // The traceparent header value, sampled flag set.
  std::string ToHeader() const;
};

}  // namespace bamboomount

#endif  // TELEMETRY_TRACE_CONTEXT_H_
