#include "router/internal/event_stream_splitter.h"

namespace bamboomount {
namespace {

constexpr std::string_view kDoneMark = "data: [DONE]";

// Position after the first blank line, or npos.
std::size_t EndOfEvent(std::string_view text) {
  const std::size_t unix_end = text.find("\n\n");
  const std::size_t dos_end = text.find("\r\n\r\n");
  if (unix_end == std::string_view::npos && dos_end == std::string_view::npos)
    return std::string_view::npos;
  if (unix_end < dos_end)
    return unix_end + 2;
  return dos_end + 4;
}

}  // namespace

std::optional<std::string> EventStreamSplitter::Next() {
  const std::size_t end = EndOfEvent(pending_);
  if (end == std::string::npos)
    return std::nullopt;
  std::string event = pending_.substr(0, end);
  pending_.erase(0, end);
  return event;
}

bool IsDoneEvent(std::string_view event) {
  return event.substr(0, kDoneMark.size()) == kDoneMark;
}

}  // namespace bamboomount
