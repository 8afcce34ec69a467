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

// A finished span of a request trace.
struct Span {
  TraceContext context;
  // Empty for the root span in this system.
  std::string parent_span_id;
  std::string name;
  std::string process;
  std::chrono::system_clock::time_point start;
  std::chrono::microseconds duration{0};
  std::map<std::string, std::string> attributes;
};

// Stores the last `capacity` spans in memory; the oldest are dropped first.
// Thread-safe.
class SpanStore {
 public:
  explicit SpanStore(std::size_t capacity) : capacity_(capacity) {}

  void Add(Span span);
  // Returns the stored spans of a trace in the order they were added.
  std::vector<Span> FindTrace(const std::string& trace_id) const;

 private:
  const std::size_t capacity_;
  mutable std::mutex mutex_;
  std::deque<Span> spans_;
};

}  // namespace bamboomount

#endif  // TELEMETRY_SPAN_H_
