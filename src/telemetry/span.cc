#include "telemetry/span.h"

namespace bamboomount {

void SpanStore::Add(Span span) {
  const std::lock_guard lock(mutex_);
  spans_.push_back(std::move(span));
  if (spans_.size() > capacity_)
    spans_.pop_front();
}

std::vector<Span> SpanStore::FindTrace(const std::string& trace_id) const {
  const std::lock_guard lock(mutex_);
  std::vector<Span> found;
  for (const Span& span : spans_) {
    if (span.context.trace_id != trace_id)
      continue;
    found.push_back(span);
  }
  return found;
}

}  // namespace bamboomount
