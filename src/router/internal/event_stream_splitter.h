#ifndef ROUTER_INTERNAL_EVENT_STREAM_SPLITTER_H_
#define ROUTER_INTERNAL_EVENT_STREAM_SPLITTER_H_

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace bamboomount {

// Splits a stream of server-sent events at its blank lines, so that only
// complete events are forwarded and a resumed stream continues at an event
// boundary.
class EventStreamSplitter {
 public:
  void Append(std::string_view data) { buffer_.append(data); }

  // Removes and returns the next complete event with its blank line, if there
  // is one.
  std::optional<std::string> NextEvent();

  // Bytes that NextEvent has not returned yet.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
  // No event ends before this position.
  std::size_t searched_ = 0;
};

// Whether `event` is the "data: [DONE]" event that ends a complete stream.
bool IsDoneEvent(std::string_view event);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_EVENT_STREAM_SPLITTER_H_
