#ifndef TELEMETRY_SPAN_H_
#define TELEMETRY_SPAN_H_

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "telemetry/trace_context.h"

namespace bamboomount {

// One finished hop of a request.
struct Span {
  TraceContext context;
  // Empty for the first span of this system.
  std::string parent_span_id;
  std::string name;
  std::string process;
  std::chrono::system_clock::time_point start;
  std::chrono::microseconds duration{0};
  std::map<std::string, std::string> attributes;
};

// Keeps the last `capacity` spans in memory, oldest dropped first.
// Thread-safe.
class SpanStore {
 public:
  explicit SpanStore(std::size_t capacity) : capacity_(capacity) {}

  void Add(Span span);
  // All kept spans of one trace, in order of their end.
  std::vector<Span> FindTrace(const std::string& trace_id) const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<Span> spans_;
};

}  // namespace bamboomount

#endif  // TELEMETRY_SPAN_H_
