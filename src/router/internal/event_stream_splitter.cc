#include "router/internal/event_stream_splitter.h"

namespace bamboomount {
namespace {

constexpr std::string_view kDoneMarker = "data: [DONE]";

// Position after the first blank line, or npos.
std::size_t FindEventEnd(std::string_view text) {
  const std::size_t lf_end = text.find("\n\n");
  const std::size_t crlf_end = text.find("\r\n\r\n");
  if (lf_end == std::string_view::npos && crlf_end == std::string_view::npos)
    return std::string_view::npos;
  if (lf_end < crlf_end)
    return lf_end + 2;
  return crlf_end + 4;
}

}  // namespace

std::optional<std::string> EventStreamSplitter::NextEvent() {
  const std::size_t end = FindEventEnd(buffer_);
  if (end == std::string::npos)
    return std::nullopt;
  std::string event = buffer_.substr(0, end);
  buffer_.erase(0, end);
  return event;
}

bool IsDoneEvent(std::string_view event) {
  return event.substr(0, kDoneMarker.size()) == kDoneMarker;
}

}  // namespace bamboomount
