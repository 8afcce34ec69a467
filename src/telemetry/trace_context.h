#ifndef TELEMETRY_TRACE_CONTEXT_H_
#define TELEMETRY_TRACE_CONTEXT_H_

#include <optional>
#include <string>
#include <string_view>

namespace bamboomount {

// Trace and span id, as carried in the W3C `traceparent` header.
struct TraceContext {
  // 32 lower-case hexadecimal digits.
  std::string trace_id;
  // 16 lower-case hexadecimal digits.
  std::string span_id;

  // Returns a context with new random ids.
  static TraceContext NewRoot();
  // Parses a traceparent header. Returns nullopt if `header` is not a valid
  // traceparent of version 00.
  static std::optional<TraceContext> Parse(std::string_view header);

  // Returns a context with the same trace id and a new random span id.
  TraceContext NewChild() const;
  // Returns the value of the traceparent header, with the sampled flag set.
  std::string ToHeader() const;
};

}  // namespace bamboomount

#endif  // TELEMETRY_TRACE_CONTEXT_H_
