#ifndef ROUTER_INTERNAL_EVENT_STREAM_SPLITTER_H_
#define ROUTER_INTERNAL_EVENT_STREAM_SPLITTER_H_

#include <optional>
#include <string>
#include <string_view>

namespace bamboomount {

// Splits server-sent events at their blank lines, so that only whole events
// are passed on and a resumed stream continues at an event boundary.
class EventStreamSplitter {
 public:
  void Append(std::string_view data) { buffer_.append(data); }

  // The next whole event with its blank line, if one is complete.
  std::optional<std::string> NextEvent();

  // Bytes of an event that is not complete yet.
  std::size_t buffered_bytes() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

// Whether `event` is the "data: [DONE]" mark that ends a complete stream.
bool IsDoneEvent(std::string_view event);

}  // namespace bamboomount

#endif  // ROUTER_INTERNAL_EVENT_STREAM_SPLITTER_H_
