#ifndef ROUTER_INTERNAL_SPAN_RECORDER_H_
#define ROUTER_INTERNAL_SPAN_RECORDER_H_

#include <map>
#include <string>

#include "telemetry/telemetry.h"

namespace bamboomount {

// Records one span from its construction to Finish.
class SpanRecorder {
 public:
  // `context` is the span's own identity.
  SpanRecorder(SpanStore& store,
               TraceContext context,
               std::string parent_span_id,
               std::string name,
               std::string process);

  const TraceContext& context() const { return span_.context; }
  SpanRecorder& SetAttribute(const std::string& name, std::string value);
  void Finish();

 private:
  SpanStore& store_;
  Span span_;
  std::chrono::steady_clock::time_point start_;
};

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_SPAN_RECORDER_H_
