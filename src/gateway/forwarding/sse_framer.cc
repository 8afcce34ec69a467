#include "gateway/forwarding/sse_framer.h"

#include <algorithm>

namespace bamboomount {
namespace {

// Position after the last blank line, or 0.
std::size_t EndOfLastCompleteEvent(std::string_view text) {
  std::size_t end = 0;
  for (const std::string_view blank : {"\n\n", "\r\n\r\n"}) {
    const std::size_t found = text.rfind(blank);
    if (found != std::string_view::npos)
      end = std::max(end, found + blank.size());
  }
  return end;
}

std::string_view Trim(std::string_view text) {
  while (!text.empty() && text.front() == ' ')
    text.remove_prefix(1);
  while (!text.empty() && (text.back() == '\r' || text.back() == ' '))
    text.remove_suffix(1);
  return text;
}

}  // namespace

std::string SseFramer::Add(std::string_view bytes) {
  partial_.append(bytes);
  const std::size_t end = EndOfLastCompleteEvent(partial_);
  std::string complete_events = partial_.substr(0, end);
  partial_.erase(0, end);
  RecordEventIds(complete_events);
  return complete_events;
}

void SseFramer::RecordEventIds(std::string_view events) {
  constexpr std::string_view kIdField = "id:";
  while (!events.empty()) {
    const std::size_t end = events.find('\n');
    const std::string_view line = events.substr(0, end);
    if (line.starts_with(kIdField))
      last_event_id_ = std::string(Trim(line.substr(kIdField.size())));
    if (end == std::string_view::npos)
      return;
    events.remove_prefix(end + 1);
  }
}

}  // namespace bamboomount
