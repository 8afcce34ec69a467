#include "router/internal/span_recorder.h"

#include <utility>

namespace bamboomount {

SpanRecorder::SpanRecorder(SpanStore& store,
                           TraceContext context,
                           std::string parent_span_id,
                           std::string name,
                           std::string process)
    : store_(store), start_(std::chrono::steady_clock::now()) {
  span_.context = std::move(context);
  span_.parent_span_id = std::move(parent_span_id);
  span_.name = std::move(name);
  span_.process = std::move(process);
  span_.start = std::chrono::system_clock::now();
}

SpanRecorder& SpanRecorder::SetAttribute(const std::string& name,
                                         std::string value) {
  span_.attributes[name] = std::move(value);
  return *this;
}

void SpanRecorder::Finish() {
  span_.duration = std::chrono::duration_cast<std::chrono::microseconds>(
      std::chrono::steady_clock::now() - start_);
  store_.Add(span_);
}

}  // namespace bamboomount
